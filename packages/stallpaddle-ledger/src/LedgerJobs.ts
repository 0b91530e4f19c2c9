/**
 * Jobs: accepted once by key, cancelled for good.
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
const NO_ENDS = {cancelled: 0, done: 0, failed: 0, mayHaveRun: 0};

function knownJob(draft: LedgerDraft, command: Command<'createJob'>): LedgerJob | undefined {
  const byId = draft.jobs.get(command.jobId);
  if (byId !== undefined || command.key === null) {
    return byId;
  }
  const jobId = draft.keys.get(customerKey(command.customer, command.key));
  return jobId === undefined ? undefined : draft.jobs.get(jobId);
}

/** A customer that comes anew must not be owed for the time it was away. */
function $admitCustomer(draft: LedgerDraft, customer: string): void {
  const active = [...draft.runnable.values()].flatMap((jobs) =>
    [...jobs].map((jobId) => draft.served.get(draft.jobs.get(jobId)!.customer) ?? 0),
  );
  const least = active.length === 0 ? 0 : Math.min(...active);
  const served = draft.served.get(customer) ?? 0;
  draft.served = draft.served.set(customer, Math.max(served, least));
}

/**
 * Accepts a job, or finds the one that was accepted under the same key.
 *
 * @param draft draft of the running command
 * @param command the job
 */
export function $createJob(draft: LedgerDraft, command: Command<'createJob'>): LedgerAnswer {
  const known = knownJob(draft, command);
  if (known !== undefined) {
    return known.content === command.content
      ? {jobId: known.id, kind: 'job', resent: true}
      : refusal('keyReused', `the key was used for job ${known.id} with other content`);
  }
  const file = draft.files.get(command.fileId);
  if (file === undefined || !file.sealed || file.customer !== command.customer) {
    return refusal('notFound', `no file ${command.fileId}`);
  }
  $admitCustomer(draft, command.customer);
  const job: LedgerJob = {
    chunks: List(Array.from({length: file.chunks.size}, () => QUEUED)),
    content: command.content,
    counts: NO_ENDS,
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
 * Cancels a job: nothing of it starts again, and what is open ends here.
 *
 * @param draft draft of the running command
 * @param command the job and who cancels
 */
export function $cancelJob(draft: LedgerDraft, command: Command<'cancelJob'>): LedgerAnswer {
  const job = draft.jobs.get(command.jobId);
  if (job === undefined || (command.customer !== null && job.customer !== command.customer)) {
    return refusal('notFound', `no job ${command.jobId}`);
  }
  if (job.status === 'cancelled') {
    return {jobId: job.id, kind: 'job', resent: true};
  }
  if (job.status === 'completed') {
    return refusal('alreadyFinal', `job ${job.id} has completed`);
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
