/**
 * Fixed numbers of the relay.
 */

/**
 * Online requests beyond its slots that an engine is sent, as a part of its slots: one round of waiting.
 * Beyond it a request is refused at once, so that the caller can come back when there is room.
 */
export const QUEUED_PART_OF_SLOTS = 1;

/** Pause after which a refused caller should come back, in milliseconds: about one request's work. */
export const RETRY_AFTER_MS = 250;

/** Pause before a request looks again for an engine that it may go on at, in milliseconds. */
export const LOOK_AGAIN_MS = 20;

/**
 * Most engines that may decline one request before it is refused: each look costs a round trip, and an
 * engine that declines says that it is full.
 */
export const MAX_DECLINES = 4;

/** Answers up to this size are passed on whole, so that one that breaks off can be asked for again. */
export const WHOLE_ANSWER_BYTES = 262_144;

/**
 * Silence after which a stream that may be resumed goes on at another engine, in milliseconds. Callers
 * give a stream up after two seconds; an engine's pauses are a tenth of a second at most.
 */
export const SILENT_STREAM_MS = 700;

/** The same before a stream's first event, which a full engine may keep waiting, in milliseconds. */
export const SILENT_FIRST_MS = 1_200;
