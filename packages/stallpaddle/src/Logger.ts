/**
 * Structured logs. Each line names the part of the system that wrote it; lines must not contain keys or prompts.
 */
// Only the core: the full package includes terminal formatting, which would be loaded by every process.
import {createConsola, type LogObject} from 'consola/core';

/** Parts of the system that write logs. */
export type LogPart =
  | 'batch'
  | 'control'
  | 'entry'
  | 'front'
  | 'gateway'
  | 'ledger'
  | 'load'
  | 'membership'
  | 'replication'
  | 'standin'
  | 'store'
  | 'vm';

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, boolean | number | string | undefined>>;

/** Writes the logs of one part. */
export interface Logger {
  readonly error: (message: string, fields?: LogFields) => void;
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
}

/** Output format of log lines. */
export type LogFormat = 'json' | 'silent' | 'text';

/** Writes a line, including its line feed. */
export type WriteLine = (line: string) => void;

/** Creates the logger of a part. */
export type LoggerFactory = (part: LogPart) => Logger;

function textFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${String(value)}`)
    .join('');
}

function jsonReporter(write: WriteLine, base: LogFields): (entry: LogObject) => void {
  return (entry) => {
    const [message, fields] = entry.args as unknown as readonly [string, LogFields];
    const line = {
      level: entry.type,
      message,
      part: entry.tag,
      time: entry.date.toISOString(),
      ...base,
      ...fields,
    };
    write(`${JSON.stringify(line)}\n`);
  };
}

function textReporter(write: WriteLine): (entry: LogObject) => void {
  return (entry) => {
    const [message, fields] = entry.args as unknown as readonly [string, LogFields];
    const time = entry.date.toISOString().slice(11, 23);
    write(`${time} ${entry.type} [${entry.tag}] ${message}${textFields(fields)}\n`);
  };
}

const writeToStandardError: WriteLine = (line) => {
  process.stderr.write(line);
};

/**
 * Creates the process's logger factory.
 *
 * @param format output format; `silent` writes nothing
 * @param write writes the lines; standard error by default
 * @param base fields of every JSON line, such as the VM's name
 */
export function createLoggerFactory(
  format: LogFormat,
  write: WriteLine = writeToStandardError,
  base: LogFields = {},
): LoggerFactory {
  const log = format === 'json' ? jsonReporter(write, base) : textReporter(write);
  return (part) => {
    const consola = createConsola({
      level: format === 'silent' ? -1 : 3,
      reporters: [{log}],
      // Otherwise each line is serialized twice, to leave out repeated ones.
      throttle: 0,
    }).withTag(part);
    return {
      error: (message, fields = {}) => consola.error(message, fields),
      info: (message, fields = {}) => consola.info(message, fields),
      warn: (message, fields = {}) => consola.warn(message, fields),
    };
  };
}

/** Logger that discards everything; for tests and tools. */
export const silentLogger: Logger = {error: () => {}, info: () => {}, warn: () => {}};
