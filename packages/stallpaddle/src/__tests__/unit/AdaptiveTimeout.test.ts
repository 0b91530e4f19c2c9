/**
 * The limit stays within its bounds, lies above what is usual, and follows a change of pace.
 */
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';

import {AdaptiveTimeout} from '../../AdaptiveTimeout';

const BOUNDS = {initialMeanMs: 70, maxMs: 250, minMs: 30};
/** Room for the rounding of floating-point numbers. */
const ROUNDING = 1e-9;

describe('LearnedLimit', () => {
  test('is its upper bound until something was observed', () => {
    const limit = new AdaptiveTimeout(BOUNDS);
    expect([limit.timeoutMs, limit.meanMs]).toEqual([250, 70]);
  });

  test('never leaves its bounds, and its mean never leaves what was observed', () => {
    fc.assert(
      fc.property(fc.array(fc.double({max: 1_000, min: 0, noNaN: true}), {minLength: 1}), (all) => {
        const limit = new AdaptiveTimeout(BOUNDS);
        all.forEach((ms) => limit.observe(ms));
        expect(limit.timeoutMs).toBeGreaterThanOrEqual(BOUNDS.minMs);
        expect(limit.timeoutMs).toBeLessThanOrEqual(BOUNDS.maxMs);
        expect(limit.meanMs).toBeGreaterThanOrEqual(Math.min(...all) - ROUNDING);
        expect(limit.meanMs).toBeLessThanOrEqual(Math.max(...all) + ROUNDING);
      }),
    );
  });

  test('follows a change of pace within some dozen observations', () => {
    const limit = new AdaptiveTimeout(BOUNDS);
    Array.from({length: 50}, () => limit.observe(10));
    expect(limit.timeoutMs).toBe(BOUNDS.minMs);
    Array.from({length: 50}, () => limit.observe(100));
    expect(limit.meanMs).toBeGreaterThan(95);
    expect(limit.timeoutMs).toBeGreaterThan(100);
  });
});
