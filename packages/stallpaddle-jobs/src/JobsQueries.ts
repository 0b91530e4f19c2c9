/**
 * Questions about batch jobs, answered from a leader's state.
 */
import type {BlobRef} from 'stallpaddle-storage';

import type {EndJob, ItemOutcome, JobName, JobsState, Submission} from './JobsTypes';

import {findJob} from './JobsNames';

/** How a read may be answered. */
export interface ReadOptions {
  /** Whether a replica that doesn't lead may answer, from what it holds. */
  readonly mayFollow: boolean;
  /** Time after which nobody waits for the answer any more, beyond the time that it may be held, in milliseconds. */
  readonly patienceMs: number;
}

/** What any process may ask of the group's leader. */
export type JobsRequest =
  | (JobName & ReadOptions & {readonly item: string; readonly kind: 'readBody'})
  | EndJob
  | (JobName &
      ReadOptions & {
        readonly from: number;
        readonly kind: 'readResults';
        /** Longest time to hold the answer while there is none, in milliseconds. */
        readonly waitMs: number;
      })
  | {
      readonly kind: 'submit';
      readonly maxWaitingTokens: number;
      readonly submission: Submission;
    }
  | {
      readonly kind: 'tellOnline';
      /** What the sender holds of the others' counts; null when it holds nothing. */
      readonly known: OnlineCountsVersion | null;
      /** All online requests of the sender, by engine. */
      readonly own: Readonly<Record<string, number>>;
      /** The sender; each restart is another. */
      readonly sender: string;
      /** Rises with each call, so that a late one can be known. */
      readonly sequence: number;
    };

/** A result with its text. */
export interface ReadResult {
  readonly id: string;
  readonly outcome: ItemOutcome;
  readonly text: Uint8Array;
}

/** Answer to `readResults`. */
export type ResultsAnswer =
  | {readonly kind: 'notFound'}
  | {
      readonly kind: 'results';
      readonly next: number;
      readonly results: readonly ReadResult[];
      readonly total: number;
    };

/** Answer to `readBody`. */
export type BodyAnswer =
  {readonly body: Uint8Array; readonly kind: 'body'} | {readonly kind: 'notFound'};

/** Names one state of the counts of online requests. */
export interface OnlineCountsVersion {
  /** Changes that were counted before. */
  readonly changes: number;
  /** The process that counts. */
  readonly epoch: string;
}

/** Answer to `tellOnline`. */
export interface OnlineCountsAnswer {
  /** Whether engines that are not named have no such requests; else they have as many as before. */
  readonly isAll: boolean;
  /** Online requests of all senders but the one that asks, by engine; 0 for none. */
  readonly others: Readonly<Record<string, number>>;
  /** Engines all of whose items have fallen silent. */
  readonly suspects: readonly string[];
  readonly version: OnlineCountsVersion;
}

/** A result whose text has yet to be read. */
export interface ResultRef {
  readonly id: string;
  readonly outcome: ItemOutcome;
  readonly texts: readonly BlobRef[];
}

const LINE_FEED = Buffer.from('\n');

/**
 * Joins the parts of an output.
 *
 * @param parts the parts, in order
 */
export function joinOutput(parts: readonly Uint8Array[]): Uint8Array {
  return Buffer.concat(parts.flatMap((part, at) => (at === 0 ? [part] : [LINE_FEED, part])));
}

/**
 * Results from a position on.
 *
 * @param state a leader's state
 * @param name the job as its submitter names it
 * @param from first position, from 0
 * @param mostBytes most bytes of texts; one result is returned whatever its size
 * @returns undefined when there is no such job
 */
export function findResults(
  state: JobsState,
  name: JobName,
  from: number,
  mostBytes: number,
): {readonly results: readonly ResultRef[]; readonly total: number} | undefined {
  const job = findJob(state, name);
  if (job === undefined) {
    return undefined;
  }
  const results: ResultRef[] = [];
  let bytes = 0;
  for (const {item, outcome, texts} of job.results.slice(from)) {
    bytes += texts.reduce((sum, {length}) => sum + length, 0);
    if (results.length > 0 && bytes > mostBytes) {
      break;
    }
    results.push({id: job.items[item]!.id, outcome, texts});
  }
  return {results, total: job.items.length};
}

/**
 * Where the body of an item lies that has not ended.
 *
 * @param state a leader's state
 * @param name the job as its submitter names it
 * @param item the item's name
 */
export function findBody(state: JobsState, name: JobName, item: string): BlobRef | undefined {
  const job = findJob(state, name);
  if (job === undefined || job.ended) {
    return undefined;
  }
  return job.items.find((known) => known.id === item && known.outcome === null)?.body;
}
