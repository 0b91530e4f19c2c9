/**
 * Queue of online requests that wait for a free engine slot.
 */
import type {CustomerId, MonotonicMs, RefusalError} from 'stallpaddle';

import {refuse} from 'stallpaddle';
import {
  dequeue,
  EMPTY_QUEUE,
  enqueue,
  removeFromQueue,
  requestInTurn,
  withoutShares,
} from 'stallpaddle-admission';

import type {GatewayContext} from './GatewayContext';

/** Interval at which a waiting request is woken even if no request of this VM finishes, in milliseconds. */
const RECHECK_MS = 100;
/** Retry-After per waiting request, in milliseconds. */
const RETRY_AFTER_PER_WAITER_MS = 10;
const MIN_RETRY_AFTER_MS = 500;

interface Waiter {
  readonly deadlineAt: MonotonicMs;
  readonly reject: (refusal: RefusalError) => void;
  readonly resolve: () => void;
}

/** Holds a VM's waiting requests and wakes them one at a time to look for a free slot. */
export class GatewayQueue {
  private nextId = 0;
  private queue = EMPTY_QUEUE;
  private timer: NodeJS.Timeout | undefined;
  private readonly waiters = new Map<number, Waiter>();

  /**
   * @param context state and services of the VM
   */
  constructor(private readonly context: GatewayContext) {}

  /** Number of waiting requests. */
  get length(): number {
    return this.queue.requests.length;
  }

  /**
   * Waits until the request may look for a free slot again.
   *
   * @param customer customer of the request
   * @param weight the customer's weight in the queue
   * @param deadlineAt when the request is refused if it still waits
   * @param signal aborted when the caller disconnects
   * @throws {RefusalError} `overloaded` when the queue is full, `deadlineExceeded` after the deadline or a disconnect
   */
  wait(
    customer: CustomerId,
    weight: number,
    deadlineAt: MonotonicMs,
    signal: AbortSignal,
  ): Promise<void> {
    const id = this.nextId++;
    const request = requestInTurn(id, customer, weight, this.now);
    const {queuedRequests} = this.context.limits;
    const joined = enqueue(this.queue, request, queuedRequests, withoutShares(this.now));
    if (joined.kind === 'refused') {
      return Promise.reject(this.overloaded());
    }
    this.queue = joined.queue;
    if (joined.kind === 'full') {
      this.takeWaiter(joined.victim.id)?.reject(this.overloaded());
    }
    return new Promise((resolve, reject) => {
      this.waiters.set(id, {deadlineAt, reject, resolve});
      signal.addEventListener('abort', () => this.abandon(id), {once: true});
      this.scheduleRecheck();
    });
  }

  /** Wakes the next request to look for a free slot. */
  wake(): void {
    this.refuseExpired();
    const next = dequeue(this.queue, withoutShares(this.now));
    if (next !== undefined) {
      this.queue = next.queue;
      this.takeWaiter(next.req.id)?.resolve();
    }
    this.scheduleRecheck();
  }

  private get now(): MonotonicMs {
    return this.context.clock.monotonicMs();
  }

  private abandon(id: number): void {
    this.queue = removeFromQueue(this.queue, id);
    this.takeWaiter(id)?.reject(refuse('deadlineExceeded', 'the caller disconnected'));
  }

  private refuseExpired(): void {
    const {now} = this;
    const expired = [...this.waiters].filter(([, {deadlineAt}]) => deadlineAt <= now);
    for (const [id] of expired) {
      this.queue = removeFromQueue(this.queue, id);
      const refusal = refuse('deadlineExceeded', 'no engine slot became free before the deadline', {
        retryAfterMs: MIN_RETRY_AFTER_MS,
      });
      this.takeWaiter(id)?.reject(refusal);
    }
  }

  private takeWaiter(id: number): Waiter | undefined {
    const waiter = this.waiters.get(id);
    this.waiters.delete(id);
    return waiter;
  }

  private overloaded(): RefusalError {
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, this.length * RETRY_AFTER_PER_WAITER_MS);
    return refuse('overloaded', 'too many requests are queued', {retryAfterMs});
  }

  private scheduleRecheck(): void {
    if (this.length > 0 && this.timer === undefined) {
      this.timer = setTimeout(() => {
        this.timer = undefined;
        this.wake();
      }, RECHECK_MS);
    }
  }
}
