/**
 * What became of a request, from the logs of several processes: one time line.
 */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';

/** One line of a process's log. */
export interface ExplainedLine {
  readonly fields: Readonly<Record<string, unknown>>;
  readonly message: string;
  readonly part: string;
  /** Wall time as the process wrote it; VMs may differ. */
  readonly time: string;
  readonly vm: string;
}

/** Fields that name a request, an item or a job, and the digest that the attempts of one request share. */
const ID_FIELDS = ['id', 'job', 'digest', 'request'] as const;

/** Where the time of day stands in a line's time, from hours to milliseconds. */
const TIME_OF_DAY = [11, 23] as const;

function parseLine(text: string): ExplainedLine | undefined {
  // Some collectors put words of their own before the line.
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

function concerns(line: ExplainedLine, names: readonly string[]): boolean {
  return ID_FIELDS.some((field) => names.includes(String(line.fields[field])));
}

/**
 * Lines about any of some names, oldest first.
 *
 * @param lines lines of any processes
 * @param names requests, items, jobs or digests
 */
export async function findLines(
  lines: AsyncIterable<string>,
  ...names: readonly string[]
): Promise<readonly ExplainedLine[]> {
  const found: ExplainedLine[] = [];
  for await (const text of lines) {
    // Most lines are about others; reading them all as JSON would take minutes on a day's logs.
    const line = names.some((name) => text.includes(name)) ? parseLine(text) : undefined;
    if (line !== undefined && concerns(line, names)) {
      found.push(line);
    }
  }
  return found.sort((a, b) => (a.time < b.time ? -1 : Number(a.time > b.time)));
}

/**
 * Digests that lines about a request name: engines ended when they began to run it, whatever its attempts are called.
 *
 * @param lines what was found
 */
export function digestsOf(lines: readonly ExplainedLine[]): readonly string[] {
  const named = lines.flatMap(({fields}) =>
    typeof fields['digest'] === 'string' ? [fields['digest']] : [],
  );
  return [...new Set(named)];
}

/**
 * Words one line.
 *
 * @param line the line
 */
export function describeLine({fields, message, part, time, vm}: ExplainedLine): string {
  const facts = Object.entries(fields)
    .filter(([name]) => name !== 'id' || 'digest' in fields)
    .map(([name, value]) => `${name}=${String(value)}`);
  return [time.slice(...TIME_OF_DAY), `${vm}/${part}`, message, ...facts].join(' ');
}

async function* linesOf(files: readonly string[]): AsyncGenerator<string> {
  for (const file of files) {
    yield* createInterface({input: createReadStream(file)});
  }
}

/**
 * Prints the way of a request; with a digest, all that became of it under any name.
 *
 * @param id a request, an item or a job
 * @param files logs, in any order
 * @returns whether anything was found
 */
export async function runExplain(id: string, files: readonly string[]): Promise<boolean> {
  // A reader that has seen enough, such as head, closes the pipe.
  process.stdout.on('error', () => process.exit());
  const own = await findLines(linesOf(files), id);
  const digests = digestsOf(own);
  const lines = digests.length === 0 ? own : await findLines(linesOf(files), id, ...digests);
  lines.forEach((line) => process.stdout.write(`${describeLine(line)}\n`));
  if (lines.length === 0) {
    process.stderr.write(`No line tells of ${id}.\n`);
  }
  return lines.length > 0;
}
