/** Timing of trial runs of quarantined items. */
import {FIRST_QUARANTINE_MS, QUARANTINE_LEVEL} from 'stallpaddle-fleet';
import {describe, expect, test} from 'vitest';

import {nextTrial, trialDelayMs} from '../../JobsTrial';

describe('nextTrial', () => {
  test('increases the delay with each engine that ends, up to the quarantine of a request', () => {
    const pauses = [0, 1, 2, 3, 9].map((more) => trialDelayMs(QUARANTINE_LEVEL + more));
    expect(pauses).toEqual([3_000, 15_000, 75_000, 375_000, FIRST_QUARANTINE_MS]);
  });

  test('keeps the planned time while no other engine ends, and restarts the delay with the next one', () => {
    const first = nextTrial(undefined, 2, 100);
    expect(first).toEqual({at: 3_100, level: 2});
    expect(nextTrial(first, 2, 9_000)).toBe(first);
    expect(nextTrial(first, 3, 9_000)).toEqual({at: 24_000, level: 3});
  });
});
