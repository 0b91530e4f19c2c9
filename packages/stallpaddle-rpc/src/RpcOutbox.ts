/**
 * Replication messages on their way to one VM, over one standing stream: a call for each would cost
 * more than the message.
 */
import type {Message} from 'stallpaddle-replication';

import {delay, encodeValue} from 'stallpaddle';

import type {PeerClient} from './RpcClients';

/** Pause before a stream of replication messages that broke off is opened again, in milliseconds. */
const OUTBOX_REOPEN_MS = 50;
/** Most messages that wait for one VM; the oldest are dropped, as a network would. */
const OUTBOX_MESSAGES = 512;

interface Delivery {
  readonly encoded: Uint8Array[];
}

/** See the module's comment. */
export class RpcOutbox {
  private closed = false;
  private messages: Message[] = [];
  private open = false;
  private wake = (): void => {};

  /**
   * @param clientOf client of the VM, or undefined while its address is not known
   */
  constructor(private readonly clientOf: () => PeerClient | undefined) {}

  /**
   * Sends a message soon; when too many wait, the oldest is lost.
   *
   * @param message the message
   */
  add(message: Message): void {
    this.messages.push(message);
    if (this.messages.length > OUTBOX_MESSAGES) {
      this.messages.shift();
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
      if (messages.length > 0) {
        yield {encoded: messages.map(encodeValue)};
      }
    }
  }
}
