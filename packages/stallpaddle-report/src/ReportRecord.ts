/**
 * Parses the JSON files of the benchmark: a journal entry with several days, or the report of one day. Unknown fields
 * are ignored.
 */
import {errorMessage} from 'stallpaddle';
import * as z from 'zod/mini';

/** Fraction of a whole, from 0 to 1. */
const share = z.number();

/** Requests sent in one time window of a day, by outcome. */
const windowSchema = z.object({
  failed: z.number(),
  in_aim: z.number(),
  late: z.number(),
  n: z.number(),
  /** Start of the window in seconds, as text. */
  name: z.string(),
  not_owed: z.number(),
  refused: z.number(),
});

const daySchema = z.object({
  /** Worth of the day: weighted sum of its parts, minus its prices. */
  G: z.number(),
  name: z.nullish(z.string()),
  /** Name, weight and earned share of each part. */
  parts: z.array(z.tuple([z.string(), share, share])),
  /** Name, amount and deducted share of each price. */
  prices: z.array(z.tuple([z.string(), z.number(), share])),
  /** Null for a day that was generated without a fixed seed. */
  seed: z.nullish(z.number()),
  windows: z.nullish(z.array(windowSchema)),
});

const entrySchema = z.object({days: z.array(daySchema), site: z.string()});

/** Journal entry of a run that was stopped before its first day completed. */
const stoppedSchema = z.object({cmd: z.string(), id: z.string()});

/** Requests sent in one time window of a day, by outcome. */
export type WindowRecord = Readonly<z.infer<typeof windowSchema>>;
/** Result of one day; the site is null for the report of a single day. */
export type DayRecord = Readonly<z.infer<typeof daySchema>> & {readonly site: string | null};

/** A file that is neither a journal entry with days nor the report of a day. */
export class ReportError extends Error {
  override readonly name = 'ReportError';
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (err) {
    throw new ReportError(`The file is not JSON: ${errorMessage(err)}`);
  }
}

/**
 * Parses the days in a file.
 *
 * @param text content of the file, JSON
 * @throws {ReportError} when it contains no days
 */
export function readDays(text: string): readonly DayRecord[] {
  const value = parse(text);
  const entry = z.safeParse(entrySchema, value);
  if (entry.success) {
    const {days, site} = entry.data;
    return days.map((day) => ({...day, site}));
  }
  const day = z.safeParse(daySchema, value);
  if (day.success) {
    return [{...day.data, site: null}];
  }
  const stopped = z.safeParse(stoppedSchema, value);
  if (stopped.success) {
    const {cmd, id} = stopped.data;
    throw new ReportError(`The entry ${id} of a ${cmd} contains no readable days.`);
  }
  throw new ReportError('The file is neither a journal entry nor the report of a day.');
}
