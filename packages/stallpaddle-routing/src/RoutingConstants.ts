/**
 * Fixed numbers of the routing policy. `docs/design/ROUTING.md` gives the measurements behind them.
 */

/** Weight of a new measurement in moving averages. */
export const SMOOTHING = 0.2;

/** Failures in a row that quarantine an engine. */
export const QUARANTINE_FAILURES = 2;

/** First quarantine, in milliseconds; doubles with each further failure. */
export const QUARANTINE_MS = 500;

/** Longest quarantine, in milliseconds. */
export const MAX_QUARANTINE_MS = 8_000;

/** An engine whose tokens take this many times the median counts as slow. */
export const SLOW_FACTOR = 3;

/** Load of the affine engine, relative to the mean, above which affinity yields. */
export const AFFINITY_LOAD_FACTOR = 1.25;

/** Engines that a prompt prefix may call home. */
export const AFFINITY_ENGINES = 2;

/** Online streams that an engine may have waiting, as a part of its slots. */
export const ENGINE_QUEUE_FRACTION = 0.5;

/** Age of a load report after which batch work adds no more streams, in milliseconds. */
export const LOAD_STALE_MS = 1_500;

/** Retry-After when no engine serves the model at present, in milliseconds. */
export const NO_ENGINE_RETRY_MS = 2_000;

/** Retry-After when all engines are full and nothing better is known, in milliseconds. */
export const FULL_RETRY_MS = 1_000;

/** Time in which an online request reaches its engine, in milliseconds. */
export const REQUEST_TRANSIT_MS = 10;

/** Changes of an engine's online streams that are kept until its next load report. */
export const MAX_RECENT_CHANGES = 256;

/** How long a VM's word of its streams counts without being repeated, in milliseconds. */
export const REPORTED_STREAMS_TTL_MS = 2_000;
