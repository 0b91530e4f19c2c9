import {FIRST_QUARANTINE_MS, QUARANTINE_LEVEL} from 'stallpaddle-fleet';
import {describe, expect, test} from 'vitest';

/**
 * When an item that may have ended engines runs once more.
 */
import {nextTrial, trialPauseMs} from '../../JobsTrial';

describe('nextTrial', () => {
  test('waits longer after each end, and never longer than a request is held', () => {
    const pauses = [0, 1, 2, 3, 9].map((more) => trialPauseMs(QUARANTINE_LEVEL + more));
    expect(pauses).toEqual([3_000, 15_000, 75_000, 375_000, FIRST_QUARANTINE_MS]);
  });

  test('stays due while no other engine ends, and begins to wait anew with the next end', () => {
    const first = nextTrial(undefined, 2, 100);
    expect(first).toEqual({at: 3_100, level: 2});
    expect(nextTrial(first, 2, 9_000)).toBe(first);
    expect(nextTrial(first, 3, 9_000)).toEqual({at: 24_000, level: 3});
  });
});
