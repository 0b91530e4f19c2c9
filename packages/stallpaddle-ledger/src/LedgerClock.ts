/**
 * The shard's own clock: leases and open uploads run out by it, whatever the VMs' times of day are.
 */
import type {GroupMs} from 'stallpaddle-replication';

import type {LedgerDraft} from './LedgerDraft';
import type {LedgerState, WallMs} from './LedgerTypes';

import {LEGACY_LEASE_MS, UPLOAD_TIMEOUT_MS} from './LedgerConstants';

/**
 * The time that leases and open uploads are compared with. Until a command has counted time, it is the proposing
 * VM's time of day: so ran the entries of releases that counted none, and their replay must end in the same state.
 *
 * @param state the shard
 * @param now time of the command
 */
export function expiryNow({clockMs}: LedgerState, now: WallMs): GroupMs {
  return clockMs > 0 ? clockMs : now;
}

/** Times of releases that counted none mean nothing on the shard's clock: what is held gets its full time anew. */
function $restartTimes(draft: LedgerDraft): void {
  const leaseEnd = draft.clockMs + LEGACY_LEASE_MS;
  const uploadEnd = draft.clockMs + UPLOAD_TIMEOUT_MS;
  draft.leases = draft.leases.map((lease) => ({...lease, until: leaseEnd}));
  draft.files = draft.files.map((file) => (file.sealed ? file : {...file, openUntil: uploadEnd}));
}

/**
 * Moves the shard's clock on; the first time that is counted ends that of earlier releases.
 *
 * @param draft draft of the running command
 * @param elapsedMs time since the command before it, in milliseconds
 */
export function $advanceClock(draft: LedgerDraft, elapsedMs: number): void {
  const isFirst = draft.clockMs === 0 && elapsedMs > 0;
  draft.clockMs += elapsedMs;
  if (isFirst) {
    $restartTimes(draft);
  }
}
