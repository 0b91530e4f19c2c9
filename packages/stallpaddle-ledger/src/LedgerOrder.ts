/**
 * Order in which jobs get leases: urgent jobs by slack, others by the least served customer.
 */
import type {LedgerJob, LedgerState} from './LedgerTypes';

import {URGENT_SLACK_MS} from './LedgerConstants';
import {finalItems} from './LedgerDraft';

/** Assumed run time of an open item in estimates of slack, in milliseconds. */
const ITEM_ESTIMATE_MS = 20;

/**
 * Estimated time between the end of a job's open items and its due time.
 *
 * @param job a job
 * @param now time of the command
 * @returns milliseconds; negative when the job is late
 */
export function jobSlackMs(job: LedgerJob, now: number): number {
  const open = job.items - finalItems(job.counts);
  return job.dueAt - now - open * ITEM_ESTIMATE_MS;
}

interface Candidate {
  readonly job: LedgerJob;
  readonly served: number;
  readonly slackMs: number;
}

function hasPriority(a: Candidate, b: Candidate): boolean {
  const urgent = a.slackMs < URGENT_SLACK_MS || b.slackMs < URGENT_SLACK_MS;
  if (urgent || a.served === b.served) {
    return a.slackMs < b.slackMs || (a.slackMs === b.slackMs && a.job.id < b.job.id);
  }
  return a.served < b.served;
}

/**
 * Picks the job whose chunk is leased next.
 *
 * @param state the shard
 * @param models models that the requesting VM can serve
 * @param now time of the command
 */
export function pickJob(
  state: LedgerState,
  models: readonly string[],
  now: number,
): LedgerJob | undefined {
  let best: Candidate | undefined;
  for (const model of models) {
    for (const jobId of state.runnable.get(model) ?? []) {
      const job = state.jobs.get(jobId)!;
      const served = state.served.get(job.customer) ?? 0;
      const candidate = {job, served, slackMs: jobSlackMs(job, now)};
      if (best === undefined || hasPriority(candidate, best)) {
        best = candidate;
      }
    }
  }
  return best?.job;
}
