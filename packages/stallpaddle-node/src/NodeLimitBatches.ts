/** Coalescing of requests that wait for the owner of a customer's limit. */
import type {Clock} from 'stallpaddle';
import type {LimitAnswer, LimitDecision, RateLimit} from 'stallpaddle-limits';

import {LimitPausedCustomers, MAX_ASK_COUNT} from 'stallpaddle-limits';

import {SECOND_MS} from './NodeConstants';

/** Dependencies of `NodeLimitBatches`. */
export interface NodeLimitBatchesOptions {
  /** Asks the owner, or its deputy, for several requests of a customer. */
  readonly ask: (customer: string, count: number, rejected: number) => Promise<LimitAnswer>;
  readonly clock: Clock;
}

/** A request that waits for the answer. */
interface Waiting {
  readonly reject: (err: unknown) => void;
  readonly resolve: (answer: LimitAnswer) => void;
}

/**
 * Keeps at most one ask in flight for each customer: requests that arrive meanwhile share the next one. A customer that
 * its owner has paused is rejected without an ask.
 */
export class NodeLimitBatches {
  private readonly paused = new LimitPausedCustomers();
  /** Requests waiting for the next ask, by customer; present while an ask is in flight. */
  private readonly queues = new Map<string, Waiting[]>();

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeLimitBatchesOptions) {}

  /**
   * Decides on one request.
   *
   * @param limit the customer's limit
   * @returns `unsure` when neither owner nor deputy has answered
   */
  admit(limit: RateLimit): Promise<LimitAnswer> {
    const {customer} = limit;
    const paused = this.paused.check(customer, this.options.clock.monotonicMs());
    if (paused !== undefined) {
      return Promise.resolve(paused);
    }
    return new Promise((resolve, reject) => {
      const queue = this.queues.get(customer);
      if (queue !== undefined) {
        queue.push({reject, resolve});
        return;
      }
      this.queues.set(customer, [{reject, resolve}]);
      void this.drain(limit);
    });
  }

  /** Asks until no request of the customer waits. */
  private async drain(limit: RateLimit): Promise<void> {
    const {customer} = limit;
    const queue = this.queues.get(customer)!;
    while (queue.length > 0) {
      const asking = queue.splice(0, MAX_ASK_COUNT);
      try {
        const rejected = this.paused.takeRejected(customer);
        const answer = await this.options.ask(customer, asking.length, rejected);
        // Requests that were not part of an answered ask go before those that arrived meanwhile.
        queue.unshift(...this.settle(limit, asking, answer));
        if (answer.kind === 'unsure' || this.isPaused(customer)) {
          queue.splice(0).forEach(({resolve}) => resolve(this.answerLate(customer, answer)));
        }
      } catch (err) {
        [...asking, ...queue.splice(0)].forEach(({reject}) => reject(err));
      }
    }
    this.queues.delete(customer);
  }

  /** Settles the requests of an ask; returns those that the answer doesn't cover. */
  private settle(
    limit: RateLimit,
    asking: readonly Waiting[],
    answer: LimitAnswer,
  ): readonly Waiting[] {
    const now = this.options.clock.monotonicMs();
    switch (answer.kind) {
      case 'unsure':
        asking.forEach(({resolve}) => resolve(answer));
        return [];
      case 'over':
        this.begin(limit.customer, answer, now);
        asking.forEach(({resolve}) => resolve(answer));
        return [];
      case 'granted': {
        const {count = 1, isCalm, rest, waitMs} = answer;
        const tokenMs = SECOND_MS / limit.ratePerSecond;
        asking.slice(0, count).forEach(({resolve}, at) => {
          const earlierMs = (count - 1 - at) * tokenMs;
          resolve({isCalm, kind: 'granted', waitMs: Math.max(0, Math.ceil(waitMs - earlierMs))});
        });
        const others = asking.slice(count);
        if (rest === undefined) {
          return others;
        }
        this.begin(limit.customer, rest, now);
        others.forEach(({resolve}) => {
          resolve({kind: 'over', retryAfterMs: rest.retryAfterMs});
        });
        return [];
      }
    }
  }

  /** Owners of earlier releases tell no pause. */
  private begin(
    customer: string,
    {pauseMs, retryAfterMs}: Omit<Extract<LimitDecision, {kind: 'over'}>, 'kind'>,
    now: number,
  ): void {
    if (pauseMs !== undefined) {
      this.paused.begin(customer, {pauseMs, retryAfterMs}, now);
    }
  }

  private isPaused(customer: string): boolean {
    return this.paused.isPaused(customer, this.options.clock.monotonicMs());
  }

  /** Answer to a request that arrived after the ask. */
  private answerLate(customer: string, answer: LimitAnswer): LimitAnswer {
    return this.paused.check(customer, this.options.clock.monotonicMs()) ?? answer;
  }
}
