/**
 * Reads what the users' bench writes: an entry of its journal (several days) or the report of one day. Fields
 * that are not named here may come and go.
 */
import {errorMessage} from 'stallpaddle';
import * as z from 'zod/mini';

/** Part of a whole; 1 is all of it. */
const share = z.number();

/** Requests that were sent in one stretch of a day. */
const windowSchema = z.object({
  failed: z.number(),
  in_aim: z.number(),
  late: z.number(),
  n: z.number(),
  /** Second from which it counts, as text. */
  name: z.string(),
  not_owed: z.number(),
  refused: z.number(),
});

const daySchema = z.object({
  /** Worth of the day: its parts by their weights, less its prices. */
  G: z.number(),
  name: z.nullish(z.string()),
  /** Name, weight, share that was earned. */
  parts: z.array(z.tuple([z.string(), share, share])),
  /** Name, amount, share that was taken off. */
  prices: z.array(z.tuple([z.string(), z.number(), share])),
  /** Null for a day that was drawn just now. */
  seed: z.nullish(z.number()),
  windows: z.nullish(z.array(windowSchema)),
});

const entrySchema = z.object({days: z.array(daySchema), site: z.string()});

/** An entry of a run that was ended before any day was over. */
const endedSchema = z.object({cmd: z.string(), id: z.string()});

/** Requests that were sent in one stretch of a day. */
export type WindowRecord = Readonly<z.infer<typeof windowSchema>>;
/** One played day. */
export type DayRecord = Readonly<z.infer<typeof daySchema>> & {readonly site: string | null};

/** A file that is neither an entry of the journal nor the report of a day. */
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
 * Reads the days of a file.
 *
 * @param text the file's content, JSON
 * @throws {ReportError} when it holds no days
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
  const ended = z.safeParse(endedSchema, value);
  if (ended.success) {
    const {cmd, id} = ended.data;
    throw new ReportError(`The entry ${id} of a ${cmd} holds no days that could be read.`);
  }
  throw new ReportError('The file holds neither an entry of the journal nor the report of a day.');
}
