/** Limits and intervals of the batch dispatcher. */

/**
 * Slots of each engine that batch items never use, so that an online request finds one free (`docs/design/POLICY.md`).
 */
export const RESERVED_SLOTS = 1;

/**
 * Maximum age of the fleet view for starting an item, in milliseconds: half of the 2 s within which a draining engine
 * must stop receiving work.
 */
export const MAX_VIEW_AGE_MS = 1_000;

/** Timeout for the first event of a run, in milliseconds; a full engine needs well under one second. */
export const FIRST_EVENT_TIMEOUT_MS = 2_000;

/**
 * Timeout between two events of a run, in milliseconds: some fifty times the usual interval. Little is lost by a false
 * timeout, because the item resumes on another engine.
 */
export const EVENT_TIMEOUT_MS = 1_000;

/** Time without events from any of an engine's items after which the engine counts as stalled, in milliseconds. */
export const ENGINE_STALL_MS = 300;

/**
 * Interval between progress records, in milliseconds: the most output of a run that is repeated when the leader is
 * lost. A record of 48 runs has 150 KB.
 */
export const SAVE_INTERVAL_MS = 1_500;

/**
 * Output size at which a replicated command is full, in bytes: half of a replication batch. A single record of 300 runs
 * had 800 KB and delayed all other commands for half a second.
 */
export const TARGET_COMMAND_BYTES = 65_536;

/** Interval at which a quarantined item is checked again, in milliseconds. */
export const QUARANTINE_CHECK_MS = 1_000;

/** Delay before an item is retried after an engine declined or failed it, in milliseconds. */
export const RETRY_DELAY_MS = 100;

/** Time after which the online counts of an entry VM that no longer reports expire, in milliseconds: three idle reports. */
export const ONLINE_COUNTS_TTL_MS = 3_000;

/** Interval between checks for expired items, and between ticks of the group clock, in milliseconds. */
export const MAINTENANCE_INTERVAL_MS = 500;

/** Interval of the log line on the dispatcher's load while items are open, in milliseconds. */
export const LOAD_LOG_INTERVAL_MS = 1_000;

/** Delay before the ends of items are proposed again after a failure, in milliseconds. */
export const PROPOSE_RETRY_MS = 50;

/** Maximum size of the texts in one answer, in bytes: the interface's limit of 1 MB, less space for framing. */
export const MAX_RESULT_BYTES = 700_000;
