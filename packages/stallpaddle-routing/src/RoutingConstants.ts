/**
 * Constants of the routing policy.
 */

/** Weight of a new measurement in moving averages. */
export const SMOOTHING = 0.2;

/** Consecutive failures after which an engine is quarantined. */
export const QUARANTINE_FAILURES = 2;

/** Initial quarantine, in milliseconds; doubles with each further failure. */
export const QUARANTINE_MS = 500;

/** Maximum quarantine, in milliseconds. */
export const MAX_QUARANTINE_MS = 8_000;

/** Ratio to the median time between tokens above which an engine counts as slow. */
export const SLOW_FACTOR = 3;

/** Cost of an affinity engine, relative to the mean, above which requests are not placed there by affinity. */
export const AFFINITY_LOAD_FACTOR = 1.25;

/** Number of engines that requests with the same prompt prefix prefer. */
export const AFFINITY_ENGINES = 2;

/** Maximum length of an engine's queue of online streams, as a fraction of its slots. */
export const ENGINE_QUEUE_FRACTION = 0.5;

/** Age of a load report above which no more batch streams are started, in milliseconds. */
export const LOAD_STALE_MS = 1_500;

/** Retry-After when no engine currently serves the model, in milliseconds. */
export const NO_ENGINE_RETRY_MS = 2_000;

/** Retry-After when all engines are full, in milliseconds. */
export const FULL_RETRY_MS = 1_000;

/** Upper bound on the time that an online request takes to reach its engine, in milliseconds. */
export const REQUEST_TRANSIT_MS = 10;

/** Maximum number of stream changes kept per engine until its next load report. */
export const MAX_RECENT_CHANGES = 256;

/** How long a VM's report of its online streams is valid unless it is repeated, in milliseconds. */
export const REPORTED_STREAMS_TTL_MS = 2_000;
