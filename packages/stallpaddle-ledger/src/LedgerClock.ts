/**
 * The shard's own clock. Leases and unsealed uploads expire by it, so that VMs' wall clocks don't matter.
 */
import type {GroupMs} from 'stallpaddle-replication';

import type {LedgerDraft} from './LedgerDraft';
import type {LedgerState, WallMs} from './LedgerTypes';

import {LEGACY_LEASE_MS, UPLOAD_TIMEOUT_MS} from './LedgerConstants';

/**
 * The time that expiry is measured by: the shard's clock, or the proposing VM's wall clock until the shard's clock has
 * started. Log entries of releases without a shard clock ran that way, and their replay must give the same state.
 *
 * @param state the shard
 * @param now time of the command
 */
export function expiryNow({clockMs}: LedgerState, now: WallMs): GroupMs {
  return clockMs > 0 ? clockMs : now;
}

/** Replaces expiry times that were set by a wall clock: leases and unsealed uploads get their full time again. */
function $resetExpiry(draft: LedgerDraft): void {
  const leaseEnd = draft.clockMs + LEGACY_LEASE_MS;
  const uploadEnd = draft.clockMs + UPLOAD_TIMEOUT_MS;
  draft.leases = draft.leases.map((lease) => ({...lease, until: leaseEnd}));
  draft.files = draft.files.map((file) => (file.sealed ? file : {...file, openUntil: uploadEnd}));
}

/**
 * Advances the shard's clock. The first advance resets expiry times set by releases without the clock.
 *
 * @param draft draft of the running command
 * @param elapsedMs time since the previous command, in milliseconds
 */
export function $advanceClock(draft: LedgerDraft, elapsedMs: number): void {
  const isFirst = draft.clockMs === 0 && elapsedMs > 0;
  draft.clockMs += elapsedMs;
  if (isFirst) {
    $resetExpiry(draft);
  }
}
