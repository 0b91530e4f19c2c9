/**
 * State of a ledger shard and the commands that change it.
 */
import type {Map as ImmutableMap, Set as ImmutableSet, List} from 'immutable';
import type {CustomerId, VmId} from 'stallpaddle';
import type {GroupMs} from 'stallpaddle-replication';
import type {BlobRef} from 'stallpaddle-storage';

/** Wall-clock time of the proposing VM, in milliseconds since 1970. */
export type WallMs = number;
/** Fencing token of a chunk's lease; increases with each grant. */
export type LeaseToken = number;

/** Consecutive items of a file, stored as one blob. */
export interface FileChunk {
  readonly items: number;
  /** The items' input lines, separated by newlines. */
  readonly ref: BlobRef;
}

/** An uploaded file. Jobs can use it only once it is sealed. */
export interface LedgerFile {
  readonly bytes: number;
  readonly chunks: List<FileChunk>;
  /** SHA-256 of the content, in hexadecimal; empty until sealed. */
  readonly content: string;
  readonly createdAt: WallMs;
  readonly customer: CustomerId;
  readonly filename: string;
  readonly id: string;
  readonly items: number;
  /** Model that all items request. */
  readonly model: string;
  /** When the upload is dropped unless it has been sealed. */
  readonly openUntil: GroupMs;
  readonly sealed: boolean;
}

/** Final status of an item. The first one recorded is kept. */
export type ItemEnd = 'cancelled' | 'done' | 'failed' | 'mayHaveRun';

/** Number of items by final status. */
export type ItemCounts = Readonly<Record<ItemEnd, number>>;

/**
 * State of a chunk's items, one byte per item: the low four bits hold the status, the high four bits count engine
 * losses while the item was running. Null while no item has been touched.
 */
export type ItemBytes = Uint8Array | null;

/** A chunk of a running job. */
export type ChunkState =
  | {readonly items: ItemBytes; readonly kind: 'leased'; readonly token: LeaseToken}
  | {readonly items: ItemBytes; readonly kind: 'queued'}
  | {readonly kind: 'ended'};

/** Status of a job; all but `running` are final. */
export type JobStatus = 'cancelled' | 'completed' | 'running';

/** A batch job. */
export interface LedgerJob {
  /** Empty once the job is final. */
  readonly chunks: List<ChunkState>;
  /** SHA-256 of the job's request; distinguishes a resent request from a different one under the same key. */
  readonly content: string;
  readonly counts: ItemCounts;
  readonly createdAt: WallMs;
  /** No chunk before this one is queued. */
  readonly cursor: number;
  readonly customer: CustomerId;
  readonly dueAt: WallMs;
  readonly endedAt: WallMs | null;
  readonly endpoint: string;
  /** Blobs of error lines. */
  readonly errors: List<BlobRef>;
  readonly fileId: string;
  readonly id: string;
  readonly items: number;
  readonly key: string | null;
  /** Items that ended as `mayHaveRun` without an error line, as `chunk * 256 + item`. */
  readonly lineless: List<number>;
  readonly metadata: Readonly<Record<string, string>>;
  readonly model: string;
  /** Blobs of result lines. */
  readonly outputs: List<BlobRef>;
  /** Number of chunks that wait for a lease. */
  readonly queuedChunks: number;
  readonly repeatable: boolean;
  readonly status: JobStatus;
}

/** A VM's lease on a chunk. */
export interface ChunkLease {
  readonly chunk: number;
  readonly jobId: string;
  /** When the lease expires unless it is renewed. */
  readonly until: GroupMs;
  readonly vm: VmId;
}

/** A call that must not run twice: started, or ended with a response that is kept for resent calls. */
export type CallRecord =
  | {
      readonly at: WallMs;
      /** Identifies the attempt, so that a resent start is not mistaken for a second one. */
      readonly attempt: string;
      readonly content: string;
      readonly kind: 'started';
    }
  | {
      readonly answer: BlobRef;
      readonly at: WallMs;
      readonly content: string;
      readonly contentType: string;
      readonly kind: 'ended';
      readonly status: number;
    };

/** Event counters for operators. */
export interface LedgerCounters {
  /** Results for items that were already final. */
  readonly doubledResults: number;
  readonly expiredLeases: number;
  /** Results reported under a lease that no longer holds the chunk. */
  readonly lateResults: number;
}

/** State of a shard. */
export interface LedgerState {
  readonly blobEnd: number;
  readonly calls: ImmutableMap<string, CallRecord>;
  /** Time on the shard's clock; 0 until the first command with elapsed time. */
  readonly clockMs: GroupMs;
  readonly counters: LedgerCounters;
  readonly files: ImmutableMap<string, LedgerFile>;
  readonly jobs: ImmutableMap<string, LedgerJob>;
  /** Job ids by customer and key. */
  readonly keys: ImmutableMap<string, string>;
  readonly leases: ImmutableMap<LeaseToken, ChunkLease>;
  readonly nextToken: LeaseToken;
  /** Jobs with queued chunks, by model. */
  readonly runnable: ImmutableMap<string, ImmutableSet<string>>;
  /** Items leased so far, by customer. A new job raises its customer to the lowest count among runnable jobs. */
  readonly served: ImmutableMap<CustomerId, number>;
}

/** Result of one item at an engine. */
export interface ItemReport {
  readonly item: number;
  /**
   * `lost`: the engine failed while the item was running; `line` is stored only if this makes the item final.
   * `returned`: the item was not sent to an engine; `line` is empty.
   */
  readonly kind: 'done' | 'failed' | 'lost' | 'mayHaveRun' | 'returned';
  /** Complete output or error line without its newline. */
  readonly line: string;
}

/** A VM's report on a chunk that it has leased. */
export interface ChunkReport {
  readonly chunk: number;
  readonly items: readonly ItemReport[];
  readonly jobId: string;
  /** Release the lease; items that are not final may be leased again. */
  readonly release: boolean;
  readonly token: LeaseToken;
}

/** A chunk of an upload. */
export interface UploadedChunk {
  readonly items: number;
  /** The items' input lines, each terminated by a newline. */
  readonly lines: Uint8Array;
}

/** Changes to a shard. */
export type LedgerCommand =
  | {
      readonly chunks: readonly UploadedChunk[];
      readonly customer: CustomerId;
      readonly fileId: string;
      /** Index of the first of these chunks, from 0; resent chunks are ignored. */
      readonly firstChunk: number;
      readonly model: string;
      readonly now: WallMs;
      readonly type: 'appendFile';
    }
  | {
      readonly bytes: number;
      readonly content: string;
      readonly customer: CustomerId;
      readonly fileId: string;
      readonly filename: string;
      readonly now: WallMs;
      /** Number of chunks in the upload. */
      readonly size: number;
      readonly type: 'sealFile';
    }
  | {
      readonly content: string;
      readonly customer: CustomerId;
      readonly dueAt: WallMs;
      readonly endpoint: string;
      readonly fileId: string;
      readonly jobId: string;
      readonly key: string | null;
      readonly metadata: Readonly<Record<string, string>>;
      readonly now: WallMs;
      readonly repeatable: boolean;
      readonly type: 'createJob';
    }
  | {
      /** Null for an operator. */
      readonly customer: CustomerId | null;
      readonly jobId: string;
      readonly now: WallMs;
      readonly type: 'cancelJob';
    }
  | {
      readonly leaseMs: number;
      readonly maxItems: number;
      readonly models: readonly string[];
      /** Wall-clock time that is compared with the jobs' due times. */
      readonly now: WallMs;
      readonly type: 'lease';
      readonly vm: VmId;
    }
  | {
      readonly leaseMs: number;
      /** End time of jobs that this report completes. */
      readonly now: WallMs;
      readonly renew: readonly LeaseToken[];
      readonly reports: readonly ChunkReport[];
      readonly type: 'report';
      readonly vm: VmId;
    }
  | {
      readonly items: readonly number[];
      readonly token: LeaseToken;
      readonly type: 'startItems';
    }
  /** `now`: end time of jobs that this completes, and what the age of call records is measured by. */
  | {readonly now: WallMs; readonly type: 'expire'}
  | {
      readonly attempt: string;
      readonly content: string;
      readonly customer: CustomerId;
      readonly key: string;
      readonly now: WallMs;
      readonly type: 'startCall';
    }
  | {
      readonly body: Uint8Array;
      readonly contentType: string;
      readonly customer: CustomerId;
      readonly key: string;
      readonly now: WallMs;
      readonly status: number;
      readonly type: 'endCall';
    }
  | {readonly customer: CustomerId; readonly key: string; readonly type: 'dropCall'};

/** A chunk as leased to a VM. */
export interface LeasedChunk {
  readonly chunk: number;
  readonly customer: CustomerId;
  readonly endpoint: string;
  readonly input: BlobRef;
  /** Items that are not final, with their engine losses so far. */
  readonly items: readonly {readonly item: number; readonly losses: number}[];
  readonly jobId: string;
  readonly model: string;
  readonly repeatable: boolean;
  readonly token: LeaseToken;
}

/** Why a command was refused. */
export interface LedgerRefusal {
  readonly code: 'alreadyFinal' | 'conflict' | 'keyReused' | 'notFound';
  readonly kind: 'refused';
  readonly message: string;
}

/** Answers to commands. */
export type LedgerAnswer =
  | LedgerRefusal
  | {readonly call: CallRecord; readonly kind: 'callExists'}
  | {readonly chunks: readonly LeasedChunk[]; readonly kind: 'leased'}
  | {readonly items: readonly number[]; readonly kind: 'started'}
  | {readonly jobId: string; readonly kind: 'job'; readonly resent: boolean}
  | {readonly kind: 'ok'}
  /** `revoked`: leases that the VM no longer holds; it must stop working on them. */
  | {readonly kind: 'reported'; readonly revoked: readonly LeaseToken[]};
