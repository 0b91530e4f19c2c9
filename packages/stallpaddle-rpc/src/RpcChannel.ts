import type {MessageInitShape} from '@bufbuild/protobuf';

/**
 * Calls to one process over a standing stream. A stream that breaks leaves the calls under way unknown;
 * the next call opens another.
 */
import type {ConverseRequestSchema, ConverseResponse} from './gen/stallpaddle/v1/peer_pb';
import type {PeerClient} from './RpcClients';

import {RpcQueue} from './RpcQueue';
import {outcomeOf, type TryOutcome, type TryRequest} from './RpcTry';

type Request = MessageInitShape<typeof ConverseRequestSchema>;

/** A call under way. */
interface Waiting {
  readonly resolve: (outcome: TryOutcome) => void;
  readonly timer: NodeJS.Timeout;
}

/** One stream, and the calls that wait on it by their numbers. */
interface OpenStream {
  readonly aborter: AbortController;
  /** When the last answer came, by the steady clock, in milliseconds. */
  heardAt: number;
  readonly queue: RpcQueue<Request>;
  readonly waiting: Map<number, Waiting>;
}

/** What a call came to that got no answer. */
const UNKNOWN: TryOutcome = {kind: 'unknown'};

/** See the module's comment. */
export class RpcChannel {
  private closed = false;
  private lastId = 0;
  private stream: OpenStream | undefined;

  /**
   * @param client the process
   */
  constructor(private readonly client: PeerClient) {}

  /**
   * Makes a call.
   *
   * @param call the call
   * @param timeoutMs longest wait, in milliseconds
   */
  call(call: TryRequest, timeoutMs: number): Promise<TryOutcome> {
    if (this.closed) {
      return Promise.resolve(UNKNOWN);
    }
    const stream = this.stream ?? this.open();
    const id = ++this.lastId;
    const sentAt = performance.now();
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.onTimeout(stream, id, sentAt), timeoutMs);
      stream.waiting.set(id, {resolve, timer});
      stream.queue.add({call: {...call}, id});
    });
  }

  /** Ends the stream; calls under way stay unknown. */
  close(): void {
    this.closed = true;
    if (this.stream !== undefined) {
      this.drop(this.stream);
    }
  }

  private open(): OpenStream {
    const stream: OpenStream = {
      aborter: new AbortController(),
      heardAt: -Infinity,
      queue: new RpcQueue(),
      waiting: new Map(),
    };
    this.stream = stream;
    void this.read(stream);
    return stream;
  }

  private async read(stream: OpenStream): Promise<void> {
    try {
      const answers = this.client.converse(stream.queue.take(), {signal: stream.aborter.signal});
      for await (const answer of answers) {
        stream.heardAt = performance.now();
        this.onAnswer(stream, answer);
      }
    } catch {
      // Whatever ended the stream, nobody can tell what became of its calls.
    }
    this.drop(stream);
  }

  private onAnswer(stream: OpenStream, {answer, id}: ConverseResponse): void {
    const waiting = stream.waiting.get(id);
    if (waiting !== undefined) {
      clearTimeout(waiting.timer);
      stream.waiting.delete(id);
      waiting.resolve(outcomeOf(answer?.outcome ?? {case: undefined}));
    }
  }

  /** A call got no answer in time. A stream that brought nothing at all since then is not used again. */
  private onTimeout(stream: OpenStream, id: number, sentAt: number): void {
    stream.waiting.get(id)?.resolve(UNKNOWN);
    stream.waiting.delete(id);
    if (stream.heardAt < sentAt) {
      this.drop(stream);
    }
  }

  private drop(stream: OpenStream): void {
    if (this.stream === stream) {
      this.stream = undefined;
    }
    for (const {resolve, timer} of stream.waiting.values()) {
      clearTimeout(timer);
      resolve(UNKNOWN);
    }
    stream.waiting.clear();
    stream.queue.end();
    stream.aborter.abort();
  }
}
