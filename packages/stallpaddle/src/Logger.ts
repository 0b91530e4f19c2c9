/**
 * Logs: short sentences, a fixed prefix for each part, no keys or prompts.
 */
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

/** Facts that go with a sentence. */
export type LogFields = Readonly<Record<string, boolean | number | string | undefined>>;

/** Writes one part's logs. */
export interface Logger {
  readonly error: (message: string, fields?: LogFields) => void;
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
}

/** How lines are written. */
export type LogFormat = 'json' | 'silent' | 'text';

/** Takes a line with its line feed. */
export type WriteLine = (line: string) => void;

/** Makes a logger for each part. */
export type LoggerFactory = (part: LogPart) => Logger;

function textFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${String(value)}`)
    .join('');
}

/** One line of the log before it is written. */
interface LogEntry {
  readonly fields: LogFields;
  readonly level: keyof Logger;
  readonly message: string;
  readonly part: LogPart;
}

function jsonLine({fields, level, message, part}: LogEntry, base: LogFields): string {
  const time = new Date().toISOString();
  return `${JSON.stringify({level, message, part, time, ...base, ...fields})}\n`;
}

function textLine({fields, level, message, part}: LogEntry): string {
  const time = new Date().toISOString().slice(11, 23);
  return `${time} ${level} [${part}] ${message}${textFields(fields)}\n`;
}

const writeToStandardError: WriteLine = (line) => {
  process.stderr.write(line);
};

/**
 * Makes the process's logger factory.
 *
 * @param format how lines are written; `silent` writes none
 * @param write takes the lines; by default they go to standard error
 * @param base facts that go with every JSON line, such as the VM's name
 */
export function createLoggerFactory(
  format: LogFormat,
  write: WriteLine = writeToStandardError,
  base: LogFields = {},
): LoggerFactory {
  if (format === 'silent') {
    return () => silentLogger;
  }
  const add = (entry: LogEntry): void =>
    write(format === 'json' ? jsonLine(entry, base) : textLine(entry));
  return (part) => {
    const log =
      (level: keyof Logger) =>
      (message: string, fields: LogFields = {}): void =>
        add({fields, level, message, part});
    return {error: log('error'), info: log('info'), warn: log('warn')};
  };
}

/** Logger that drops everything; for tests and tools. */
export const silentLogger: Logger = {error: () => {}, info: () => {}, warn: () => {}};
