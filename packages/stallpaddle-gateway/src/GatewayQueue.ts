/**
 * Online requests that wait for room at an engine.
 */
import type {CustomerId, MonotonicMs, RefusalError} from 'stallpaddle';

import {refuse} from 'stallpaddle';
import {dequeue, EMPTY_QUEUE, enqueue, removeFromQueue} from 'stallpaddle-routing';

import type {GatewayContext} from './GatewayContext';

/** Time after which the head of the queue looks again even if nothing ended here. */
const RECHECK_MS = 100;
/** Retry-After for each request that waits, in milliseconds. */
const RETRY_PER_WAITING_MS = 10;
const LEAST_RETRY_MS = 500;

interface Waiter {
  readonly reject: (refusal: RefusalError) => void;
  readonly resolve: () => void;
}

/** The queue of one VM. */
export class GatewayQueue {
  private nextId = 0;
  private queue = EMPTY_QUEUE;
  private timer: NodeJS.Timeout | undefined;
  private readonly waiters = new Map<number, Waiter>();

  /**
   * @param context the VM
   */
  constructor(private readonly context: GatewayContext) {}

  /** Requests that wait. */
  get length(): number {
    return this.queue.requests.length;
  }

  /**
   * Waits for a turn to look for room again.
   *
   * @param customer who waits
   * @param weight its share
   * @param deadlineAt when waiting makes no sense any more
   * @param signal ends the wait when the caller has gone
   * @throws {RefusalError} `overloaded` at once when the queue is full, `deadlineExceeded` later
   */
  wait(
    customer: CustomerId,
    weight: number,
    deadlineAt: MonotonicMs,
    signal: AbortSignal,
  ): Promise<void> {
    const since = this.context.clock.monotonicMs();
    const id = this.nextId++;
    const request = {customer, deadlineAt, id, since, weight};
    const joined = enqueue(this.queue, request, this.context.limits.queuedRequests);
    if (joined.kind === 'refused') {
      return Promise.reject(this.overloaded());
    }
    this.queue = joined.queue;
    if (joined.kind === 'full') {
      this.settle(joined.victim.id)?.reject(this.overloaded());
    }
    return new Promise((resolve, reject) => {
      this.waiters.set(id, {reject, resolve});
      signal.addEventListener('abort', () => this.giveUp(id), {once: true});
      this.arm();
    });
  }

  /** Lets the next request look for room. */
  wake(): void {
    this.refuseLate();
    const next = dequeue(this.queue);
    if (next !== undefined) {
      this.queue = next.queue;
      this.settle(next.req.id)?.resolve();
    }
    this.arm();
  }

  private giveUp(id: number): void {
    this.queue = removeFromQueue(this.queue, id);
    this.settle(id)?.reject(refuse('deadlineExceeded', 'the caller has gone'));
  }

  private refuseLate(): void {
    const now = this.context.clock.monotonicMs();
    for (const late of this.queue.requests.filter((req) => req.deadlineAt <= now)) {
      this.queue = removeFromQueue(this.queue, late.id);
      const refusal = refuse('deadlineExceeded', 'no engine had room in time', {
        retryAfterMs: LEAST_RETRY_MS,
      });
      this.settle(late.id)?.reject(refusal);
    }
  }

  private settle(id: number): Waiter | undefined {
    const waiter = this.waiters.get(id);
    this.waiters.delete(id);
    return waiter;
  }

  private overloaded(): RefusalError {
    const retryAfterMs = Math.max(LEAST_RETRY_MS, this.length * RETRY_PER_WAITING_MS);
    return refuse('overloaded', 'too many requests wait here', {retryAfterMs});
  }

  private arm(): void {
    if (this.length > 0 && this.timer === undefined) {
      this.timer = setTimeout(() => {
        this.timer = undefined;
        this.wake();
      }, RECHECK_MS);
    }
  }
}
