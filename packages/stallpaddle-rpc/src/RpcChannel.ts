/**
 * Calls and messages to one process over a standing stream. A stream that breaks leaves the calls under
 * way unknown; the next call opens another.
 *
 * A stream that brought nothing since a call was sent, until the call's time was over, is given up with its
 * connection: after a cut, the old connection would bring nothing for seconds. The library's own pings are
 * not used for this. They can wait forever: a stream that ends while a ping is out takes its time limit off.
 */
import type {MessageInitShape} from '@bufbuild/protobuf';

import type {ConverseRequestSchema, ConverseResponse} from './gen/stallpaddle/v1/peer_pb';
import type {PeerClient, PeerConnection} from './RpcClients';
import type {Delivery} from './RpcOutbox';

import {RpcQueue} from './RpcQueue';
import {decodeOutcome, type TryOutcome, type TryRequest} from './RpcTry';

type Request = MessageInitShape<typeof ConverseRequestSchema>;
type Content = Request['content'];

/**
 * Bytes that must come during a call's time for it to wait on: more than the answers of a second to other calls of the
 * same process, and far less than a link carries that is worth waiting for.
 */
const COMING_BYTES = 131_072;
/** Most times that a call waits for its time, so that other large answers on the connection can't hold it up for ever. */
const MOST_WAITS = 8;

/** Number of a call that is not answered. */
export const ONE_WAY_CALL_ID = 0;

interface Waiting {
  /** Called with the answer, or with undefined when there is none. */
  readonly resolve: (answer: ConverseResponse['answer'] | null) => void;
  readonly timer: NodeJS.Timeout;
}

interface OpenStream {
  readonly aborter: AbortController;
  readonly connection: PeerConnection;
  /** When the last answer came, by the steady clock, in milliseconds. */
  heardAt: number;
  /** When the stream was opened, by the same clock. */
  readonly openedAt: number;
  readonly queue: RpcQueue<Request>;
  readonly waiting: Map<number, Waiting>;
}

/** See the module's comment. */
export class RpcChannel {
  private closed = false;
  private connection: PeerConnection | undefined;
  private lastId = 0;
  private stream: OpenStream | undefined;

  /**
   * @param connect makes a connection to the process
   * @param onGivenUp called when a connection was given up because it brought nothing
   * @param openingMs time in which a stream may bring its first answer once its connection was taken, in milliseconds
   */
  constructor(
    private readonly connect: () => PeerConnection,
    private readonly onGivenUp: () => void = () => {},
    private readonly openingMs = 0,
  ) {}

  /** Client for other calls over the same connection. */
  get client(): PeerClient {
    return this.connected().client;
  }

  /**
   * Makes a call.
   *
   * @param call the call
   * @param timeoutMs longest wait, in milliseconds
   */
  async call(call: TryRequest, timeoutMs: number): Promise<TryOutcome> {
    const answer = await this.send({case: 'call', value: {...call}}, timeoutMs);
    return answer === null
      ? {kind: 'unknown'}
      : decodeOutcome(answer?.outcome ?? {case: undefined});
  }

  /**
   * Makes a call whose answer nobody waits for; it may be lost. An answer would cost both processes a turn.
   *
   * @param call the call
   */
  post(call: TryRequest): void {
    if (!this.closed) {
      const stream = this.stream ?? this.open();
      stream.queue.add({content: {case: 'call', value: {...call}}, id: ONE_WAY_CALL_ID});
    }
  }

  /**
   * Brings messages.
   *
   * @param delivery the messages
   * @param timeoutMs longest wait, in milliseconds
   * @returns whether they have arrived for certain
   */
  async deliver(delivery: Delivery, timeoutMs: number): Promise<boolean> {
    return (await this.send({case: 'deliver', value: delivery}, timeoutMs)) !== null;
  }

  /** Ends the stream and its connection; calls under way stay unknown. */
  close(): void {
    this.closed = true;
    if (this.stream !== undefined) {
      this.drop(this.stream);
    }
    this.connection?.close();
  }

  private send(content: Content, timeoutMs: number): Promise<ConverseResponse['answer'] | null> {
    if (this.closed) {
      return Promise.resolve(null);
    }
    const stream = this.stream ?? this.open();
    const id = ++this.lastId;
    const sentAt = performance.now();
    return new Promise((resolve) => {
      stream.waiting.set(id, {resolve, timer: this.startTimer(stream, id, sentAt, timeoutMs)});
      stream.queue.add({content, id});
    });
  }

  /** While much comes of an answer, its call waits on: begun anew, a large one would never arrive. */
  private startTimer(
    stream: OpenStream,
    id: number,
    sentAt: number,
    timeoutMs: number,
    waits = 1,
  ): NodeJS.Timeout {
    const {receivedBytes} = stream.connection;
    const before = receivedBytes();
    return setTimeout(() => {
      const waiting = stream.waiting.get(id);
      const isComing = receivedBytes() - before >= COMING_BYTES && waits < MOST_WAITS;
      if (waiting !== undefined && isComing) {
        const timer = this.startTimer(stream, id, sentAt, timeoutMs, waits + 1);
        stream.waiting.set(id, {...waiting, timer});
      } else {
        this.onTimeout(stream, id, sentAt);
      }
    }, timeoutMs);
  }

  private connected(): PeerConnection {
    this.connection ??= this.connect();
    return this.connection;
  }

  private open(): OpenStream {
    const stream: OpenStream = {
      aborter: new AbortController(),
      connection: this.connected(),
      heardAt: -Infinity,
      openedAt: performance.now(),
      queue: new RpcQueue(),
      waiting: new Map(),
    };
    this.stream = stream;
    void this.read(stream);
    return stream;
  }

  private async read(stream: OpenStream): Promise<void> {
    const {aborter, connection, queue} = stream;
    try {
      for await (const answer of connection.client.converse(queue.take(), {
        signal: aborter.signal,
      })) {
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
      waiting.resolve(answer);
    }
  }

  /** A call got no answer in time. */
  private onTimeout(stream: OpenStream, id: number, sentAt: number): void {
    stream.waiting.get(id)?.resolve(null);
    stream.waiting.delete(id);
    if (stream.heardAt < sentAt && !this.isOpening(stream)) {
      this.drop(stream);
      this.giveUp(stream.connection);
    }
  }

  /** Whether the other process may only be slow to start: its VM has taken the connection. */
  private isOpening({connection, heardAt, openedAt}: OpenStream): boolean {
    const isEarly = performance.now() - openedAt < this.openingMs;
    return heardAt === -Infinity && isEarly && connection.isAccepted();
  }

  private giveUp(connection: PeerConnection): void {
    if (this.connection === connection) {
      this.connection = undefined;
      this.onGivenUp();
    }
    connection.close();
  }

  private drop(stream: OpenStream): void {
    if (this.stream === stream) {
      this.stream = undefined;
    }
    for (const {resolve, timer} of stream.waiting.values()) {
      clearTimeout(timer);
      resolve(null);
    }
    stream.waiting.clear();
    stream.queue.end();
    stream.aborter.abort();
  }
}
