/**
 * Fixed numbers of the relay.
 */

/**
 * Online requests beyond its slots that an engine may queue, as a part of its slots, for a request that can
 * still be in time: with eight slots one is free about every 0.1 s, so two more keep an objective of 0.3 s.
 */
export const QUEUED_IN_TIME = 0.25;

/**
 * Longest time that a request which can't be in time waits here for a free slot, behind those that can, in
 * milliseconds. Callers give up two seconds after they sent; what is left then is the time of a short queue.
 */
export const LATE_WAIT_MS = 1_500;

/**
 * The same as a part of the time that the caller still allows: a request is refused while its caller can still come
 * back, and one that is sent has as long to run as it has waited.
 */
export const LATE_WAIT_PART = 0.5;

/**
 * Longest time that a request which can't be in time waits here while nothing is known of the other VMs' requests, in
 * milliseconds: after a loss of many VMs their callers come again all at once, and a dispatcher is elected and tells counts within
 * a second.
 */
export const UNTOLD_WAIT_MS = 1_000;

/** First of the statuses by which an engine says that it failed itself. */
export const SERVER_ERROR = 500;

/** Pause after which a refused caller should come back, in milliseconds: about one request's work. */
export const RETRY_AFTER_MS = 250;

/**
 * Time after a run's first event up to which the end of its engine speaks against its request, in milliseconds, where its
 * events are few or none. Engines ended 34 to 95 ms after they began the request that ended them; an answer of the fleets
 * measured takes 800 ms, an item 5 s.
 */
export const BEGIN_MS = 250;

/**
 * Events of a run up to which the end of its engine speaks against its request. A request that ends engines does so as they
 * begin to run it (none of 18 such runs that were seen had an event); one that goes on from event to event comes to its end. Without this
 * bound three times as many of those that only stood beside are held (model, 6 engines: 137 and 44 of 400,000).
 */
export const MOST_BEGIN_EVENTS = 1;

/** Pause before a request looks again for an engine that it may go on at, in milliseconds. */
export const LOOK_AGAIN_MS = 20;

/**
 * Most engines that may decline one request before it is refused: each look costs a round trip, and an
 * engine that declines says that it is full.
 */
export const MAX_DECLINES = 4;

/**
 * Most times that one request is sent in all, to whatever engines. Its route bounds the engines; one of them may be sent it
 * again when the others have failed, since what made it late or lost an answer is often over by then.
 */
export const MOST_SENDS = 4;

/** Answers up to this size are passed on whole, so that one that breaks off can be asked for again. */
export const WHOLE_ANSWER_BYTES = 262_144;

/**
 * Silence after which a stream that may be resumed is given up though no other engine has room, in milliseconds.
 * Callers give a stream up after two seconds; an engine's pauses are a tenth of a second at most.
 */
export const SILENT_STREAM_MS = 700;

/** The same before a stream's first event, which a full engine may keep waiting, in milliseconds. */
export const SILENT_FIRST_MS = 1_200;
