/**
 * Timing and size limits of batch work on a VM.
 */

/** Duration of a chunk's lease without renewal, in milliseconds. */
export const BATCH_LEASE_MS = 4_000;

/** Interval between scheduling passes if nothing else starts one, in milliseconds. */
export const FILL_INTERVAL_MS = 100;

/** Interval between reports to the ledger, in milliseconds. */
export const REPORT_INTERVAL_MS = 50;

/** Pause before a shard without items to lease is asked again, in milliseconds. */
export const IDLE_SHARD_RETRY_MS = 250;

/** Items leased ahead beyond the free engine slots, as a multiple of these slots. */
export const PREFETCH_FACTOR = 1;

/** Longest run of one item on an engine, in milliseconds. */
export const ITEM_TIMEOUT_MS = 120_000;

/** Largest response to one item, in bytes. */
export const MAX_RESPONSE_BYTES = 8_388_608;
