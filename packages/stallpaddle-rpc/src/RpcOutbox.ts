/**
 * Queue of outgoing replication messages for one VM.
 */
import type {MessageInitShape} from '@bufbuild/protobuf';

import {delay, encodeValue} from 'stallpaddle';
import {isUrgent, type Message} from 'stallpaddle-replication';

import type {DeliverRequestSchema} from './gen/stallpaddle/v1/peer_pb';

import {MAX_CHUNK_BYTES, RpcSplitter} from './RpcChunks';

/** Pause before a broken stream is opened again, in milliseconds. */
const OUTBOX_REOPEN_MS = 50;

/** Most bytes of ordinary messages queued for one VM; beyond that the oldest are dropped, as replication tolerates. */
export const MAX_OUTBOX_BYTES = 2_097_152;

/** A batch of whole messages, with an optional chunk of a large one. */
export type Delivery = MessageInitShape<typeof DeliverRequestSchema>;

/** Deliveries for one VM, as a {@link DeliverySender} takes them. */
export interface DeliverySource {
  /** Reports that the delivery taken last was lost, so that the rest of a chunked message in it is dropped. */
  readonly lost: () => void;
  /** Waits for the next delivery; undefined once the outbox is closed. */
  readonly next: () => Promise<Delivery | undefined>;
}

/** Sends deliveries until it fails or the source is closed; takes the next one only when it is ready to send it. */
export type DeliverySender = (deliveries: DeliverySource) => Promise<unknown> | undefined;

/**
 * Queues replication messages for one VM and sends them over one long-lived stream, as a call for each message would
 * cost more than the message itself. Urgent messages overtake ordinary ones; large messages are sent in chunks.
 */
export class RpcOutbox {
  private bytes = 0;
  private closed = false;
  private messages: Uint8Array[] = [];
  private open = false;
  /** The large message that is being sent in chunks. */
  private splitter: RpcSplitter | undefined;
  /** Whether the delivery taken last held urgent messages only. */
  private wasUrgentOnly = false;
  /** Number of the current stream; requests of earlier streams are ignored. */
  private currentStream = 0;
  /** The newest message for each group and kind, which supersedes older ones. */
  private urgent = new Map<string, Uint8Array>();
  private wake = (): void => {};

  /**
   * @param sendAll sends the deliveries to the VM
   */
  constructor(private readonly sendAll: DeliverySender) {}

  /** Bytes of queued ordinary messages. */
  get waitingBytes(): number {
    return this.bytes;
  }

  /**
   * Queues a message; when the queue exceeds its limit, the oldest ordinary messages are dropped.
   *
   * @param message the message
   */
  add(message: Message): void {
    const encoded = encodeValue(message);
    if (isUrgent(message)) {
      const {body, from, group, to} = message;
      this.urgent.set([group, body.kind, from, to].join(), encoded);
    } else {
      this.addOrdinary(encoded);
    }
    this.wake();
    if (!this.open) {
      void this.stream();
    }
  }

  /** Closes the outbox: nothing more is sent. */
  close(): void {
    this.closed = true;
    this.wake();
  }

  private addOrdinary(encoded: Uint8Array): void {
    this.messages.push(encoded);
    this.bytes += encoded.length;
    while (this.bytes > MAX_OUTBOX_BYTES && this.messages.length > 1) {
      this.bytes -= this.messages.shift()!.length;
    }
  }

  private async stream(): Promise<void> {
    this.open = true;
    while (!this.closed) {
      const number = ++this.currentStream;
      try {
        await this.sendAll({lost: () => this.dropRest(number), next: () => this.next(number)});
      } catch {
        // Replication sends lost messages again after the next heartbeat.
      }
      this.dropRest(number);
      this.currentStream++;
      // Ends a pending request for the old stream's next delivery.
      this.wake();
      await delay(OUTBOX_REOPEN_MS);
    }
    this.open = false;
  }

  private dropRest(stream: number): void {
    if (stream === this.currentStream) {
      this.splitter = undefined;
    }
  }

  private get isEmpty(): boolean {
    return this.messages.length + this.urgent.size === 0 && this.splitter === undefined;
  }

  private async next(stream: number): Promise<Delivery | undefined> {
    while (this.isEmpty && !this.closed && stream === this.currentStream) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    if (this.closed || stream !== this.currentStream) {
      return undefined;
    }
    const urgent = [...this.urgent.values()];
    this.urgent.clear();
    // A delivery is handled once all of it has arrived, so a chunk in the same delivery would delay urgent messages, and
    // a leader's lease of 400 ms could expire. Two urgent-only deliveries never follow each other, so that the urgent messages of
    // many groups can't starve the log.
    this.wasUrgentOnly = urgent.length > 0 && !this.wasUrgentOnly;
    if (this.wasUrgentOnly) {
      return {encoded: urgent};
    }
    const small = this.splitter === undefined ? this.takeSmallMessages() : [];
    const encoded = [...urgent, ...small];
    if (small.length === 0) {
      this.startSplitting();
    }
    return this.splitter === undefined ? {encoded} : {encoded, part: this.nextChunk(this.splitter)};
  }

  /** Takes messages from the head of the queue that fit into one delivery. */
  private takeSmallMessages(): readonly Uint8Array[] {
    let bytes = 0;
    let count = 0;
    while (
      count < this.messages.length &&
      bytes + this.messages[count]!.length <= MAX_CHUNK_BYTES
    ) {
      bytes += this.messages[count]!.length;
      count++;
    }
    this.bytes -= bytes;
    return this.messages.splice(0, count);
  }

  private startSplitting(): void {
    const large = this.splitter === undefined ? this.messages.shift() : undefined;
    if (large !== undefined) {
      this.bytes -= large.length;
      this.splitter = new RpcSplitter(large);
    }
  }

  private nextChunk(splitter: RpcSplitter): Delivery['part'] {
    const part = splitter.next();
    this.splitter = splitter.ended ? undefined : splitter;
    return part;
  }
}
