/**
 * Reads an engine's answer and passes it on to the caller, so that nothing which broke off can be taken
 * for whole.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {WHOLE_ANSWER_BYTES} from './RelayConstants';
import {isNextEvent, EventSplitter, type StreamEvent} from './RelayEvents';
import {forwardedHeaders} from './RelayHeaders';

/** What reading an answer came to. */
export type ForwardResult = 'broken' | 'whole';

/** What passing answers on needs of its request. */
export interface RelayForwarderOptions {
  /** Whether the request has ended, so that nothing more may be passed on. */
  readonly isOver: () => boolean;
  /** Last event that the caller already has. */
  readonly lastEvent: string | null;
  /** Called once, before the head of the answer is written. */
  readonly onHead: () => void;
  /** Called with each arrival of a stream, with the number of events that are whole by it. */
  readonly onHeard: (events: number) => void;
  /** The caller's response. */
  readonly res: ServerResponse;
}

/** See the module's comment. */
export class RelayForwarder {
  private last: string | null;
  private readonly res: ServerResponse;

  /**
   * @param options what it needs of its request
   */
  constructor(private readonly options: RelayForwarderOptions) {
    this.last = options.lastEvent;
    this.res = options.res;
  }

  /** Last event that the caller has; null before the first, and where events have no numbers. */
  get lastEvent(): string | null {
    return this.last;
  }

  /**
   * Passes events on as they come, each of them whole.
   *
   * @param answer the engine's answer
   */
  async passStream(answer: IncomingMessage): Promise<ForwardResult> {
    const splitter = new EventSplitter();
    try {
      for await (const chunk of answer) {
        const events = splitter.push(chunk as Buffer);
        this.options.onHeard(events.length);
        if (!(await this.passEvents(answer, events))) {
          return 'broken';
        }
      }
    } catch {
      return 'broken';
    }
    return answer.complete && splitter.pending === 0 && this.res.headersSent ? 'whole' : 'broken';
  }

  /**
   * Passes an answer on once it has come whole; a long one as it comes.
   *
   * @param answer the engine's answer
   */
  async passWhole(answer: IncomingMessage): Promise<ForwardResult> {
    let held: Buffer[] | null = [];
    let size = 0;
    try {
      for await (const chunk of answer) {
        const bytes = chunk as Buffer;
        size += bytes.length;
        held?.push(bytes);
        if (held !== null && size > WHOLE_ANSWER_BYTES) {
          const length = answer.headers['content-length'];
          this.writeHead(answer, length === undefined ? null : Number(length));
          await this.write(Buffer.concat(held));
          held = null;
        } else if (held === null) {
          await this.write(bytes);
        }
      }
    } catch {
      return 'broken';
    }
    if (!answer.complete || this.options.isOver()) {
      return 'broken';
    }
    if (held !== null) {
      const whole = Buffer.concat(held);
      this.writeHead(answer, whole.length);
      await this.write(whole);
    }
    return 'whole';
  }

  /** Passes on in one write what came together; false once an event is out of order. */
  private async passEvents(
    answer: IncomingMessage,
    events: readonly StreamEvent[],
  ): Promise<boolean> {
    if (this.options.isOver()) {
      return false;
    }
    const passed: Buffer[] = [];
    for (const {id, raw} of events) {
      if (!isNextEvent(this.last, id)) {
        break;
      }
      this.last = id ?? this.last;
      passed.push(raw);
    }
    if (passed.length > 0) {
      this.writeHead(answer, null);
      await this.write(passed.length === 1 ? passed[0]! : Buffer.concat(passed));
    }
    return passed.length === events.length;
  }

  private writeHead(answer: IncomingMessage, length: number | null): void {
    if (this.res.headersSent) {
      return;
    }
    this.options.onHead();
    const headers = forwardedHeaders(answer.rawHeaders);
    if (length !== null) {
      headers.push('Content-Length', String(length));
    }
    this.res.writeHead(answer.statusCode!, answer.statusMessage ?? '', headers);
  }

  private async write(bytes: Uint8Array): Promise<void> {
    if (!this.res.write(bytes) && !this.res.destroyed) {
      await new Promise<void>((resolve) => {
        this.res.once('drain', resolve);
        this.res.once('close', resolve);
      });
    }
  }
}
