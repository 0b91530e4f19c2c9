/**
 * The token bucket, for any gaps between requests.
 */
import fc from 'fast-check';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {returnToken, takeToken} from '../../LimitBucket';

/** Capacity of the tested buckets, in seconds of their rate. */
const BURST_SECONDS = 2;

describe('takeToken', () => {
  test(
    'never grants more than the rate and one burst',
    async () => {
      const property = fc.property(
        fc.array(fc.nat({max: 400}), {maxLength: 80}),
        fc.integer({max: 20, min: 1}),
        (gaps, rate) => {
          const terms = {capacity: rate * BURST_SECONDS, ratePerSecond: rate};
          let bucket = {at: 0, tokens: terms.capacity};
          let granted = 0;
          let now = 0;
          for (const gap of gaps) {
            now += gap;
            const answer = takeToken(bucket, terms, now);
            if (answer.kind === 'taken') {
              granted++;
            } else {
              // A caller that returns after the given time is served.
              const again = takeToken(answer.bucket, terms, now + answer.retryAfterMs);
              expect(again.kind).toBe('taken');
            }
            ({bucket} = answer);
          }
          expect(granted).toBeLessThanOrEqual(rate * BURST_SECONDS + (now / 1000) * rate + 1e-6);
        },
      );
      await assertHistories('token buckets', property, 500);
    },
    fuzzTimeoutMs(),
  );

  test('takes a token in advance, and never the same one twice', () => {
    const terms = {capacity: 2, ratePerSecond: 10};
    const first = takeToken({at: 0, tokens: 0}, terms, 0, 100);
    expect(first).toMatchObject({kind: 'taken', waitMs: 100});
    expect(takeToken(first.bucket, terms, 0, 100)).toMatchObject({
      kind: 'empty',
      retryAfterMs: 200,
    });
    expect(takeToken(first.bucket, terms, 100, 100)).toMatchObject({kind: 'taken', waitMs: 100});
  });

  test('returns an unused token, without exceeding the capacity', () => {
    const terms = {capacity: 2, ratePerSecond: 1};
    expect(returnToken({at: 0, tokens: -1}, terms).tokens).toBe(0);
    expect(returnToken({at: 0, tokens: 2}, terms).tokens).toBe(2);
  });
});
