/**
 * Limits: a token bucket for each customer and a budget for retries. Pure; times come from outside.
 */
import type {MonotonicMs} from 'stallpaddle';

/** A bucket that fills at a rate and is emptied by requests. */
export interface TokenBucket {
  readonly at: MonotonicMs;
  readonly tokens: number;
}

/** Outcome of asking a bucket. */
export type BucketAnswer =
  | {readonly bucket: TokenBucket; readonly kind: 'taken'}
  | {readonly kind: 'empty'; readonly retryAfterMs: number};

/** What sums of fractions may lack of a whole token. */
const ROUNDING = 1e-9;

/** Seconds of its rate that a bucket holds at most. */
const BURST_SECONDS = 2;

/**
 * Takes one token.
 *
 * @param bucket present bucket, or undefined for a full one
 * @param ratePerSecond tokens that come in a second
 * @param now monotonic time
 */
export function takeToken(
  bucket: TokenBucket | undefined,
  ratePerSecond: number,
  now: MonotonicMs,
): BucketAnswer {
  const capacity = Math.max(1, ratePerSecond * BURST_SECONDS);
  const filled =
    bucket === undefined
      ? capacity
      : Math.min(capacity, bucket.tokens + ((now - bucket.at) / 1000) * ratePerSecond);
  if (filled < 1 - ROUNDING) {
    return {kind: 'empty', retryAfterMs: Math.ceil(((1 - filled) / ratePerSecond) * 1000)};
  }
  return {bucket: {at: now, tokens: Math.max(0, filled - 1)}, kind: 'taken'};
}

/** Retries allowed so far; requests add to it, retries take from it. */
export interface RetryBudget {
  readonly tokens: number;
}

/** Retries that each request pays for. */
const RETRIES_PER_REQUEST = 0.1;
const MAX_RETRY_TOKENS = 10;

/** A full budget. */
export const FULL_RETRY_BUDGET: RetryBudget = {tokens: MAX_RETRY_TOKENS};

/**
 * Counts a first attempt.
 *
 * @param budget present budget
 */
export function countRequest(budget: RetryBudget): RetryBudget {
  return {tokens: Math.min(MAX_RETRY_TOKENS, budget.tokens + RETRIES_PER_REQUEST)};
}

/**
 * Takes one retry, or undefined when the budget is used up: retries then would only feed the
 * overload that made them.
 *
 * @param budget present budget
 */
export function takeRetry(budget: RetryBudget): RetryBudget | undefined {
  return budget.tokens >= 1 ? {tokens: budget.tokens - 1} : undefined;
}
