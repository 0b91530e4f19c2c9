/**
 * Grants requests to customers within their limits, at the VM that owns them. An owner's bucket counts what it grants itself:
 * one that becomes the owner knows nothing of what others granted before it, and begins with an almost empty bucket, so that
 * the grants of one owner after the other never sum up to more than those of one. Pure but for its own counts.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {LimitDecision, RateLimit} from './LimitTypes';

import {type LimitBucket, type LimitTerms, returnToken, takeToken} from './LimitBucket';

/**
 * Requests beyond a customer's burst that a full bucket holds: what callers resend, and what ended unserved, counts
 * elsewhere than here.
 */
const MARGIN_REQUESTS = 8;

/** Requests that a new owner grants at once: an owner that is lost must not cost a calm customer its next requests. */
const FIRST_REQUESTS = 4;

/** Longest time for which a request waits for its token, in milliseconds: a refused caller waits longer. */
const AHEAD_MS = 100;

/** Part of its bucket above which a customer is calm. */
const CALM_PART = 0.5;

/** Customers whose buckets are kept; a full bucket is as good as none. */
const MOST_BUCKETS = 65_536;

function termsOf({burst, ratePerSecond}: RateLimit): LimitTerms {
  return {capacity: burst + MARGIN_REQUESTS, ratePerSecond};
}

function firstBucket({burst}: RateLimit, now: MonotonicMs): LimitBucket {
  return {at: now, tokens: Math.min(burst + MARGIN_REQUESTS, FIRST_REQUESTS)};
}

/** See the module's comment. */
export class LimitOwnerBuckets {
  private readonly buckets = new Map<string, LimitBucket>();

  /**
   * Asks for one request.
   *
   * @param limit the customer's limit
   * @param now the present moment
   */
  ask(limit: RateLimit, now: MonotonicMs): LimitDecision {
    const terms = termsOf(limit);
    const before = this.buckets.get(limit.customer) ?? firstBucket(limit, now);
    const answer = takeToken(before, terms, now, AHEAD_MS);
    this.keep(limit.customer, answer.bucket);
    if (answer.kind === 'empty') {
      return {kind: 'over', retryAfterMs: answer.retryAfterMs};
    }
    const isCalm = answer.bucket.tokens >= terms.capacity * CALM_PART;
    return {isCalm, kind: 'granted', waitMs: answer.waitMs};
  }

  /**
   * Takes back what was granted to a request that no engine ran.
   *
   * @param limit the customer's limit
   */
  takeBack(limit: RateLimit): void {
    const bucket = this.buckets.get(limit.customer);
    if (bucket !== undefined) {
      this.buckets.set(limit.customer, returnToken(bucket, termsOf(limit)));
    }
  }

  /**
   * Forgets what was counted for customers that another VM counts for now.
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
    if (oldest !== undefined && this.buckets.size > MOST_BUCKETS) {
      this.buckets.delete(oldest);
    }
  }
}
