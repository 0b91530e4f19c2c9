/**
 * Token buckets for the customers' limits that a VM owns.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {LimitDecision, RateLimit} from './LimitTypes';

import {type LimitBucket, type LimitTerms, returnToken, takeToken} from './LimitBucket';

/** Requests that a full bucket allows beyond the burst; covers resent requests and those that no engine ran. */
const MARGIN_REQUESTS = 8;

/** Requests that a new owner grants at once, so that the loss of an owner causes no refusals at low rates. */
export const INITIAL_REQUESTS = 4;

/** Maximum time that a request waits for its token, in milliseconds; refusing it would delay the caller longer. */
const MAX_WAIT_MS = 100;

/** Fraction of the capacity from which a customer counts as calm. */
const CALM_FRACTION = 0.5;

const SECOND_MS = 1_000;

/** Bounds memory; the least recently used bucket is evicted first. */
const MAX_BUCKETS = 65_536;

function termsOf({burst, ratePerSecond}: RateLimit): LimitTerms {
  return {capacity: burst + MARGIN_REQUESTS, ratePerSecond};
}

/** A busy customer has used the rest elsewhere: its first request waits for its token, and the rate applies from there. */
function firstTokens({burst, ratePerSecond}: RateLimit, isBusy: boolean): number {
  const inAdvance = (ratePerSecond * MAX_WAIT_MS) / SECOND_MS;
  return isBusy ? 1 - inAdvance : Math.min(burst + MARGIN_REQUESTS, INITIAL_REQUESTS);
}

/**
 * Grants requests within the customers' limits at the VM that owns them. A new owner doesn't know what previous owners
 * granted, so its buckets start almost empty: a change of owner never grants an additional burst.
 */
export class LimitOwnerBuckets {
  private readonly buckets = new Map<string, LimitBucket>();

  /**
   * @param isBusy whether a customer had used most of its limit when an owner was last heard
   */
  constructor(private readonly isBusy: (customer: string) => boolean = () => false) {}

  /**
   * Decides on one request of a customer.
   *
   * @param limit the customer's limit
   * @param now the current time
   */
  ask(limit: RateLimit, now: MonotonicMs): LimitDecision {
    const terms = termsOf(limit);
    const before = this.buckets.get(limit.customer) ?? {
      at: now,
      tokens: firstTokens(limit, this.isBusy(limit.customer)),
    };
    const answer = takeToken(before, terms, now, MAX_WAIT_MS);
    this.keep(limit.customer, answer.bucket);
    if (answer.kind === 'empty') {
      return {kind: 'over', retryAfterMs: answer.retryAfterMs};
    }
    const isCalm = answer.bucket.tokens >= terms.capacity * CALM_FRACTION;
    return {isCalm, kind: 'granted', waitMs: answer.waitMs};
  }

  /**
   * Returns the token of a granted request that no engine ran.
   *
   * @param limit the customer's limit
   */
  takeBack(limit: RateLimit): void {
    const bucket = this.buckets.get(limit.customer);
    if (bucket !== undefined) {
      this.buckets.set(limit.customer, returnToken(bucket, termsOf(limit)));
    }
  }

  /** Drops all buckets, as another VM may have granted requests since. */
  clear(): void {
    this.buckets.clear();
  }

  /**
   * Drops the buckets of customers whose limits another VM owns now.
   *
   * @param isOwn whether this VM owns a customer's limit
   */
  keepOnly(isOwn: (customer: string) => boolean): void {
    for (const customer of this.buckets.keys()) {
      if (!isOwn(customer)) {
        this.buckets.delete(customer);
      }
    }
  }

  private keep(customer: string, bucket: LimitBucket): void {
    this.buckets.delete(customer);
    this.buckets.set(customer, bucket);
    const [oldest] = this.buckets.keys();
    if (oldest !== undefined && this.buckets.size > MAX_BUCKETS) {
      this.buckets.delete(oldest);
    }
  }
}
