/**
 * Builds the time line of one request from the logs of several processes.
 */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';

import {describeCause} from './CliExplainCause';

/** One parsed log line. */
export interface ExplainedLine {
  readonly fields: Readonly<Record<string, unknown>>;
  readonly message: string;
  readonly part: string;
  /** Wall-clock time as logged; the clocks of VMs may differ. */
  readonly time: string;
  readonly vm: string;
}

/**
 * Log fields that identify a request, an item or a job, beside the shared parts of its prompt; all attempts of a request share its digest, and those that resume
 * a stream name its first attempt.
 */
const ID_FIELDS = ['id', 'job', 'digest', 'firstAttempt', 'request'] as const;

/** Range of an ISO timestamp that holds the time of day, from hours to milliseconds. */
const TIME_OF_DAY = [11, 23] as const;

function parseLine(text: string): ExplainedLine | undefined {
  // Log collectors may add a prefix before the JSON.
  const start = text.indexOf('{');
  if (start === -1) {
    return undefined;
  }
  try {
    const {
      level: _,
      message,
      part,
      time,
      vm,
      ...fields
    } = JSON.parse(text.slice(start)) as Record<string, unknown>;
    return {
      fields,
      message: String(message),
      part: String(part),
      time: String(time),
      vm: String(vm ?? ''),
    };
  } catch {
    return undefined;
  }
}

function mentionsAny({fields}: ExplainedLine, ids: readonly string[]): boolean {
  const parts = String(fields['parts'] ?? '').split(',');
  return [...ID_FIELDS.map((field) => String(fields[field])), ...parts].some((id) =>
    ids.includes(id),
  );
}

/**
 * Finds the log lines that mention any of the given ids, oldest first.
 *
 * @param lines log lines of any number of processes
 * @param ids ids of requests, items or jobs, or digests
 */
export async function findLines(
  lines: AsyncIterable<string>,
  ...ids: readonly string[]
): Promise<readonly ExplainedLine[]> {
  const found: ExplainedLine[] = [];
  for await (const text of lines) {
    // The substring test avoids parsing lines about other requests as JSON, which would dominate the run time.
    const line = ids.some((id) => text.includes(id)) ? parseLine(text) : undefined;
    if (line !== undefined && mentionsAny(line, ids)) {
      found.push(line);
    }
  }
  return found.sort((a, b) => (a.time < b.time ? -1 : Number(a.time > b.time)));
}

/**
 * Returns the digests in the lines about a request. Attempts with other ids that engines crashed on have the same
 * digest.
 *
 * @param lines lines that mention the request
 */
export function digestsOf(lines: readonly ExplainedLine[]): readonly string[] {
  const digests = lines.flatMap(({fields}) =>
    typeof fields['digest'] === 'string' ? [fields['digest']] : [],
  );
  return [...new Set(digests)];
}

/**
 * Formats one line for the terminal.
 *
 * @param line the line
 */
export function describeLine({fields, message, part, time, vm}: ExplainedLine): string {
  const attributes = Object.entries(fields)
    .filter(([name]) => name !== 'id' || 'digest' in fields)
    .map(([name, value]) => `${name}=${String(value)}`);
  return [time.slice(...TIME_OF_DAY), `${vm}/${part}`, message, ...attributes].join(' ');
}

async function* readLines(files: readonly string[]): AsyncGenerator<string> {
  for (const file of files) {
    yield* createInterface({input: createReadStream(file)});
  }
}

/**
 * Prints the time line of a request, including its attempts under other ids if its lines hold a digest, and the cause of
 * its latest rejection.
 *
 * @param id id of a request, an item or a job
 * @param files paths of the logs, in any order
 * @returns whether any line was found
 */
export async function runExplain(id: string, files: readonly string[]): Promise<boolean> {
  // A reader such as `head` may close the pipe early.
  process.stdout.on('error', () => process.exit());
  const direct = await findLines(readLines(files), id);
  const digests = digestsOf(direct);
  const lines = digests.length === 0 ? direct : await findLines(readLines(files), id, ...digests);
  lines.forEach((line) => process.stdout.write(`${describeLine(line)}\n`));
  const cause = describeCause(lines, id);
  if (cause !== undefined) {
    process.stdout.write(`${cause}\n`);
  }
  if (lines.length === 0) {
    process.stderr.write(`No log line mentions ${id}.\n`);
  }
  return lines.length > 0;
}
