/**
 * Fixed numbers of the ledger.
 */

/** Most items in one chunk. */
export const CHUNK_ITEMS = 32;

/** Most bytes of input in one chunk, unless a single item is larger. */
export const CHUNK_BYTES = 262_144;

/** Engine losses with an item in flight after which the item has failed. */
export const MAX_ITEM_LOSSES = 3;

/**
 * Time that leases of releases that counted no time get once time is counted, in milliseconds: the full time that
 * those releases leased for.
 */
export const LEGACY_LEASE_MS = 4_000;

/** How long an upload that doesn't end is kept, on the shard's clock, in milliseconds. */
export const UPLOAD_TIMEOUT_MS = 600_000;

/** How long the record of a call is kept for a resend, in milliseconds. */
export const CALL_RECORD_TTL_MS = 86_400_000;

/** A job that would end later than this before its due time goes before all others, in milliseconds. */
export const URGENT_SLACK_MS = 600_000;

/** Items are spread over so many buckets, and the buckets over the shards. */
export const LEDGER_BUCKETS = 1024;
