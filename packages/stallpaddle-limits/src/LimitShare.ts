/**
 * Local shares of customers' limits.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {LimitAnswer, LimitDecision, RateLimit} from './LimitTypes';

import {type LimitBucket, type LimitTerms, takeToken} from './LimitBucket';
import {INITIAL_REQUESTS} from './LimitOwnerBuckets';

/** Bounds memory; customers that were dropped count as calm. */
const MAX_CUSTOMERS = 65_536;

/**
 * Applies a VM's local share of each customer's limit, which is the limit divided by the number of VMs. Used only while
 * no owner can be asked: uneven arrivals exceed the share of one VM before they reach the whole limit.
 */
export class LimitShare {
  private readonly buckets = new Map<string, LimitBucket>();
  /** Customers that had used most of their limit by their owner's last answer. */
  private readonly busy = new Set<string>();
  private hasHeard = false;

  /**
   * @param phaseOf fraction of a token with which a busy customer begins here, evenly spread over the VMs: else all of them would
   * grant their first requests at the same time
   */
  constructor(private readonly phaseOf: (customer: string) => number = () => 0) {}

  /**
   * Records an answer of the owner of a customer's limit.
   *
   * @param customer the customer
   * @param answer the owner's answer
   */
  note(customer: string, answer: LimitAnswer): void {
    this.hasHeard ||= answer.kind !== 'unsure';
    if (answer.kind === 'over' || (answer.kind === 'granted' && !answer.isCalm)) {
      this.busy.add(customer);
      // What the share has saved up since an earlier outage is used by now.
      this.buckets.delete(customer);
    } else if (answer.kind === 'granted') {
      this.busy.delete(customer);
    }
    if (this.busy.size > MAX_CUSTOMERS) {
      this.busy.clear();
    }
  }

  /**
   * Whether a customer had used most of its limit by its owner's last answer.
   *
   * @param customer the customer
   */
  isBusy(customer: string): boolean {
    return this.busy.has(customer);
  }

  /**
   * Decides on one request of a customer.
   *
   * @param limit the customer's limit
   * @param vms number of VMs that share it
   * @param now the current time
   */
  ask(limit: RateLimit, vms: number, now: MonotonicMs): LimitDecision {
    const {burst, customer, ratePerSecond} = limit;
    const terms: LimitTerms = {
      capacity: Math.max(1, burst / vms),
      ratePerSecond: ratePerSecond / vms,
    };
    const tokens = this.isBusy(customer) ? this.phaseOf(customer) : this.firstTokens(terms, vms);
    const answer = takeToken(this.buckets.get(customer) ?? {at: now, tokens}, terms, now);
    if (this.buckets.size >= MAX_CUSTOMERS) {
      this.buckets.clear();
    }
    this.buckets.set(customer, answer.bucket);
    return answer.kind === 'taken'
      ? {isCalm: !this.isBusy(customer), kind: 'granted', waitMs: 0}
      : {kind: 'over', retryAfterMs: answer.retryAfterMs};
  }

  /** A process that no owner has answered yet doesn't know what was granted before its start, as a new owner doesn't. */
  private firstTokens({capacity}: LimitTerms, vms: number): number {
    return this.hasHeard ? capacity : Math.min(capacity, INITIAL_REQUESTS / vms);
  }
}
