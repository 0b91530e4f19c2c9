/**
 * An engine's answer as it comes: its head, and its body to be read once.
 */
import type {IncomingHttpHeaders} from 'node:http';

import type {AnswerHead} from './RelayAnswerParser';

/** Where the bytes of an answer come from. */
export interface AnswerSource {
  /** Whether the whole answer has come. */
  readonly isWhole: () => boolean;
  /** Called when all that has come was taken. */
  readonly onTaken: () => void;
}

/** A read that waits. */
interface Waiting {
  readonly reject: (err: Error) => void;
  readonly resolve: (result: IteratorResult<Buffer, undefined>) => void;
}

/** See the module's comment. */
export class EngineAnswer implements AsyncIterableIterator<Buffer, undefined> {
  private arrived: Buffer[] = [];
  private ended = false;
  private failure: Error | undefined;
  private waiting: undefined | Waiting;

  /**
   * @param head the answer's head
   * @param source where its bytes come from
   */
  constructor(
    private readonly head: AnswerHead,
    private readonly source: AnswerSource,
  ) {}

  /** Whether the whole answer has come. */
  get complete(): boolean {
    return this.source.isWhole();
  }

  /** Values by name in lower case. */
  get headers(): IncomingHttpHeaders {
    return this.head.headers;
  }

  /** Whether some of what has come was not taken yet. */
  get isHeld(): boolean {
    return this.arrived.length > 0;
  }

  /** Flat list of names and values. */
  get rawHeaders(): readonly string[] {
    return this.head.rawHeaders;
  }

  get status(): number {
    return this.head.status;
  }

  get statusText(): string {
    return this.head.statusText;
  }

  /**
   * Takes in bytes of the body.
   *
   * @param bytes what came
   */
  add(bytes: Buffer): void {
    if (bytes.length > 0 && !this.ended) {
      this.arrived.push(bytes);
      this.settle();
    }
  }

  /**
   * Notes that nothing more comes; only the first word counts.
   *
   * @param failure why the answer is not whole
   */
  end(failure?: Error): void {
    if (!this.ended) {
      this.ended = true;
      this.failure = failure;
      this.settle();
    }
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  /**
   * Reads on.
   *
   * @returns all that has come since
   */
  next(): Promise<IteratorResult<Buffer, undefined>> {
    return new Promise((resolve, reject) => {
      this.waiting = {reject, resolve};
      this.settle();
    });
  }

  private settle(): void {
    const {arrived, ended, failure, waiting} = this;
    if (waiting === undefined) {
      return;
    }
    if (arrived.length > 0) {
      this.arrived = [];
      this.waiting = undefined;
      waiting.resolve({
        done: false,
        value: arrived.length === 1 ? arrived[0]! : Buffer.concat(arrived),
      });
      this.source.onTaken();
    } else if (failure !== undefined) {
      this.waiting = undefined;
      waiting.reject(failure);
    } else if (ended) {
      this.waiting = undefined;
      waiting.resolve({done: true, value: undefined});
    }
  }
}
