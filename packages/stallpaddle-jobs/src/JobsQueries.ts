/** Requests to the group that keeps batch jobs, and queries of its state. */
import type {EngineId} from 'stallpaddle';
import type {DemandReport, RoomReport, SharesReport} from 'stallpaddle-admission';
import type {SpeedSample} from 'stallpaddle-capacity';
import type {BlobRef} from 'stallpaddle-storage';

import type {EndJob, ItemOutcome, JobName, JobsState, Submission} from './JobsTypes';

import {findJob} from './JobsNames';

/** Options of a read. */
export interface ReadOptions {
  /** Whether a follower may answer from its own, possibly older state. */
  readonly mayFollow: boolean;
  /** Time after which the caller gives up waiting, in addition to `waitMs`, in milliseconds. */
  readonly patienceMs: number;
}

/** Requests that processes send to the group's leader. */
export type JobsRequest =
  | (JobName & ReadOptions & {readonly item: string; readonly kind: 'readBody'})
  | EndJob
  | (JobName &
      ReadOptions & {
        readonly from: number;
        readonly kind: 'readResults';
        /** Maximum time to wait for a result (long polling), in milliseconds. */
        readonly waitMs: number;
      })
  | {
      readonly kind: 'submit';
      readonly maxWaitingTokens: number;
      readonly submission: Submission;
    }
  | (OnlineReportDetails & {
      /** Whether the sender takes no answer; earlier releases don't tell it. */
      readonly isOneWay?: boolean;
      readonly kind: 'tellOnline';
      /** Version of the other VMs' counts that the sender has; null if it has none. */
      readonly known: OnlineCountsVersion | null;
      /** Online requests of the sender, by engine. */
      readonly own: Readonly<Record<string, number>>;
      /** Id of the sending process; a restart has a new one. */
      readonly sender: string;
      /** Increases with each call, so that reordered calls are detected. */
      readonly sequence: number;
    });

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

/** Version of the online request counts. */
export interface OnlineCountsVersion {
  /** Number of changes so far. */
  readonly changes: number;
  /** Id of the counting process. */
  readonly epoch: string;
  /** Number of changes of the runs of items; absent while they are not told. */
  readonly items?: number;
  /** Number of changes of the engines' speeds; absent while they are not told. */
  readonly speeds?: number;
}

/** What a report of online requests tells for optional features; absent while they are off. */
export interface OnlineReportDetails {
  /** Requests of the sender at this moment. */
  readonly demand?: DemandReport;
  /** Observations since the last report that was answered, by engine. */
  readonly speeds?: Readonly<Record<EngineId, SpeedSample>>;
  /** Number of these observations: they are repeated under the same number until a report is answered. */
  readonly speedsNumber?: number;
}

/** What an answer to such a report tells for optional features; absent while they are off. */
export interface OnlineAnswerDetails {
  /** Runs of batch items by engine; engines that are not listed are unchanged, or have none if `isAll` is set. */
  readonly items?: Readonly<Record<EngineId, number>>;
  readonly room?: RoomReport;
  readonly shares?: SharesReport;
  /** Speed of engines as a factor of their service's median; engines that are not listed are unchanged. */
  readonly speeds?: Readonly<Record<EngineId, number>>;
}

/** Answer to `tellOnline`. */
export interface OnlineCountsAnswer extends OnlineAnswerDetails {
  /** Whether `others` is complete: engines missing from it have no requests. Otherwise their counts are unchanged. */
  readonly isAll: boolean;
  /** Online requests of all other senders, by engine; 0 for none. */
  readonly others: Readonly<Record<string, number>>;
  /** Time to leave between two reports, in milliseconds; earlier releases don't tell it. */
  readonly spacingMs?: number;
  /** Engines that run items, none of which has brought an event lately. */
  readonly suspects: readonly string[];
  readonly version: OnlineCountsVersion;
}

/** A result with references to its text. */
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
 * Finds the results of a job from a position on.
 *
 * @param state the group's state
 * @param name the job's name and the requesting customer
 * @param from first position, starting at 0
 * @param maxBytes maximum size of the texts; at least one result is returned regardless of its size
 * @returns undefined when there is no such job
 */
export function findResults(
  state: JobsState,
  name: JobName,
  from: number,
  maxBytes: number,
): {readonly results: readonly ResultRef[]; readonly total: number} | undefined {
  const job = findJob(state, name);
  if (job === undefined) {
    return undefined;
  }
  const results: ResultRef[] = [];
  let bytes = 0;
  for (const {item, outcome, texts} of job.results.slice(from)) {
    bytes += texts.reduce((sum, {length}) => sum + length, 0);
    if (results.length > 0 && bytes > maxBytes) {
      break;
    }
    results.push({id: job.items[item]!.id, outcome, texts});
  }
  return {results, total: job.items.length};
}

/**
 * Finds the body of an open item.
 *
 * @param state the group's state
 * @param name the job's name and the requesting customer
 * @param item the item's id within the job
 */
export function findBody(state: JobsState, name: JobName, item: string): BlobRef | undefined {
  const job = findJob(state, name);
  if (job === undefined || job.ended) {
    return undefined;
  }
  return job.items.find((known) => known.id === item && known.outcome === null)?.body;
}
