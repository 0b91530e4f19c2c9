/**
 * Creation and cancellation of jobs.
 */
import type {BlobRef} from 'stallpaddle-storage';

import {List} from 'immutable';

import type {LedgerDraft} from './LedgerDraft';
import type {ChunkState, LedgerAnswer, LedgerCommand, LedgerJob} from './LedgerTypes';

import {$putJob, addCount, completeWhenDone, finalItems} from './LedgerDraft';
import {$revokeLeases} from './LedgerLeases';
import {customerKey, refusal} from './LedgerUtils';

type Command<Type> = Extract<LedgerCommand, {type: Type}>;

const QUEUED: ChunkState = {items: null, kind: 'queued'};
const ZERO_COUNTS = {cancelled: 0, done: 0, failed: 0, mayHaveRun: 0};

function findExistingJob(draft: LedgerDraft, command: Command<'createJob'>): LedgerJob | undefined {
  const byId = draft.jobs.get(command.jobId);
  if (byId !== undefined || command.key === null) {
    return byId;
  }
  const jobId = draft.keys.get(customerKey(command.customer, command.key));
  return jobId === undefined ? undefined : draft.jobs.get(jobId);
}

/** Raises a customer to the lowest active count, so that it gains no credit for the time without jobs. */
function $raiseServed(draft: LedgerDraft, customer: string): void {
  const active = [...draft.runnable.values()].flatMap((jobs) =>
    [...jobs].map((jobId) => draft.served.get(draft.jobs.get(jobId)!.customer) ?? 0),
  );
  const least = active.length === 0 ? 0 : Math.min(...active);
  const served = draft.served.get(customer) ?? 0;
  draft.served = draft.served.set(customer, Math.max(served, least));
}

/**
 * Creates a job, or returns the existing one with the same id or key.
 *
 * @param draft draft of the running command
 * @param command the job
 */
export function $createJob(draft: LedgerDraft, command: Command<'createJob'>): LedgerAnswer {
  const existing = findExistingJob(draft, command);
  if (existing !== undefined) {
    return existing.content === command.content
      ? {jobId: existing.id, kind: 'job', resent: true}
      : refusal(
          'keyReused',
          `the key was already used for job ${existing.id} with different content`,
        );
  }
  const file = draft.files.get(command.fileId);
  if (file === undefined || !file.sealed || file.customer !== command.customer) {
    return refusal('notFound', `file ${command.fileId} does not exist`);
  }
  $raiseServed(draft, command.customer);
  const job: LedgerJob = {
    chunks: List(Array.from({length: file.chunks.size}, () => QUEUED)),
    content: command.content,
    counts: ZERO_COUNTS,
    createdAt: command.now,
    cursor: 0,
    customer: command.customer,
    dueAt: command.dueAt,
    endedAt: null,
    endpoint: command.endpoint,
    errors: List<BlobRef>(),
    fileId: command.fileId,
    id: command.jobId,
    items: file.items,
    key: command.key,
    lineless: List<number>(),
    metadata: command.metadata,
    model: file.model,
    outputs: List<BlobRef>(),
    queuedChunks: file.chunks.size,
    repeatable: command.repeatable,
    status: 'running',
  };
  $putJob(draft, completeWhenDone(job, command.now));
  if (command.key !== null) {
    draft.keys = draft.keys.set(customerKey(command.customer, command.key), job.id);
  }
  return {jobId: job.id, kind: 'job', resent: false};
}

/**
 * Cancels a job: revokes its leases and ends all open items as `cancelled`.
 *
 * @param draft draft of the running command
 * @param command the job and the requester
 */
export function $cancelJob(draft: LedgerDraft, command: Command<'cancelJob'>): LedgerAnswer {
  const job = draft.jobs.get(command.jobId);
  if (job === undefined || (command.customer !== null && job.customer !== command.customer)) {
    return refusal('notFound', `job ${command.jobId} does not exist`);
  }
  if (job.status === 'cancelled') {
    return {jobId: job.id, kind: 'job', resent: true};
  }
  if (job.status === 'completed') {
    return refusal('alreadyFinal', `job ${job.id} is already completed`);
  }
  $revokeLeases(draft, job);
  const open = job.items - finalItems(job.counts);
  $putJob(draft, {
    ...job,
    chunks: List<ChunkState>(),
    counts: addCount(job.counts, 'cancelled', open),
    endedAt: command.now,
    queuedChunks: 0,
    status: 'cancelled',
  });
  return {jobId: job.id, kind: 'job', resent: false};
}
