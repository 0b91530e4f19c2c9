/**
 * Server-sent events of streams.
 */

/** One complete event. */
export interface StreamEvent {
  /** Its data lines, joined by line feeds. */
  readonly data: string;
  /** The event's id as set by the engine; null when it has none. */
  readonly id: string | null;
  /** The received bytes, including the blank line that ends the event. */
  readonly raw: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Begin of a line that makes an event, and the number of bytes that tell it. */
const FIELD = /^(?:id|data)(?::|\r?$)/;
const FIELD_BYTES = 5;
/** Size up to which the bytes of an incomplete event are buffered, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;
/** Chunks of an incomplete event that are kept apart; each takes memory besides its bytes. */
const MAX_CHUNKS = 1_024;

function parseEvent(raw: Buffer): StreamEvent {
  const data: string[] = [];
  let id: string | null = null;
  for (const line of raw.toString('utf8').split('\n')) {
    const text = line.endsWith('\r') ? line.slice(0, -1) : line;
    const colon = text.indexOf(':');
    const name = colon === -1 ? text : text.slice(0, colon);
    const value = colon === -1 ? '' : text.slice(colon + 1).replace(/^ /, '');
    if (name === 'data') {
      data.push(value);
    } else if (name === 'id') {
      id = value;
    }
  }
  return {data: data.join('\n'), id, raw};
}

/** An engine sent more than {@link MAX_EVENT_BYTES} without the end of an event. */
export class EventTooLargeError extends Error {
  override readonly name = 'EventTooLargeError';
}

/**
 * Splits a stream of server-sent events into complete events, so that an interrupted stream can be resumed at another
 * engine without a lost or duplicated event. Each byte is looked at once, however small the chunks are. Comments, and bytes
 * that are no event, belong to the event that follows them.
 */
export class EventSplitter {
  /** Chunks of the incomplete event. */
  private chunks: Buffer[] = [];
  private size = 0;
  /** Whether the incomplete event has an id or data. */
  private hasField = false;
  /** Bytes since the last line feed, the first and the last of them. */
  private lineLength = 0;
  private lineHead = '';
  private lastByte = 0;

  /** Number of buffered bytes of an incomplete event. */
  get pending(): number {
    return this.size;
  }

  /**
   * Adds received bytes.
   *
   * @param chunk the bytes
   * @returns the events that are now complete
   * @throws {EventTooLargeError} when an event is too large to be buffered
   */
  push(chunk: Buffer): readonly StreamEvent[] {
    const events: StreamEvent[] = [];
    let eventStart = 0;
    let lineStart = 0;
    for (let at = chunk.indexOf(LINE_FEED); at !== -1; at = chunk.indexOf(LINE_FEED, lineStart)) {
      this.noteBytes(chunk, lineStart, at);
      const isEnd = this.hasField && this.isBlankLine;
      this.hasField = !isEnd && (this.hasField || FIELD.test(this.lineHead));
      this.lineHead = '';
      this.lineLength = 0;
      lineStart = at + 1;
      if (isEnd) {
        events.push(parseEvent(this.take(chunk.subarray(eventStart, lineStart))));
        eventStart = lineStart;
      }
    }
    this.noteBytes(chunk, lineStart, chunk.length);
    this.keep(chunk.subarray(eventStart));
    return events;
  }

  /** Whether the line that ends now is empty. */
  private get isBlankLine(): boolean {
    return this.lineLength === 0 || (this.lineLength === 1 && this.lastByte === CARRIAGE_RETURN);
  }

  private noteBytes(chunk: Buffer, from: number, to: number): void {
    const missing = FIELD_BYTES - this.lineHead.length;
    if (missing > 0) {
      this.lineHead += chunk.toString('latin1', from, Math.min(to, from + missing));
    }
    this.lineLength += to - from;
    this.lastByte = to > from ? chunk[to - 1]! : this.lastByte;
  }

  /** Returns the buffered bytes with those that complete the event. */
  private take(last: Buffer): Buffer {
    const raw = this.chunks.length === 0 ? last : Buffer.concat([...this.chunks, last]);
    this.chunks = [];
    this.size = 0;
    return raw;
  }

  private keep(rest: Buffer): void {
    this.size += rest.length;
    if (this.size > MAX_EVENT_BYTES) {
      throw new EventTooLargeError(`an event has more than ${MAX_EVENT_BYTES} bytes`);
    }
    if (rest.length > 0) {
      this.chunks.push(rest);
    }
    if (this.chunks.length > MAX_CHUNKS) {
      this.chunks = [Buffer.concat(this.chunks)];
    }
  }
}

/**
 * Whether an event continues a response: its id follows the last one.
 *
 * @param last id of the last event; null before the first
 * @param next id of the next event
 */
export function isNextEvent(last: string | null, next: string | null): boolean {
  if (last === null) {
    return true;
  }
  return next !== null && Number(next) === Number(last) + 1;
}
