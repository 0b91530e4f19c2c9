/**
 * Read-only queries on a shard. Replies hold plain data only.
 */
import type {CustomerId} from 'stallpaddle';
import type {BlobRef} from 'stallpaddle-storage';

import {unreachable} from 'stallpaddle';

import type {
  CallRecord,
  FileChunk,
  ItemCounts,
  JobStatus,
  LedgerCounters,
  LedgerFile,
  LedgerJob,
  LedgerState,
} from './LedgerTypes';

import {finalItems} from './LedgerDraft';
import {LINELESS_CHUNK_STRIDE} from './LedgerLeases';
import {customerKey} from './LedgerUtils';

/** A query to a shard. A null customer stands for an operator. */
export type LedgerQuery =
  | {readonly customer: CustomerId | null; readonly fileId: string; readonly type: 'file'}
  | {readonly customer: CustomerId | null; readonly jobId: string; readonly type: 'job'}
  | {
      readonly customer: CustomerId | null;
      readonly jobId: string;
      readonly type: 'jobRefs';
    }
  | {readonly customer: CustomerId | null; readonly type: 'files'}
  | {readonly customer: CustomerId | null; readonly type: 'jobs'}
  | {readonly customer: CustomerId; readonly key: string; readonly type: 'call'}
  | {readonly type: 'summary'};

/** A file without its content. */
export interface FileView {
  readonly bytes: number;
  readonly content: string;
  readonly createdAt: number;
  readonly customer: CustomerId;
  readonly filename: string;
  readonly id: string;
  readonly items: number;
  readonly model: string;
}

/** A job without its items. */
export interface JobView {
  readonly counts: ItemCounts;
  readonly createdAt: number;
  readonly customer: CustomerId;
  readonly dueAt: number;
  readonly endedAt: number | null;
  readonly endpoint: string;
  readonly fileId: string;
  readonly id: string;
  readonly items: number;
  readonly key: string | null;
  readonly metadata: Readonly<Record<string, string>>;
  readonly model: string;
  readonly repeatable: boolean;
  readonly status: JobStatus;
}

/** Blobs that hold a job's result and error lines. */
export interface JobRefs {
  readonly errors: readonly BlobRef[];
  /** Items that ended as `mayHaveRun` without an error line, located by their input. */
  readonly lineless: readonly {readonly input: BlobRef; readonly item: number}[];
  readonly outputs: readonly BlobRef[];
}

/** Reply to a query; data is undefined when it does not exist or belongs to another customer. */
export type LedgerReply =
  | {readonly call: CallRecord | undefined; readonly type: 'call'}
  | {
      readonly chunks: readonly FileChunk[];
      readonly file: FileView | undefined;
      readonly type: 'file';
    }
  | {readonly files: readonly FileView[]; readonly type: 'files'}
  | {readonly job: JobView | undefined; readonly type: 'job'}
  | {readonly jobs: readonly JobView[]; readonly type: 'jobs'}
  | {readonly refs: JobRefs | undefined; readonly type: 'jobRefs'}
  | {
      readonly counters: LedgerCounters;
      readonly leases: number;
      readonly openItems: number;
      readonly runningJobs: number;
      readonly type: 'summary';
    };

function fileView(file: LedgerFile): FileView {
  const {chunks: _chunks, openUntil: _openUntil, sealed: _sealed, ...view} = file;
  return view;
}

function jobView(job: LedgerJob): JobView {
  const {
    chunks: _chunks,
    content: _content,
    cursor: _cursor,
    errors: _errors,
    lineless: _lineless,
    outputs: _outputs,
    queuedChunks: _queuedChunks,
    ...view
  } = job;
  return view;
}

function jobRefs(state: LedgerState, job: LedgerJob): JobRefs {
  const chunks = state.files.get(job.fileId)?.chunks;
  return {
    errors: job.errors.toArray(),
    lineless: job.lineless.toArray().map((position) => ({
      input: chunks!.get(Math.floor(position / LINELESS_CHUNK_STRIDE))!.ref,
      item: position % LINELESS_CHUNK_STRIDE,
    })),
    outputs: job.outputs.toArray(),
  };
}

function summary(state: LedgerState): LedgerReply {
  const running = [...state.jobs.values()].filter((job) => job.status === 'running');
  const openItems = running.reduce((sum, job) => sum + job.items - finalItems(job.counts), 0);
  return {
    counters: state.counters,
    leases: state.leases.size,
    openItems,
    runningJobs: running.length,
    type: 'summary',
  };
}

/**
 * Runs a query.
 *
 * @param state the shard
 * @param query the query
 */
export function queryLedger(state: LedgerState, query: LedgerQuery): LedgerReply {
  const isVisible = (owner: CustomerId): boolean =>
    !('customer' in query) || query.customer === null || query.customer === owner;
  const findJob = (jobId: string): LedgerJob | undefined => {
    const job = state.jobs.get(jobId);
    return job !== undefined && isVisible(job.customer) ? job : undefined;
  };
  switch (query.type) {
    case 'call':
      return {call: state.calls.get(customerKey(query.customer, query.key)), type: 'call'};
    case 'file': {
      const file = state.files.get(query.fileId);
      const found = file !== undefined && file.sealed && isVisible(file.customer);
      return {
        chunks: found ? file.chunks.toArray() : [],
        file: found ? fileView(file) : undefined,
        type: 'file',
      };
    }
    case 'files': {
      const files = [...state.files.values()].filter(
        (file) => file.sealed && isVisible(file.customer),
      );
      return {files: files.map(fileView), type: 'files'};
    }
    case 'job': {
      const job = findJob(query.jobId);
      return {job: job && jobView(job), type: 'job'};
    }
    case 'jobRefs': {
      const job = findJob(query.jobId);
      return {refs: job && jobRefs(state, job), type: 'jobRefs'};
    }
    case 'jobs': {
      const jobs = [...state.jobs.values()].filter((job) => isVisible(job.customer));
      return {jobs: jobs.map(jobView), type: 'jobs'};
    }
    case 'summary':
      return summary(state);
    default:
      return unreachable(query);
  }
}
