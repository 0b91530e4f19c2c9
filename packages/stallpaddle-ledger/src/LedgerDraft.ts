/**
 * The shard's next state while one command builds it. Functions whose names begin with `$` may be
 * called only while a command is applied: they change the draft.
 */
import type {PlacedBlob} from 'stallpaddle-replication';
import type {BlobRef} from 'stallpaddle-storage';

import {Set as ImmutableSet, List} from 'immutable';
import {invariant} from 'stallpaddle';
import {placeBlob} from 'stallpaddle-storage';

import type {ChunkState, ItemCounts, LedgerJob, LedgerState} from './LedgerTypes';

type Mutable<T> = {-readonly [Key in keyof T]: T[Key]};

/** State under construction, with the bulk data placed so far. */
export interface LedgerDraft extends Mutable<LedgerState> {
  readonly placed: PlacedBlob[];
}

/**
 * Opens a draft.
 *
 * @param state current state
 */
export function createDraft(state: LedgerState): LedgerDraft {
  return {...state, placed: []};
}

/**
 * Closes a draft.
 *
 * @param draft finished draft
 */
export function finishDraft(draft: LedgerDraft): LedgerState {
  const {placed: _placed, ...state} = draft;
  return state;
}

/**
 * Gives bulk data its place.
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
 * Stores a job and keeps the index of runnable jobs in step.
 *
 * @param draft draft of the running command
 * @param job new state of the job
 */
export function $putJob(draft: LedgerDraft, job: LedgerJob): void {
  draft.jobs = draft.jobs.set(job.id, job);
  const known = draft.runnable.get(job.model) ?? ImmutableSet<string>();
  const runs = job.status === 'running' && job.queuedChunks > 0;
  const next = runs ? known.add(job.id) : known.remove(job.id);
  draft.runnable =
    next.size > 0 ? draft.runnable.set(job.model, next) : draft.runnable.remove(job.model);
}

/**
 * Adds to a job's counts.
 *
 * @param counts counts so far
 * @param end how items ended
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
 * Ends a job whose items are all final; others are returned as they are.
 *
 * @param job a job
 * @param now time of the command
 */
export function completeWhenDone(job: LedgerJob, now: number): LedgerJob {
  const final = finalItems(job.counts);
  invariant(final <= job.items, 'job %s has more ends than items', job.id);
  if (job.status !== 'running' || final < job.items) {
    return job;
  }
  return {...job, chunks: List<ChunkState>(), endedAt: now, queuedChunks: 0, status: 'completed'};
}
