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
const EMPTY = Buffer.alloc(0);

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

/** End of the first event in the bytes, after its blank line; -1 when the event is incomplete. */
function eventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at !== -1; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) {
      return at + 2;
    }
    if (next === 0x0d && bytes[at + 2] === LINE_FEED) {
      return at + 3;
    }
  }
  return -1;
}

/**
 * Splits a stream of server-sent events into complete events, so that an interrupted stream can be resumed at another
 * engine without a lost or duplicated event.
 */
export class EventSplitter {
  private buffered: Buffer = EMPTY;

  /** Number of buffered bytes of an incomplete event. */
  get pending(): number {
    return this.buffered.length;
  }

  /**
   * Adds received bytes.
   *
   * @param chunk the bytes
   * @returns the events that are now complete
   */
  push(chunk: Buffer): readonly StreamEvent[] {
    let bytes = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const events: StreamEvent[] = [];
    for (let end = eventEnd(bytes, 0); end !== -1; end = eventEnd(bytes, 0)) {
      events.push(parseEvent(bytes.subarray(0, end)));
      bytes = bytes.subarray(end);
    }
    this.buffered = bytes;
    return events;
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
