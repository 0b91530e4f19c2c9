import type {Message} from 'stallpaddle-replication';

import {delay, encodeValue} from 'stallpaddle';

/**
 * Replication messages on their way to one VM, over one standing stream: a call for each would cost
 * more than the message.
 */
import type {PeerClient} from './RpcClients';

/** Pause before a stream of replication messages that broke off is opened again, in milliseconds. */
const OUTBOX_REOPEN_MS = 50;

/**
 * Most bytes of messages that wait for one VM; the oldest are dropped, as a network would. A leader sends
 * a replica that doesn't answer the same megabyte with each heartbeat, so counting messages bounds nothing.
 */
export const OUTBOX_BYTES = 2_097_152;

/** Messages that go in one frame. */
interface Delivery {
  readonly encoded: Uint8Array[];
}

/** See the module's comment. */
export class RpcOutbox {
  private bytes = 0;
  private closed = false;
  private messages: Uint8Array[] = [];
  private open = false;
  private wake = (): void => {};

  /**
   * @param clientOf client of the VM, or undefined while its address is not known
   */
  constructor(private readonly clientOf: () => PeerClient | undefined) {}

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
    this.messages.push(encoded);
    this.bytes += encoded.length;
    while (this.bytes > OUTBOX_BYTES && this.messages.length > 1) {
      this.bytes -= this.messages.shift()!.length;
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

  private async stream(): Promise<void> {
    this.open = true;
    while (!this.closed) {
      try {
        await this.clientOf()?.deliver(this.deliveries());
      } catch {
        // What was lost is sent again by the next heartbeat.
      }
      await delay(OUTBOX_REOPEN_MS);
    }
    this.open = false;
  }

  private async *deliveries(): AsyncGenerator<Delivery> {
    while (!this.closed) {
      if (this.messages.length === 0) {
        await new Promise<void>((resolve) => {
          this.wake = resolve;
        });
      }
      const {messages} = this;
      this.messages = [];
      this.bytes = 0;
      if (messages.length > 0) {
        yield {encoded: messages};
      }
    }
  }
}
