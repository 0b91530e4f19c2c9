/** Main program: starts the process, reloads its settings file on changes, and stops on a signal. */
import {readFile, stat} from 'node:fs/promises';
import {createLoggerFactory, errorMessage, LineWriter, type Logger} from 'stallpaddle';

import type {RunningNode} from './NodeTypes';
import type {NodeWire} from './NodeWire';

import {startNode} from './Node';
import {parseNodeSettings} from './NodeSettings';

/** File descriptor of the log: standard output. */
const LOG_FD = 1;
/** Interval between checks whether the settings file has changed without a signal, in milliseconds. */
const SETTINGS_CHECK_MS = 5_000;
/** Exit code after a fatal error. */
const EXIT_FAILURE = 1;

/** Reloads the settings file on request or when it has changed. */
class SettingsReloader {
  private changedAt = 0;

  constructor(
    private readonly file: string,
    private readonly node: RunningNode,
    private readonly logger: Logger,
  ) {}

  async reload(): Promise<void> {
    try {
      this.node.reload(parseNodeSettings(await readFile(this.file, 'utf8')));
      this.logger.info('Settings were reloaded.');
    } catch (err) {
      this.logger.error('The new settings are invalid or can’t be read.', {
        error: errorMessage(err),
      });
    }
  }

  async reloadIfChanged(): Promise<void> {
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
 * Calls a listener at the first signal to stop. Further ones are ignored: without a listener they would end the process amid
 * the requests that it drains.
 *
 * @param source the process
 * @param onStop called once
 */
export function registerStopSignal(
  source: Pick<NodeJS.EventEmitter, 'on'>,
  onStop: () => void,
): void {
  let isStopping = false;
  source.on('SIGTERM', () => {
    if (!isStopping) {
      isStopping = true;
      onStop();
    }
  });
}

/**
 * Runs the program until it gets a signal to stop.
 *
 * @param file path of the settings file
 * @param wire codec of the external protocol
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
    logger.error('The process ends after a fatal error.', {error: errorMessage(err), stack});
    void end(EXIT_FAILURE);
  };
  process.on('uncaughtException', fail);
  process.on('unhandledRejection', fail);
  const node = await startNode(settings, wire, loggers, fail);
  const {first, host, zone} = settings;
  logger.info('The process has started.', {first, host, zone});
  const reloader = new SettingsReloader(file, node, logger);
  setInterval(() => void reloader.reloadIfChanged(), SETTINGS_CHECK_MS).unref();
  process.on('SIGHUP', () => void reloader.reload());
  registerStopSignal(process, () => {
    logger.info('The process is stopping.');
    node.stop().then(() => {
      logger.info('The process has stopped.');
      return end(0);
    }, fail);
  });
}
