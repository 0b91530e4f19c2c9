/**
 * A VM's side of pauses: customers whose requests it rejects without asking the limit's owner.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {LimitDecision, LimitPause} from './LimitTypes';

/** Longest pause that is applied, in milliseconds, whatever an owner states. */
const MAX_PAUSE_MS = 1_000;

/** Longest retry-after time, in milliseconds. */
const MAX_RETRY_AFTER_MS = 1_600;

/** Bounds memory; the oldest entry is dropped first. */
const MAX_CUSTOMERS = 4_096;

/** Fraction of the golden ratio; its multiples modulo 1 spread evenly. */
const GOLDEN = 0.618_033_988_749_895;

interface PausedCustomer {
  readonly pause: LimitPause;
  /** Requests rejected since the last ask. */
  rejected: number;
  readonly until: MonotonicMs;
}

/** Holds the pauses that owners have told this VM. */
export class LimitPausedCustomers {
  private readonly customers = new Map<string, PausedCustomer>();

  /**
   * Starts a pause.
   *
   * @param customer the customer
   * @param pause what the owner told
   * @param now the current time
   */
  begin(customer: string, pause: LimitPause, now: MonotonicMs): void {
    this.customers.delete(customer);
    const until = now + Math.min(MAX_PAUSE_MS, pause.pauseMs);
    this.customers.set(customer, {pause, rejected: 0, until});
    const [oldest] = this.customers.keys();
    if (oldest !== undefined && this.customers.size > MAX_CUSTOMERS) {
      this.customers.delete(oldest);
    }
  }

  /**
   * Whether a customer is paused.
   *
   * @param customer the customer
   * @param now the current time
   */
  isPaused(customer: string, now: MonotonicMs): boolean {
    return now < (this.customers.get(customer)?.until ?? -Infinity);
  }

  /**
   * Rejects a request of a paused customer.
   *
   * @param customer the customer
   * @param now the current time
   * @returns undefined when the owner is to be asked
   */
  check(customer: string, now: MonotonicMs): LimitDecision | undefined {
    const paused = this.customers.get(customer);
    if (paused === undefined || !this.isPaused(customer, now)) {
      return undefined;
    }
    paused.rejected++;
    const spread = 0.75 + ((paused.rejected * GOLDEN) % 1) / 2;
    const retryMs = Math.max(paused.until - now, paused.pause.retryAfterMs * spread);
    return {kind: 'over', retryAfterMs: Math.round(Math.min(MAX_RETRY_AFTER_MS, retryMs))};
  }

  /**
   * Takes the number of requests rejected since the last ask, and forgets a pause that has ended.
   *
   * @param customer the customer
   */
  takeRejected(customer: string): number {
    const rejected = this.customers.get(customer)?.rejected ?? 0;
    this.customers.delete(customer);
    return rejected;
  }
}
