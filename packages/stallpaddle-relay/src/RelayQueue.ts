/**
 * Queue of the online requests of one VM that wait for a slot of one service.
 */
import type {CustomerId} from 'stallpaddle';

import {
  type AdmissionQueue,
  dequeue,
  EMPTY_QUEUE,
  enqueue,
  MAX_WAITING,
  type OrderState,
  putBack,
  type RejectReason,
  removeFromQueue,
  requestsAhead,
} from 'stallpaddle-admission';

import type {AdmissionTicket} from './RelayTicket';

/** A rejection that is sent to the caller. */
export interface AdmissionRejection {
  readonly reason: 'full' | RejectReason;
  readonly retryAfterMs: number;
}

/** End of a wait. */
export type WaitEnd =
  /** The queue is full of requests that go first. */
  | {readonly kind: 'dropped'}
  | {readonly kind: 'left'}
  | {readonly kind: 'rejected'; readonly rejection: AdmissionRejection}
  /** The request may try to get a slot. */
  | {readonly kind: 'turn'};

interface Waiter {
  readonly resolve: (end: WaitEnd) => void;
  readonly ticket: AdmissionTicket;
}

/**
 * Wakes waiting requests in order, one at a time: the next one is woken once the last one was sent, and none while it
 * finds no slot.
 */
export class RelayQueue {
  private queue: AdmissionQueue = EMPTY_QUEUE;
  /** The request that was woken and has neither been sent nor returned to the queue. */
  private trying: AdmissionTicket | undefined;
  private readonly waiters = new Map<number, Waiter>();

  /**
   * @param state returns what the order depends on
   * @param capacity maximum number of waiting requests
   */
  constructor(
    private readonly state: () => OrderState,
    private readonly capacity = MAX_WAITING,
  ) {}

  /** Number of waiting requests. */
  get length(): number {
    return this.waiters.size;
  }

  /** Customers of the waiting requests, one entry for each request. */
  get customers(): readonly CustomerId[] {
    return this.queue.requests.map(({customer}) => customer);
  }

  /** The waiting requests. */
  get tickets(): readonly AdmissionTicket[] {
    return [...this.waiters.values()].map(({ticket}) => ticket);
  }

  /**
   * Number of requests that go before another.
   *
   * @param ticket the other request
   */
  ahead(ticket: AdmissionTicket): number {
    const {queue, trying} = this;
    const isTrying = trying !== undefined && trying.id !== ticket.id;
    const waiting = queue.requests.length === 0 ? 0 : requestsAhead(queue, ticket, this.state());
    return waiting + (isTrying ? 1 : 0);
  }

  /**
   * Waits until the request may try to get a slot, or must not wait any longer.
   *
   * @param ticket the request
   */
  wait(ticket: AdmissionTicket): Promise<WaitEnd> {
    if (this.trying?.id === ticket.id) {
      this.trying = undefined;
      this.queue = putBack(this.queue, ticket);
    } else {
      const capacity = this.capacity - (this.trying === undefined ? 0 : 1);
      const joined = enqueue(this.queue, ticket, capacity, this.state());
      if (joined.kind === 'refused') {
        return Promise.resolve({kind: 'dropped'});
      }
      this.queue = joined.queue;
      if (joined.kind === 'full') {
        this.resolve(joined.victim.id, {kind: 'dropped'});
      }
    }
    return new Promise((resolve) => {
      this.waiters.set(ticket.id, {resolve, ticket});
    });
  }

  /** Wakes the first request in order, unless one that was woken before is still trying. */
  wakeNext(): void {
    if (this.trying !== undefined) {
      return;
    }
    const next = dequeue(this.queue, this.state());
    if (next !== undefined) {
      this.queue = next.queue;
      this.trying = this.waiters.get(next.req.id)?.ticket;
      this.resolve(next.req.id, {kind: 'turn'});
    }
  }

  /**
   * Removes a request that was sent or has ended, and wakes the next one if it was trying.
   *
   * @param id the request's id
   */
  remove(id: number): void {
    if (this.trying?.id === id) {
      this.trying = undefined;
      this.wakeNext();
    } else {
      this.take(id, {kind: 'left'});
    }
  }

  /**
   * Ends the wait of a request.
   *
   * @param id the request's id
   * @param end how it ends
   */
  take(id: number, end: WaitEnd): void {
    if (this.waiters.has(id)) {
      this.queue = removeFromQueue(this.queue, id);
      this.resolve(id, end);
    }
  }

  private resolve(id: number, end: WaitEnd): void {
    const waiter = this.waiters.get(id);
    this.waiters.delete(id);
    waiter?.resolve(end);
  }
}
