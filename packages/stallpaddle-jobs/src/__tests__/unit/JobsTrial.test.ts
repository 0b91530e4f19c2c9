/** Timing of runs of items during whose begin engines ended, and of items with quarantined parts. */
import {describe, expect, test} from 'vitest';

import {
  ENDED_ENGINE_DELAY_MS,
  MAX_PARTS_WAIT_MS,
  nextRunDelayMs,
  PartsTrials,
} from '../../JobsTrial';

/** Interval between checks of a held item, in milliseconds. */
const CHECK_MS = 1_000;

describe('nextRunDelayMs', () => {
  // Guards against sound items that aren't placed for minutes after a burst of crashes.
  test('is 0 after the first engine that ends, and the same after each later one, however many ended', () => {
    const delays = [0, 1, 2, 3, 4, 12].map(nextRunDelayMs);
    expect(delays).toEqual([0, 0, ...[2, 3, 4, 12].map(() => ENDED_ENGINE_DELAY_MS)]);
  });
});

describe('PartsTrials', () => {
  /** Time until a trial is due for items that check a group each second. */
  function waitMs(trials: PartsTrials, group: string, from: number): number {
    let now = from;
    while (!trials.isDue(group, now) && now - from <= MAX_PARTS_WAIT_MS) {
      now += CHECK_MS;
    }
    return now - from;
  }

  test('let one item run when the wait is over, and the next one as much later', () => {
    const trials = new PartsTrials();
    expect(waitMs(trials, 'a', 0)).toBe(MAX_PARTS_WAIT_MS);
    trials.noteTrial('a', MAX_PARTS_WAIT_MS);
    expect(waitMs(trials, 'a', MAX_PARTS_WAIT_MS)).toBe(MAX_PARTS_WAIT_MS);
  });

  test('wait for each group by itself, and anew for one that was released meanwhile', () => {
    const trials = new PartsTrials();
    expect(waitMs(trials, 'a', 0)).toBe(MAX_PARTS_WAIT_MS);
    expect(trials.isDue('b', MAX_PARTS_WAIT_MS)).toBe(false);
    expect(waitMs(trials, 'a', 10 * MAX_PARTS_WAIT_MS)).toBe(MAX_PARTS_WAIT_MS);
  });
});
