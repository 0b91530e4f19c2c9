/**
 * Life of the program: starts the process, follows its settings file, stops on a signal.
 */
import {readFile, stat} from 'node:fs/promises';
import {createLoggerFactory, errorMessage, LineWriter, type Logger} from 'stallpaddle';

import type {RunningNode} from './NodeTypes';
import type {NodeWire} from './NodeWire';

import {startNode} from './Node';
import {parseNodeSettings} from './NodeSettings';

/** Standard output. */
const LOG_FD = 1;
/**
 * Time between looks whether the settings file has changed without a signal, in milliseconds. Only seeds are followed, and
 * they lag by seconds themselves; each look costs an idle process three turns.
 */
const SETTINGS_LOOK_MS = 5_000;
/** Exit code after a failure that the process can't go on with. */
const EXIT_FAILURE = 1;

/** Takes in settings again, after a signal or when the file has changed. */
class SettingsFollower {
  private changedAt = 0;

  constructor(
    private readonly file: string,
    private readonly node: RunningNode,
    private readonly logger: Logger,
  ) {}

  async reload(): Promise<void> {
    try {
      this.node.reload(parseNodeSettings(await readFile(this.file, 'utf8')));
      this.logger.info('Settings were taken in again.');
    } catch (err) {
      this.logger.error('The new settings can’t be used.', {error: errorMessage(err)});
    }
  }

  async look(): Promise<void> {
    try {
      const {mtimeMs} = await stat(this.file);
      const isChanged = this.changedAt !== 0 && mtimeMs !== this.changedAt;
      this.changedAt = mtimeMs;
      if (isChanged) {
        await this.reload();
      }
    } catch (err) {
      this.logger.warn('The settings file can’t be read.', {error: errorMessage(err)});
    }
  }
}

/**
 * Runs the program until it is told to stop.
 *
 * @param file path of the settings file
 * @param wire the words of the outside
 */
export async function runNode(file: string, wire: NodeWire): Promise<void> {
  const lines = new LineWriter(LOG_FD);
  const end = async (code: number): Promise<never> => {
    await lines.drain();
    process.exit(code);
  };
  const settings = parseNodeSettings(await readFile(file, 'utf8'));
  const loggers = createLoggerFactory('json', (line) => lines.add(line), {vm: settings.name});
  const logger = loggers(settings.role);
  const fail = (err: unknown): void => {
    const stack = err instanceof Error ? err.stack : undefined;
    logger.error('The process can’t go on.', {error: errorMessage(err), stack});
    void end(EXIT_FAILURE);
  };
  process.on('uncaughtException', fail);
  process.on('unhandledRejection', fail);
  const node = await startNode(settings, wire, loggers, fail);
  const {first, host, zone} = settings;
  logger.info('The process has started.', {first, host, zone});
  const follower = new SettingsFollower(file, node, logger);
  setInterval(() => void follower.look(), SETTINGS_LOOK_MS).unref();
  process.on('SIGHUP', () => void follower.reload());
  process.once('SIGTERM', () => {
    logger.info('The process stops.');
    node.stop().then(() => {
      logger.info('The process has stopped.');
      return end(0);
    }, fail);
  });
}
