/**
 * Constants of the ledger.
 */

/** Maximum number of items in one chunk. */
export const CHUNK_ITEMS = 32;

/** Maximum input size of one chunk, in bytes, unless a single item is larger. */
export const CHUNK_BYTES = 262_144;

/** Number of engine losses while an item was running after which the item fails. */
export const MAX_ITEM_LOSSES = 3;

/**
 * Lease time of releases without a shard clock, in milliseconds. Their leases are renewed for this long when the clock
 * starts.
 */
export const LEGACY_LEASE_MS = 4_000;

/** Time after which an unsealed upload is dropped, on the shard's clock, in milliseconds. */
export const UPLOAD_TIMEOUT_MS = 600_000;

/** How long a call record is kept to answer resent calls, in milliseconds. */
export const CALL_RECORD_TTL_MS = 86_400_000;

/** Slack below which a job is urgent and takes precedence over all others, in milliseconds. */
export const URGENT_SLACK_MS = 600_000;

/** Number of hash buckets for customers; shards hold contiguous ranges of buckets. */
export const LEDGER_BUCKETS = 1024;
