/**
 * Splits a stream of server-sent events into whole events, so that a stream which breaks off can go on
 * at another engine without a piece lost or doubled.
 */

/** One whole event. */
export interface StreamEvent {
  /** Its data lines, joined by line feeds. */
  readonly data: string;
  /** Its number as the engine gave it; null when it has none. */
  readonly id: string | null;
  /** As it came, with the blank line that ends it. */
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

/** End of the first event in the bytes, after its blank line; -1 when it isn't whole. */
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

/** See the module's comment. */
export class EventSplitter {
  private rest: Buffer = EMPTY;

  /** Bytes of an event that isn't whole yet. */
  get pending(): number {
    return this.rest.length;
  }

  /**
   * Takes in bytes.
   *
   * @param chunk what came
   * @returns the events that are whole now
   */
  push(chunk: Buffer): readonly StreamEvent[] {
    let bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    for (let end = eventEnd(bytes, 0); end !== -1; end = eventEnd(bytes, 0)) {
      events.push(parseEvent(bytes.subarray(0, end)));
      bytes = bytes.subarray(end);
    }
    this.rest = bytes;
    return events;
  }
}

/**
 * Whether an event may follow another in one answer.
 *
 * @param last number of the last event; null before the first
 * @param next number of the next
 */
export function isNextEvent(last: string | null, next: string | null): boolean {
  if (last === null) {
    return true;
  }
  return next !== null && Number(next) === Number(last) + 1;
}
