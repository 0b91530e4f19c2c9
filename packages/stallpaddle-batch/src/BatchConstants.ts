/**
 * Times and sizes of batch work on a VM.
 */

/** Life of a chunk's lease without renewal, in milliseconds. */
export const BATCH_LEASE_MS = 4_000;

/** Time between looks at the engines when nothing happens, in milliseconds. */
export const FILL_INTERVAL_MS = 100;

/** Time between reports to the ledger, in milliseconds. */
export const REPORT_INTERVAL_MS = 50;

/** Time before a shard that had nothing is asked again, in milliseconds. */
export const IDLE_SHARD_RETRY_MS = 250;

/** Items kept ready beyond what the engines have room for, as a multiple of that room. */
export const PREFETCH_FACTOR = 1;

/** Longest time for one item at an engine, in milliseconds. */
export const ITEM_TIMEOUT_MS = 120_000;

/** Most bytes of one answer. */
export const MAX_RESPONSE_BYTES = 8_388_608;
