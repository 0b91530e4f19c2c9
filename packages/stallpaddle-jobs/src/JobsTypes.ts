/**
 * Batch jobs of opaque requests, as a group of replicas keeps them.
 */
import type {Map as ImmutableMap, List} from 'immutable';
import type {GroupMs} from 'stallpaddle-replication';
import type {BlobRef} from 'stallpaddle-storage';

/** Name of a job, given by whoever submits it. */
export type JobId = string;

/** How an item ended. */
export type ItemOutcome = 'completed' | 'givenUp';

/** Why an item is given up. */
export type GiveUpReason =
  /** An engine says that none can do it. */
  | 'impossible'
  /** Its route was removed. */
  | 'noRoute'
  /** Engines failed at it as often as its route allows. */
  | 'tooManyFailures'
  /** Its job was accepted longer ago than its route allows. */
  | 'tooOld';

/** What the runs of an item have brought, as far as it was recorded. */
export interface ItemProgress {
  readonly events: number;
  readonly lastEvent: string | null;
  /** Data of its events, joined by line feeds within a part and between parts. */
  readonly parts: readonly BlobRef[];
}

/** A part of an item's output that is to be recorded. */
export interface ProgressPart {
  /** Events before this part; a part that doesn't follow what is recorded is left out. */
  readonly after: number;
  readonly events: number;
  readonly item: number;
  readonly job: JobId;
  readonly lastEvent: string | null;
  readonly text: Uint8Array;
}

/** One request of a job. */
export interface JobItem {
  readonly body: BlobRef;
  /** Answers of engines that failed at it. */
  readonly failures: number;
  /** Name and value of each header. */
  readonly headers: readonly (readonly [string, string])[];
  readonly id: string;
  readonly outcome: ItemOutcome | null;
  readonly path: string;
  readonly progress: ItemProgress | null;
  /** Of its prompt and its longest answer together. */
  readonly tokens: number;
}

/** A listed result; its place never changes. */
export interface JobResult {
  /** Place of the item in the job. */
  readonly item: number;
  readonly outcome: ItemOutcome;
  /** Parts of the output, to be joined by line feeds; none for an item that was given up. */
  readonly texts: readonly BlobRef[];
}

/** A batch job. */
export interface Job {
  readonly acceptedAt: GroupMs;
  /** The customer that it belongs to; left out where the fleet knew none. */
  readonly customer?: string | undefined;
  /** Whether its submitter wants no more of it. */
  readonly ended: boolean;
  /** Host and path that it was submitted to: they choose its route, whatever is configured later. */
  readonly host: string;
  /** Name within the whole group. */
  readonly id: JobId;
  readonly items: readonly JobItem[];
  readonly path: string;
  readonly results: List<JobResult>;
  /** Route at the time it was accepted; its waiting tokens count there. */
  readonly route: string;
}

/** An item as it is submitted. */
export interface SubmittedItem extends Omit<JobItem, 'body' | 'failures' | 'outcome' | 'progress'> {
  readonly body: Uint8Array;
}

/** A job as it is submitted. */
export interface Submission {
  /** The customer that submits it; left out where the fleet knows none. */
  readonly customer?: string | undefined;
  readonly host: string;
  /** The submitter's own name for it; another customer may use the same. */
  readonly id: string;
  readonly items: readonly SubmittedItem[];
  readonly path: string;
  readonly route: string;
}

/** End of one item. */
export interface ItemEnd {
  /** Events before those told here: all of them are recorded. */
  readonly after: number;
  /** Data of each event after those; empty for an item that is given up. */
  readonly data: readonly string[];
  readonly item: number;
  readonly job: JobId;
  readonly outcome: ItemOutcome;
}

/** A job, as its submitter names it. */
export interface JobName {
  /** The customer that asks; left out where the fleet knows none. */
  readonly customer?: string | undefined;
  readonly job: string;
}

/** A submitter wants no more of its job. */
export interface EndJob extends JobName {
  readonly kind: 'endJob';
}

/** What a command does. */
export type JobsChange =
  | {readonly ends: readonly ItemEnd[]; readonly kind: 'endItems'}
  | {readonly item: number; readonly job: JobId; readonly kind: 'countFailure'}
  | EndJob
  | {readonly kind: 'saveProgress'; readonly parts: readonly ProgressPart[]}
  | {
      readonly kind: 'submit';
      /** Most tokens of the job's customer that may wait on the route; 0 for no limit. */
      readonly maxWaitingTokens: number;
      readonly submission: Submission;
    }
  | {readonly kind: 'tick'};

/** A command. Each may be repeated without harm. */
export interface JobsCommand {
  readonly change: JobsChange;
}

/** Answer to a command. */
export type JobsAnswer =
  | {readonly kind: 'accepted'; readonly repeated: boolean}
  | {readonly kind: 'done'}
  | {readonly kind: 'overQuota'; readonly waitingTokens: number}
  | {readonly kind: 'unknownJob'};

/** Everything that the group keeps. */
export interface JobsState {
  readonly blobEnd: number;
  readonly clockMs: GroupMs;
  readonly jobs: ImmutableMap<JobId, Job>;
  /** Jobs with items that have not ended. */
  readonly open: ImmutableMap<JobId, true>;
  /** Tokens of items that have not ended, by route and customer. */
  readonly waitingTokens: ImmutableMap<string, number>;
}
