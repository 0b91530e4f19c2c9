/** Guards against a process that stops and accepts requests that it can't finish, or refuses those that it can. */
import {expect, test} from 'vitest';

import {NodeRunTimes} from '../../NodeRunTimes';

const MINUTE_MS = 60_000;

function noteAll(times: NodeRunTimes, from: number, longestMs: number): void {
  for (let at = 1; at <= 20; at++) {
    times.note('r', (longestMs * at) / 20, from + at);
  }
}

test('expects no more than the longest request takes with a margin, nor more than the limit', () => {
  const times = new NodeRunTimes();
  expect(times.longestMs('r', 5_000)).toBeUndefined();
  noteAll(times, 0, 2_000);
  expect(times.longestMs('r', 5_000)).toBe(2_500);
  expect(times.longestMs('r', 1_000)).toBe(1_000);
  expect(times.longestMs('other', 5_000)).toBeUndefined();
});

test('forgets long requests after two periods, not after one', () => {
  const times = new NodeRunTimes();
  noteAll(times, 0, 2_000);
  noteAll(times, MINUTE_MS, 1_000);
  expect(times.longestMs('r', 5_000)).toBe(2_500);
  noteAll(times, 2 * MINUTE_MS + 100, 1_000);
  expect(times.longestMs('r', 5_000)).toBe(1_250);
});
