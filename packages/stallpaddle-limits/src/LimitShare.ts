/**
 * A VM's own part of each customer's limit, by the number of VMs. It serves while nobody can be asked: with few requests a
 * second at each VM, parts refuse by chance what the whole has room for.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {LimitAnswer, LimitDecision, RateLimit} from './LimitTypes';

import {type LimitBucket, type LimitTerms, takeToken} from './LimitBucket';

/** Customers that are remembered; whoever is forgotten counts as calm. */
const MOST_CUSTOMERS = 65_536;

/** See the module's comment. */
export class LimitShare {
  private readonly buckets = new Map<string, LimitBucket>();
  /** Customers that used most of their limit when their owner was last heard. */
  private readonly pressing = new Set<string>();

  /**
   * Notes what the owner of a customer's limit said.
   *
   * @param customer the customer
   * @param answer the owner's answer
   */
  note(customer: string, answer: LimitAnswer): void {
    if (answer.kind === 'over' || (answer.kind === 'granted' && !answer.isCalm)) {
      this.pressing.add(customer);
    } else if (answer.kind === 'granted') {
      this.pressing.delete(customer);
    }
    if (this.pressing.size > MOST_CUSTOMERS) {
      this.pressing.clear();
    }
  }

  /**
   * Asks for one request.
   *
   * @param limit the customer's limit
   * @param vms number of VMs that share it
   * @param now the present moment
   */
  ask(limit: RateLimit, vms: number, now: MonotonicMs): LimitDecision {
    const {burst, customer, ratePerSecond} = limit;
    const terms: LimitTerms = {
      capacity: Math.max(1, burst / vms),
      ratePerSecond: ratePerSecond / vms,
    };
    const tokens = this.pressing.has(customer) ? 0 : terms.capacity;
    const answer = takeToken(this.buckets.get(customer) ?? {at: now, tokens}, terms, now);
    if (this.buckets.size >= MOST_CUSTOMERS) {
      this.buckets.clear();
    }
    this.buckets.set(customer, answer.bucket);
    return answer.kind === 'taken'
      ? {isCalm: !this.pressing.has(customer), kind: 'granted', waitMs: 0}
      : {kind: 'over', retryAfterMs: answer.retryAfterMs};
  }
}
