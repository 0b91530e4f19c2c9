/**
 * Token bucket that refills at a constant rate; each request takes one token. Pure functions; callers pass the time.
 */
import type {MonotonicMs} from 'stallpaddle';

/** State of a bucket at one time. */
export interface LimitBucket {
  readonly at: MonotonicMs;
  /** Negative while tokens that were taken in advance have not been refilled. */
  readonly tokens: number;
}

/** Capacity and refill rate of a bucket. */
export interface LimitTerms {
  /** Maximum number of tokens. */
  readonly capacity: number;
  readonly ratePerSecond: number;
}

/** Outcome of taking a token. */
export type BucketAnswer =
  | {
      readonly bucket: LimitBucket;
      readonly kind: 'taken';
      /** Time until the token is refilled, in milliseconds; 0 if it was available. */
      readonly waitMs: number;
    }
  | {readonly bucket: LimitBucket; readonly kind: 'empty'; readonly retryAfterMs: number};

const SECOND_MS = 1_000;

/** Tolerance for rounding errors, in tokens. */
const ROUNDING = 1e-9;

/**
 * Refills a bucket up to the current time.
 *
 * @param bucket the bucket at an earlier time
 * @param terms its capacity and rate
 * @param now the current time
 */
export function filledBucket(
  {at, tokens}: LimitBucket,
  {capacity, ratePerSecond}: LimitTerms,
  now: MonotonicMs,
): LimitBucket {
  const filled = tokens + (Math.max(0, now - at) / SECOND_MS) * ratePerSecond;
  return {at: now, tokens: Math.min(capacity, filled)};
}

/**
 * Takes one token.
 *
 * @param bucket the bucket at an earlier time
 * @param terms its capacity and rate
 * @param now the current time
 * @param aheadMs how far in advance a token may be taken, in milliseconds
 */
export function takeToken(
  bucket: LimitBucket,
  terms: LimitTerms,
  now: MonotonicMs,
  aheadMs = 0,
): BucketAnswer {
  const filled = filledBucket(bucket, terms, now);
  const missing = 1 - ROUNDING - filled.tokens;
  const waitMs = missing <= 0 ? 0 : Math.ceil((missing / terms.ratePerSecond) * SECOND_MS);
  return waitMs <= aheadMs
    ? {bucket: {at: now, tokens: filled.tokens - 1}, kind: 'taken', waitMs}
    : {bucket: filled, kind: 'empty', retryAfterMs: waitMs};
}

/**
 * Returns an unused token to a bucket.
 *
 * @param bucket the bucket
 * @param terms its capacity and rate
 */
export function returnToken({at, tokens}: LimitBucket, {capacity}: LimitTerms): LimitBucket {
  return {at, tokens: Math.min(capacity, tokens + 1)};
}
