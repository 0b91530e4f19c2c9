/**
 * Multiplexes calls and message deliveries to one process over a long-lived stream.
 */
import type {MessageInitShape} from '@bufbuild/protobuf';

import type {ConverseRequestSchema, ConverseResponse} from './gen/stallpaddle/v1/peer_pb';
import type {PeerClient, PeerConnection} from './RpcClients';
import type {Delivery} from './RpcOutbox';

import {RpcQueue} from './RpcQueue';
import {decodeOutcome, type TryOutcome, type TryRequest} from './RpcTry';

type Request = MessageInitShape<typeof ConverseRequestSchema>;
type Content = Request['content'];

/** Bytes that must arrive during a call's timeout to extend it; responses to other calls alone stay below this. */
const MIN_PROGRESS_BYTES = 131_072;
/** Timeout periods that a call may wait in all, as the bytes that extend it may belong to other responses. */
const MAX_TIMEOUT_PERIODS = 8;

/** Id of calls that get no response. */
export const ONE_WAY_CALL_ID = 0;

interface PendingCall {
  /** Called with the response's content, or with null when the outcome is unknown. */
  readonly resolve: (answer: ConverseResponse['answer'] | null) => void;
  readonly timer: NodeJS.Timeout;
}

interface OpenStream {
  readonly aborter: AbortController;
  readonly connection: PeerConnection;
  /** When the last response arrived, on the monotonic clock, in milliseconds. */
  lastResponseAt: number;
  /** When the stream was opened, on the same clock. */
  readonly openedAt: number;
  readonly queue: RpcQueue<Request>;
  readonly waitingCalls: Map<number, PendingCall>;
}

/**
 * A channel to one process. When the stream breaks, the outcome of every pending call is unknown, and the next call
 * opens a new stream.
 *
 * When a call times out and its stream has received nothing since the call was sent, the connection is closed too, as
 * it may stall for seconds after a network partition. The pings of connect-node can't detect this reliably: a stream
 * that ends while a ping is outstanding clears the ping's timeout.
 */
export class RpcChannel {
  private closed = false;
  private connection: PeerConnection | undefined;
  private lastId = 0;
  private stream: OpenStream | undefined;

  /**
   * @param connect opens a connection to the process
   * @param onStalled called when a connection was closed because it received nothing
   * @param firstResponseTimeoutMs how long a new stream on an accepted connection may wait for its first response, in
   *   milliseconds
   */
  constructor(
    private readonly connect: () => PeerConnection,
    private readonly onStalled: () => void = () => {},
    private readonly firstResponseTimeoutMs = 0,
  ) {}

  /** Client for other calls over the same connection. */
  get client(): PeerClient {
    return this.connected().client;
  }

  /**
   * Makes a call.
   *
   * @param call the call
   * @param timeoutMs longest wait, in milliseconds; extended while a large response arrives
   */
  async call(call: TryRequest, timeoutMs: number): Promise<TryOutcome> {
    const response = await this.send({case: 'call', value: {...call}}, timeoutMs);
    return response === null
      ? {kind: 'unknown'}
      : decodeOutcome(response?.outcome ?? {case: undefined});
  }

  /**
   * Sends a one-way call. It may be lost; omitting the response saves both processes the work.
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
   * Delivers messages.
   *
   * @param delivery the messages
   * @param timeoutMs longest wait, in milliseconds
   * @returns whether the receiver acknowledged them
   */
  async deliver(delivery: Delivery, timeoutMs: number): Promise<boolean> {
    return (await this.send({case: 'deliver', value: delivery}, timeoutMs)) !== null;
  }

  /** Closes the stream and its connection; the outcome of pending calls is unknown. */
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
      stream.waitingCalls.set(id, {resolve, timer: this.startTimer(stream, id, sentAt, timeoutMs)});
      stream.queue.add({content, id});
    });
  }

  /** Extends the timeout while data arrives quickly: a large response might never complete if its call were retried. */
  private startTimer(
    stream: OpenStream,
    id: number,
    sentAt: number,
    timeoutMs: number,
    periods = 1,
  ): NodeJS.Timeout {
    const {receivedBytes} = stream.connection;
    const bytesBefore = receivedBytes();
    return setTimeout(() => {
      const pending = stream.waitingCalls.get(id);
      const isProgressing =
        receivedBytes() - bytesBefore >= MIN_PROGRESS_BYTES && periods < MAX_TIMEOUT_PERIODS;
      if (pending !== undefined && isProgressing) {
        const timer = this.startTimer(stream, id, sentAt, timeoutMs, periods + 1);
        stream.waitingCalls.set(id, {...pending, timer});
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
      lastResponseAt: -Infinity,
      openedAt: performance.now(),
      queue: new RpcQueue(),
      waitingCalls: new Map(),
    };
    this.stream = stream;
    void this.read(stream);
    return stream;
  }

  private async read(stream: OpenStream): Promise<void> {
    const {aborter, connection, queue} = stream;
    try {
      for await (const response of connection.client.converse(queue.take(), {
        signal: aborter.signal,
      })) {
        stream.lastResponseAt = performance.now();
        this.onResponse(stream, response);
      }
    } catch {
      // The outcome of the stream's calls is unknown, whatever ended it.
    }
    this.drop(stream);
  }

  private onResponse(stream: OpenStream, {answer, id}: ConverseResponse): void {
    const pending = stream.waitingCalls.get(id);
    if (pending !== undefined) {
      clearTimeout(pending.timer);
      stream.waitingCalls.delete(id);
      pending.resolve(answer);
    }
  }

  /** Fails a call that timed out, and the connection when nothing arrived on the stream since the call was sent. */
  private onTimeout(stream: OpenStream, id: number, sentAt: number): void {
    stream.waitingCalls.get(id)?.resolve(null);
    stream.waitingCalls.delete(id);
    if (stream.lastResponseAt < sentAt && !this.isOpening(stream)) {
      this.drop(stream);
      this.closeStalled(stream.connection);
    }
  }

  /** Whether the other process may still be starting: its VM accepted the connection, but no response came yet. */
  private isOpening({connection, lastResponseAt, openedAt}: OpenStream): boolean {
    const isEarly = performance.now() - openedAt < this.firstResponseTimeoutMs;
    return lastResponseAt === -Infinity && isEarly && connection.isAccepted();
  }

  private closeStalled(connection: PeerConnection): void {
    if (this.connection === connection) {
      this.connection = undefined;
      this.onStalled();
    }
    connection.close();
  }

  private drop(stream: OpenStream): void {
    if (this.stream === stream) {
      this.stream = undefined;
    }
    for (const {resolve, timer} of stream.waitingCalls.values()) {
      clearTimeout(timer);
      resolve(null);
    }
    stream.waitingCalls.clear();
    stream.queue.end();
    stream.aborter.abort();
  }
}
