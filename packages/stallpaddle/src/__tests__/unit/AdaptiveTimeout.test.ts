/**
 * The timeout stays within its bounds and follows the observed durations.
 */
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';

import {AdaptiveTimeout} from '../../AdaptiveTimeout';

const BOUNDS = {initialMeanMs: 70, maxMs: 250, minMs: 30};
/** Tolerance for floating-point rounding. */
const ROUNDING = 1e-9;

describe('AdaptiveTimeout', () => {
  test('is the upper bound until the first observation', () => {
    const timeout = new AdaptiveTimeout(BOUNDS);
    expect([timeout.timeoutMs, timeout.meanMs]).toEqual([250, 70]);
  });

  test('stays within its bounds, and its mean within the range of observations', () => {
    fc.assert(
      fc.property(fc.array(fc.double({max: 1_000, min: 0, noNaN: true}), {minLength: 1}), (all) => {
        const timeout = new AdaptiveTimeout(BOUNDS);
        all.forEach((ms) => timeout.observe(ms));
        expect(timeout.timeoutMs).toBeGreaterThanOrEqual(BOUNDS.minMs);
        expect(timeout.timeoutMs).toBeLessThanOrEqual(BOUNDS.maxMs);
        expect(timeout.meanMs).toBeGreaterThanOrEqual(Math.min(...all) - ROUNDING);
        expect(timeout.meanMs).toBeLessThanOrEqual(Math.max(...all) + ROUNDING);
      }),
    );
  });

  test('adapts to changed durations within 50 observations', () => {
    const timeout = new AdaptiveTimeout(BOUNDS);
    Array.from({length: 50}, () => timeout.observe(10));
    expect(timeout.timeoutMs).toBe(BOUNDS.minMs);
    Array.from({length: 50}, () => timeout.observe(100));
    expect(timeout.meanMs).toBeGreaterThan(95);
    expect(timeout.timeoutMs).toBeGreaterThan(100);
  });
});
