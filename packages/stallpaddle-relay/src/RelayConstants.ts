/**
 * Limits and intervals of the relay.
 */

/**
 * Number of requests that an engine may queue beyond its slots, as a fraction of its slots. An engine of eight slots frees
 * one about every 0.1 s, so two queued requests still meet an objective of 0.3 s.
 */
export const QUEUE_FRACTION = 0.25;

/**
 * Maximum time that a request which can no longer meet its objective waits while the load from other VMs is unknown,
 * in milliseconds. Covers the election of a dispatcher after many VMs were lost and their callers retry at once.
 */
export const MAX_UNKNOWN_LOAD_WAIT_MS = 1_000;

/** First HTTP status of a server error. */
export const SERVER_ERROR = 500;

/** Delay after which a refused caller should retry, in milliseconds. */
export const RETRY_AFTER_MS = 250;

/**
 * Time after a run's first event during which an exit of its engine counts as evidence against the request, in
 * milliseconds. Engines exited 34 to 95 ms after they started the request that crashed them; a whole response takes 800 ms.
 */
export const STARTING_MS = 250;

/**
 * Number of events up to which an exit of the engine counts as evidence against the request. A request that crashes
 * engines does so when it starts: none of 18 observed runs had an event. Without this limit three times as many requests
 * that merely ran beside it are quarantined (137 instead of 44 of 400,000 in a model of six engines).
 */
export const MAX_STARTING_EVENTS = 1;

/** Interval at which a request checks again for an available engine, in milliseconds. */
export const RECHECK_INTERVAL_MS = 20;

/** Maximum number of times that engines may decline a request before it is refused; each attempt costs a round trip. */
export const MAX_DECLINES = 4;

/**
 * Pause after which a return that so many engines have declined goes on, in milliseconds. A second rejection would lose
 * the request; without a pause it would load engines that are full.
 */
export const DECLINED_PAUSE_MS = 100;

/**
 * Maximum number of times that a request is sent, over all engines. The route limits the number of engines; an engine
 * may get the request again after the others have failed, since what delayed it or lost its response is often over by
 * then.
 */
export const MAX_SENDS = 4;

/** Responses up to this size are buffered, so that one that is interrupted can be requested again. */
export const MAX_BUFFERED_BYTES = 262_144;

/**
 * Time without data after which a resumable stream is abandoned even if no other engine has a free slot, in
 * milliseconds. Callers give up on a stream after two seconds; engines pause for a tenth of a second at most.
 */
export const MAX_STREAM_STALL_MS = 700;

/** The same limit before the first event of a stream, which a full engine may delay, in milliseconds. */
export const MAX_FIRST_EVENT_STALL_MS = 1_200;
