/** Replicated state of batch jobs. Their requests are opaque. */
import type {Map as ImmutableMap, List} from 'immutable';
import type {GroupMs} from 'stallpaddle-replication';
import type {BlobRef} from 'stallpaddle-storage';

/** Id of a job within the group. */
export type JobId = string;

/** How an item ended. */
export type ItemOutcome = 'completed' | 'givenUp';

/** Why an item is given up. */
export type GiveUpReason =
  /** An engine answered that no engine can process it. */
  | 'impossible'
  /** Its route was removed. */
  | 'noRoute'
  /** Its number of failures reached the limit of its route. */
  | 'tooManyFailures'
  /** Its job is older than its route allows. */
  | 'tooOld';

/** Recorded output of an open item. */
export interface ItemProgress {
  readonly events: number;
  readonly lastEvent: string | null;
  /** Data of its events, joined by line feeds within and between parts. */
  readonly parts: readonly BlobRef[];
  /** Number of times that the item's output was discarded; omitted before the first time. */
  readonly restarts?: number | undefined;
  /** Version of the engine software that wrote the output; missing in records of earlier releases. */
  readonly softwareVersion?: string | undefined;
}

/** A part of an item's output to record. */
export interface ProgressPart {
  /** Number of events before this part; a part that does not directly follow the recorded ones is ignored. */
  readonly after: number;
  readonly events: number;
  readonly item: number;
  readonly job: JobId;
  readonly lastEvent: string | null;
  /** As in {@link ItemProgress}; the first part after a restart replaces the recorded output. */
  readonly restarts?: number | undefined;
  readonly softwareVersion?: string | undefined;
  readonly text: Uint8Array;
}

/** One request of a job. */
export interface JobItem {
  readonly body: BlobRef;
  /** Number of failed attempts. */
  readonly failures: number;
  /** Name and value of each header. */
  readonly headers: readonly (readonly [string, string])[];
  readonly id: string;
  readonly outcome: ItemOutcome | null;
  readonly path: string;
  readonly progress: ItemProgress | null;
  /** Tokens of its prompt and its longest possible answer together. */
  readonly tokens: number;
}

/** A recorded result; its position never changes. */
export interface JobResult {
  /** Index of the item in the job. */
  readonly item: number;
  readonly outcome: ItemOutcome;
  /** Parts of the output, to be joined by line feeds; empty if the item was given up. */
  readonly texts: readonly BlobRef[];
}

/** A batch job. */
export interface Job {
  readonly acceptedAt: GroupMs;
  /** The customer that owns it; omitted when the fleet has no customers. */
  readonly customer?: string | undefined;
  /** Whether its submitter cancelled it. */
  readonly ended: boolean;
  /** Host and path that it was submitted to; its route is looked up by them in the current configuration. */
  readonly host: string;
  /** Id within the group. */
  readonly id: JobId;
  readonly items: readonly JobItem[];
  readonly path: string;
  readonly results: List<JobResult>;
  /** Route at submission, under which its waiting tokens are counted. */
  readonly route: string;
}

/** An item of a submission. */
export interface SubmittedItem extends Omit<JobItem, 'body' | 'failures' | 'outcome' | 'progress'> {
  readonly body: Uint8Array;
}

/** A job to submit. */
export interface Submission {
  /** The submitting customer; omitted when the fleet has no customers. */
  readonly customer?: string | undefined;
  readonly host: string;
  /** Name chosen by the submitter, unique per customer. */
  readonly id: string;
  readonly items: readonly SubmittedItem[];
  readonly path: string;
  readonly route: string;
}

/** End of an item. */
export interface ItemEnd {
  /** Number of events before `data`, all of them recorded. */
  readonly after: number;
  /** Data of each later event; empty if the item is given up. */
  readonly data: readonly string[];
  readonly item: number;
  readonly job: JobId;
  readonly outcome: ItemOutcome;
  /** As in {@link ItemProgress}. */
  readonly restarts?: number | undefined;
}

/** Names a job. */
export interface JobName {
  /** The requesting customer; omitted when the fleet has no customers. */
  readonly customer?: string | undefined;
  readonly job: string;
}

/** Cancels a job. */
export interface EndJob extends JobName {
  readonly kind: 'endJob';
}

/** State change of a command. */
export type JobsChange =
  | {readonly ends: readonly ItemEnd[]; readonly kind: 'endItems'}
  | {readonly item: number; readonly job: JobId; readonly kind: 'countFailure'}
  | EndJob
  | {readonly kind: 'saveProgress'; readonly parts: readonly ProgressPart[]}
  | {
      readonly kind: 'submit';
      /** Maximum number of waiting tokens of the job's customer on the route; 0 for no limit. */
      readonly maxWaitingTokens: number;
      readonly submission: Submission;
    }
  | {readonly kind: 'tick'};

/** A command of the state machine. */
export interface JobsCommand {
  readonly change: JobsChange;
}

/** Answer to a command. */
export type JobsAnswer =
  | {readonly kind: 'accepted'; readonly repeated: boolean}
  | {readonly kind: 'done'}
  | {readonly kind: 'overQuota'; readonly waitingTokens: number}
  | {readonly kind: 'unknownJob'};

/** State of the group. */
export interface JobsState {
  readonly blobEnd: number;
  readonly clockMs: GroupMs;
  readonly jobs: ImmutableMap<JobId, Job>;
  /** Jobs with open items. */
  readonly open: ImmutableMap<JobId, true>;
  /** Tokens of open items, by route and customer. */
  readonly waitingTokens: ImmutableMap<string, number>;
}
