/**
 * Replication messages on their way to one VM, over one standing stream: a call for each would cost
 * more than the message. Urgent ones overtake the others; large ones go in parts.
 */
import type {MessageInitShape} from '@bufbuild/protobuf';

import {delay, encodeValue} from 'stallpaddle';
import {isUrgent, type Message} from 'stallpaddle-replication';

import type {DeliverRequestSchema} from './gen/stallpaddle/v1/peer_pb';

import {MAX_CHUNK_BYTES, RpcSplitter} from './RpcChunks';

/** Pause before a stream of replication messages that broke off is opened again, in milliseconds. */
const OUTBOX_REOPEN_MS = 50;

/**
 * Most bytes of messages that wait for one VM; the oldest are dropped, as a network would. Messages may have a
 * megabyte each, so counting them bounds nothing.
 */
export const MAX_OUTBOX_BYTES = 2_097_152;

/** Messages that go together, and perhaps a part of a large one. */
export type Delivery = MessageInitShape<typeof DeliverRequestSchema>;

/** Messages for one VM, as a carrier takes them. */
export interface DeliverySource {
  /** Tells that the delivery taken last was lost: the rest of a message of which it held a part is useless. */
  readonly lost: () => void;
  /** Waits for the next delivery; undefined once the outbox is closed. */
  readonly next: () => Promise<Delivery | undefined>;
}

/** Carries deliveries until it fails or they end; takes the next one only when it can carry it. */
export type DeliverySender = (deliveries: DeliverySource) => Promise<unknown> | undefined;

/** See the module's comment. */
export class RpcOutbox {
  private bytes = 0;
  private closed = false;
  private messages: Uint8Array[] = [];
  private open = false;
  private split: RpcSplitter | undefined;
  /** Whether the delivery taken last held urgent messages alone. */
  private tookUrgent = false;
  /** Number of the stream in use: what an earlier one still asks for is nothing to it. */
  private streams = 0;
  /** The newest of each group and kind: it says all that the older ones did. */
  private urgent = new Map<string, Uint8Array>();
  private wake = (): void => {};

  /**
   * @param carry brings the messages to the VM
   */
  constructor(private readonly carry: DeliverySender) {}

  /** Bytes of messages that wait. */
  get waitingBytes(): number {
    return this.bytes;
  }

  /**
   * Sends a message soon; when too much waits, the oldest is lost.
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

  /** Ends the stream. */
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
      const number = ++this.streams;
      try {
        await this.carry({lost: () => this.lose(number), next: () => this.next(number)});
      } catch {
        // What was lost is sent again by the next heartbeat.
      }
      this.lose(number);
      this.streams++;
      // A question of the old stream that still waits ends without an answer.
      this.wake();
      await delay(OUTBOX_REOPEN_MS);
    }
    this.open = false;
  }

  private lose(stream: number): void {
    if (stream === this.streams) {
      this.split = undefined;
    }
  }

  private get isEmpty(): boolean {
    return this.messages.length + this.urgent.size === 0 && this.split === undefined;
  }

  private async next(stream: number): Promise<Delivery | undefined> {
    while (this.isEmpty && !this.closed && stream === this.streams) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    if (this.closed || stream !== this.streams) {
      return undefined;
    }
    const urgent = [...this.urgent.values()];
    this.urgent.clear();
    // A delivery is read once all of it has come: with a part, a leader's word would wait for two of them, and a lease of
    // 400 ms end with the first hold-up. Not twice in a row, or words of many groups could keep the log back.
    this.tookUrgent = urgent.length > 0 && !this.tookUrgent;
    if (this.tookUrgent) {
      return {encoded: urgent};
    }
    const whole = this.split === undefined ? this.takeWhole() : [];
    const encoded = [...urgent, ...whole];
    if (whole.length === 0) {
      this.beginSplit();
    }
    return this.split === undefined ? {encoded} : {encoded, part: this.takePart(this.split)};
  }

  /** Messages that go at once, in order, up to the size of one part. */
  private takeWhole(): readonly Uint8Array[] {
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

  private beginSplit(): void {
    const large = this.split === undefined ? this.messages.shift() : undefined;
    if (large !== undefined) {
      this.bytes -= large.length;
      this.split = new RpcSplitter(large);
    }
  }

  private takePart(split: RpcSplitter): Delivery['part'] {
    const part = split.next();
    this.split = split.ended ? undefined : split;
    return part;
  }
}
