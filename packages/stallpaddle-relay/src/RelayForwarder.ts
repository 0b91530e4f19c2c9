/**
 * Forwarding of an engine's response to the caller.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {RelayHeldBytes} from './RelayHeldBytes';

import {type ChunkResult, readChunks} from './RelayChunks';
import {MAX_BUFFERED_BYTES} from './RelayConstants';
import {EventSplitter, isNextEvent, type StreamEvent} from './RelayEvents';
import {forwardedHeaders} from './RelayHeaders';

/** Reason phrases that Node sends; its client accepts others. */
const REASON_PHRASE = /^[\t\u0020-\u007e\u0080-\u00ff]*$/u;

/** Whether a response was forwarded completely. */
export type ForwardResult = 'broken' | 'whole';

/** Dependencies on the request whose responses are forwarded. */
export interface RelayForwarderOptions {
  /** Counts the bytes that are held for callers. */
  readonly held: Pick<RelayHeldBytes, 'noteWrite'>;
  /** Whether the request has ended, so that nothing more may be forwarded. */
  readonly isOver: () => boolean;
  /** Id of the last event that the caller already has; null for none. */
  readonly lastEventId: string | null;
  /** Called when reading from the engine pauses until the caller has read what is held for it. */
  readonly onBackpressure?: () => void;
  /** Called for each chunk of a stream with the number of events that it completes. */
  readonly onChunk: (events: number) => void;
  /** Called once, before the response head is written. */
  readonly onHead: () => void;
  /** The caller's response. */
  readonly res: ServerResponse;
}

/** Forwards responses of engines to one caller. A response that was interrupted never looks complete to the caller. */
export class RelayForwarder {
  private lastId: string | null;
  private readonly res: ServerResponse;

  /**
   * @param options dependencies on the request
   */
  constructor(private readonly options: RelayForwarderOptions) {
    this.lastId = options.lastEventId;
    this.res = options.res;
  }

  /** Id of the last event that the caller has; null before the first, and for events without ids. */
  get lastEventId(): string | null {
    return this.lastId;
  }

  /**
   * Forwards the events of a stream as they arrive, each of them complete.
   *
   * @param response the engine's response
   */
  async forwardStream(response: IncomingMessage): Promise<ForwardResult> {
    const splitter = new EventSplitter();
    try {
      const isRead = await readChunks(response, (chunk) => {
        const events = splitter.push(chunk);
        this.options.onChunk(events.length);
        return this.forwardEvents(response, events);
      });
      const isWhole = isRead && response.complete && splitter.pending === 0;
      return isWhole && this.res.headersSent ? 'whole' : 'broken';
    } catch {
      return 'broken';
    }
  }

  /**
   * Forwards a response once it is complete, or chunk by chunk if it exceeds {@link MAX_BUFFERED_BYTES}.
   *
   * @param response the engine's response
   */
  async forwardResponse(response: IncomingMessage): Promise<ForwardResult> {
    let buffered: Buffer[] | null = [];
    let size = 0;
    try {
      for await (const chunk of response) {
        const bytes = chunk as Buffer;
        size += bytes.length;
        buffered?.push(bytes);
        if (buffered !== null && size > MAX_BUFFERED_BYTES) {
          const length = response.headers['content-length'];
          this.writeHead(response, length === undefined ? null : Number(length));
          await this.write(Buffer.concat(buffered));
          buffered = null;
        } else if (buffered === null) {
          await this.write(bytes);
        }
      }
    } catch {
      return 'broken';
    }
    if (!response.complete || this.options.isOver()) {
      return 'broken';
    }
    if (buffered !== null) {
      const bytes = Buffer.concat(buffered);
      this.writeHead(response, bytes.length);
      await this.write(bytes);
    }
    return 'whole';
  }

  /** Forwards events that arrived together in one write; false once an event is out of sequence. */
  private forwardEvents(response: IncomingMessage, events: readonly StreamEvent[]): ChunkResult {
    if (this.options.isOver()) {
      return false;
    }
    const forwarded: Buffer[] = [];
    for (const {id, raw} of events) {
      if (!isNextEvent(this.lastId, id)) {
        break;
      }
      this.lastId = id ?? this.lastId;
      forwarded.push(raw);
    }
    const isInSequence = forwarded.length === events.length;
    if (forwarded.length === 0) {
      return isInSequence;
    }
    this.writeHead(response, null);
    const drained = this.write(forwarded.length === 1 ? forwarded[0]! : Buffer.concat(forwarded));
    return drained === undefined ? isInSequence : drained.then(() => isInSequence);
  }

  private writeHead(response: IncomingMessage, length: number | null): void {
    if (this.res.headersSent) {
      return;
    }
    this.options.onHead();
    const headers = forwardedHeaders(response.rawHeaders);
    if (length !== null) {
      headers.push('Content-Length', String(length));
    }
    const reason = response.statusMessage ?? '';
    this.res.writeHead(response.statusCode!, REASON_PHRASE.test(reason) ? reason : '', headers);
  }

  /** Writes to the caller; the promise, if any, is resolved when the caller has read enough for more. */
  private write(bytes: Uint8Array): Promise<void> | undefined {
    const isFlowing = this.res.write(bytes);
    this.options.held.noteWrite(this.res);
    if (isFlowing || this.res.destroyed) {
      return undefined;
    }
    this.options.onBackpressure?.();
    return new Promise<void>((resolve) => {
      const onReady = (): void => {
        this.res.off('drain', onReady);
        this.res.off('close', onReady);
        resolve();
      };
      this.res.on('drain', onReady);
      this.res.on('close', onReady);
    });
  }
}
