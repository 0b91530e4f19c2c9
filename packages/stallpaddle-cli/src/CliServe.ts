/**
 * The `serve` command.
 */
import type {LogFormat, LoggerFactory} from 'stallpaddle';
import type {Settings} from 'stallpaddle-settings';

import {readFile} from 'node:fs/promises';
import {createLoggerFactory, errorMessage, unreachable} from 'stallpaddle';
import {parseSettings} from 'stallpaddle-settings';
import {StandInEngine, StandInService} from 'stallpaddle-standin';
import {Vm} from 'stallpaddle-vm';

import {EXIT_FAILED} from './CliConstants';

interface RunningProcess {
  readonly stop: () => Promise<void>;
}

async function start(settings: Settings, loggers: LoggerFactory): Promise<RunningProcess> {
  switch (settings.kind) {
    case 'engineStandIn': {
      const engine = new StandInEngine(settings);
      await engine.start();
      loggers('standin').info('The stand-in engine has started.', {engine: settings.engine});
      return engine;
    }
    case 'serviceStandIn': {
      const service = new StandInService(settings);
      await service.start();
      loggers('standin').info('The stand-in service has started.', {service: settings.name});
      return service;
    }
    case 'vm':
      return Vm.start(settings, loggers, (err) => {
        loggers('vm').error('The process exits after a fatal error.', {reason: errorMessage(err)});
        process.exit(EXIT_FAILED);
      });
    default:
      return unreachable(settings);
  }
}

/**
 * Reads and validates a settings file.
 *
 * @param file path of the file
 */
export async function readSettings(file: string): Promise<Settings> {
  return parseSettings(await readFile(file, 'utf8'));
}

/**
 * Runs a process until SIGTERM or SIGINT. A second signal exits at once.
 *
 * @param file path of the settings file
 * @param format log format; taken from the settings when missing
 */
export async function runServe(file: string, format: LogFormat | undefined): Promise<void> {
  const settings = await readSettings(file);
  const fromSettings = settings.kind === 'vm' ? settings.logFormat : 'text';
  const loggers = createLoggerFactory(format ?? fromSettings);
  const running = await start(settings, loggers);
  let stopping = false;
  const stop = (): void => {
    if (stopping) {
      process.exit(EXIT_FAILED);
    }
    stopping = true;
    running.stop().then(
      () => process.exit(0),
      (err: unknown) => {
        loggers('vm').error('The shutdown failed.', {reason: errorMessage(err)});
        process.exit(EXIT_FAILED);
      },
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}
