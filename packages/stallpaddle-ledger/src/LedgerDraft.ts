/**
 * Mutable draft of a shard's next state. Functions whose names begin with `$` modify the draft and may be called only
 * while a command is applied.
 */
import type {PlacedBlob} from 'stallpaddle-replication';
import type {BlobRef} from 'stallpaddle-storage';

import {Set as ImmutableSet, List} from 'immutable';
import {invariant} from 'stallpaddle';
import {placeBlob} from 'stallpaddle-storage';

import type {ChunkState, ItemCounts, LedgerJob, LedgerState} from './LedgerTypes';

type Mutable<T> = {-readonly [Key in keyof T]: T[Key]};

/** The next state, and the blobs to write with it. */
export interface LedgerDraft extends Mutable<LedgerState> {
  readonly placed: PlacedBlob[];
}

/**
 * Creates a draft.
 *
 * @param state current state
 */
export function createDraft(state: LedgerState): LedgerDraft {
  return {...state, placed: []};
}

/**
 * Returns the state that a draft has built.
 *
 * @param draft finished draft
 */
export function finishDraft(draft: LedgerDraft): LedgerState {
  const {placed: _placed, ...state} = draft;
  return state;
}

/**
 * Allocates space for a blob, which is written when the command is applied.
 *
 * @param draft draft of the running command
 * @param payload content
 */
export function $placeBlob(draft: LedgerDraft, payload: Uint8Array): BlobRef {
  const {end, ref} = placeBlob(draft.blobEnd, payload.length);
  draft.blobEnd = end;
  draft.placed.push({payload, ref});
  return ref;
}

/**
 * Stores a job and updates the index of runnable jobs.
 *
 * @param draft draft of the running command
 * @param job new state of the job
 */
export function $putJob(draft: LedgerDraft, job: LedgerJob): void {
  draft.jobs = draft.jobs.set(job.id, job);
  const jobs = draft.runnable.get(job.model) ?? ImmutableSet<string>();
  const isRunnable = job.status === 'running' && job.queuedChunks > 0;
  const next = isRunnable ? jobs.add(job.id) : jobs.remove(job.id);
  draft.runnable =
    next.size > 0 ? draft.runnable.set(job.model, next) : draft.runnable.remove(job.model);
}

/**
 * Adds to a job's counts.
 *
 * @param counts counts so far
 * @param end final status of the items
 * @param items number of items
 */
export function addCount(counts: ItemCounts, end: keyof ItemCounts, items: number): ItemCounts {
  return {...counts, [end]: counts[end] + items};
}

/**
 * Number of items that are final.
 *
 * @param counts a job's counts
 */
export function finalItems(counts: ItemCounts): number {
  return counts.cancelled + counts.done + counts.failed + counts.mayHaveRun;
}

/**
 * Completes a job whose items are all final; returns other jobs unchanged.
 *
 * @param job a job
 * @param now time of the command
 */
export function completeWhenDone(job: LedgerJob, now: number): LedgerJob {
  const final = finalItems(job.counts);
  invariant(final <= job.items, 'job %s has more final items than items', job.id);
  if (job.status !== 'running' || final < job.items) {
    return job;
  }
  return {...job, chunks: List<ChunkState>(), endedAt: now, queuedChunks: 0, status: 'completed'};
}
