/**
 * State of a ledger shard and the commands that change it.
 */
import type {Map as ImmutableMap, Set as ImmutableSet, List} from 'immutable';
import type {CustomerId, VmId} from 'stallpaddle';
import type {GroupMs} from 'stallpaddle-replication';
import type {BlobRef} from 'stallpaddle-storage';

/** Milliseconds since 1970, as the proposing VM saw them. */
export type WallMs = number;
/** Fencing number of a chunk's lease; rises with each grant. */
export type LeaseToken = number;

/** A run of consecutive items of a file. */
export interface FileChunk {
  readonly items: number;
  /** The items' input lines, separated by newlines. */
  readonly ref: BlobRef;
}

/** An uploaded file. Until it is sealed it was not accepted. */
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
  /** Model that every item names. */
  readonly model: string;
  /** When the upload is forgotten unless it was sealed before. */
  readonly openUntil: GroupMs;
  readonly sealed: boolean;
}

/** How an item ended; the first end stands. */
export type ItemEnd = 'cancelled' | 'done' | 'failed' | 'mayHaveRun';

/** Items by how they ended. */
export type ItemCounts = Readonly<Record<ItemEnd, number>>;

/**
 * State of a chunk's items: one byte each, in which the low four bits hold the status and the high
 * four bits count engine losses with the item in flight. Null while all of them are untouched.
 */
export type ItemBytes = Uint8Array | null;

/** A chunk of a running job. */
export type ChunkState =
  | {readonly items: ItemBytes; readonly kind: 'leased'; readonly token: LeaseToken}
  | {readonly items: ItemBytes; readonly kind: 'queued'}
  | {readonly kind: 'ended'};

/** What a job does at present; all but `running` are final. */
export type JobStatus = 'cancelled' | 'completed' | 'running';

/** A batch job. */
export interface LedgerJob {
  /** Empty once the job is final. */
  readonly chunks: List<ChunkState>;
  /** SHA-256 of what the job asks for; tells a resent job from another one. */
  readonly content: string;
  readonly counts: ItemCounts;
  readonly createdAt: WallMs;
  /** First chunk that may be queued. */
  readonly cursor: number;
  readonly customer: CustomerId;
  readonly dueAt: WallMs;
  readonly endedAt: WallMs | null;
  readonly endpoint: string;
  /** Groups of error lines. */
  readonly errors: List<BlobRef>;
  readonly fileId: string;
  readonly id: string;
  readonly items: number;
  readonly key: string | null;
  /** Items that ended as `mayHaveRun` without a line, as `chunk * 256 + item`. */
  readonly lineless: List<number>;
  readonly metadata: Readonly<Record<string, string>>;
  readonly model: string;
  /** Groups of result lines. */
  readonly outputs: List<BlobRef>;
  /** Chunks that wait for a lease. */
  readonly queuedChunks: number;
  readonly repeatable: boolean;
  readonly status: JobStatus;
}

/** A chunk in a VM's hands. */
export interface ChunkLease {
  readonly chunk: number;
  readonly jobId: string;
  /** When the chunk is taken back unless the lease was renewed before. */
  readonly until: GroupMs;
  readonly vm: VmId;
}

/** A call that must not run twice, or whose answer is kept for a resend. */
export type CallRecord =
  | {
      readonly at: WallMs;
      /** Tells a resent start from a second one. */
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

/** Events that operators watch. */
export interface LedgerCounters {
  /** Results for items that were final already. */
  readonly doubledResults: number;
  readonly expiredLeases: number;
  /** Results under a lease that is no longer the chunk's. */
  readonly lateResults: number;
}

/** Everything a shard knows. */
export interface LedgerState {
  readonly blobEnd: number;
  readonly calls: ImmutableMap<string, CallRecord>;
  /** 0 until a command has counted time. */
  readonly clockMs: GroupMs;
  readonly counters: LedgerCounters;
  readonly files: ImmutableMap<string, LedgerFile>;
  readonly jobs: ImmutableMap<string, LedgerJob>;
  /** Jobs by customer and key. */
  readonly keys: ImmutableMap<string, string>;
  readonly leases: ImmutableMap<LeaseToken, ChunkLease>;
  readonly nextToken: LeaseToken;
  /** Jobs with queued chunks, by model. */
  readonly runnable: ImmutableMap<string, ImmutableSet<string>>;
  /** Items leased so far, by customer; a new customer starts at the smallest. */
  readonly served: ImmutableMap<CustomerId, number>;
}

/** What became of one item at an engine. */
export interface ItemReport {
  readonly item: number;
  /**
   * `lost`: the engine went with the item in flight; `line` is kept if that was once too often.
   * `returned`: no engine saw the item; `line` is empty.
   */
  readonly kind: 'done' | 'failed' | 'lost' | 'mayHaveRun' | 'returned';
  /** Complete output or error line without its newline. */
  readonly line: string;
}

/** What a VM says of a chunk it holds. */
export interface ChunkReport {
  readonly chunk: number;
  readonly items: readonly ItemReport[];
  readonly jobId: string;
  /** Give the chunk back with whatever is open. */
  readonly release: boolean;
  readonly token: LeaseToken;
}

/** A chunk on its way in. */
export interface UploadedChunk {
  readonly items: number;
  /** The items' input lines, each ended by a newline. */
  readonly lines: Uint8Array;
}

/** Changes to a shard. */
export type LedgerCommand =
  | {
      readonly chunks: readonly UploadedChunk[];
      readonly customer: CustomerId;
      readonly fileId: string;
      /** Number of the first of these chunks, from 0; a resent part is taken once. */
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
      /** Number of chunks that the upload has. */
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
      /** Tells which jobs are nearly due; their due times are times of day. */
      readonly now: WallMs;
      readonly type: 'lease';
      readonly vm: VmId;
    }
  | {
      readonly leaseMs: number;
      /** When jobs end that end by this report. */
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
  /** `now`: when jobs end that end by this, and by which old records are dropped; leases have the shard's clock. */
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

/** A chunk as handed to a VM. */
export interface LeasedChunk {
  readonly chunk: number;
  readonly customer: CustomerId;
  readonly endpoint: string;
  readonly input: BlobRef;
  /** Items still open, with their losses so far. */
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
  /** `revoked`: leases that are no longer the VM's; their work must stop. */
  | {readonly kind: 'reported'; readonly revoked: readonly LeaseToken[]};
