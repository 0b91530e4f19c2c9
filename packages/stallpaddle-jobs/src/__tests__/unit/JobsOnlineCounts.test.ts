/**
 * Counts of online requests: any order of words ends with each sender's last one.
 */
import type {Clock} from 'stallpaddle';

import fc from 'fast-check';
import {systemClock} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import {ONLINE_COUNTS_TTL_MS} from '../../JobsConstants';
import {JobsOnlineCounts} from '../../JobsOnlineCounts';

interface Word {
  readonly own: Readonly<Record<string, number>>;
  readonly sender: string;
  readonly sequence: number;
}

const WORDS = fc.array(
  fc.record({
    own: fc.dictionary(fc.constantFrom('e0', 'e1', 'e2'), fc.integer({max: 9, min: 1})),
    sender: fc.constantFrom('a', 'b', 'c'),
    sequence: fc.nat(20),
  }),
);

/** What the words come to, worked out the plain way. */
function sumOf(words: readonly Word[], except: string): Record<string, number> {
  const last = new Map<string, Word>();
  for (const word of words) {
    if (word.sequence > (last.get(word.sender)?.sequence ?? -1)) {
      last.set(word.sender, word);
    }
  }
  const sum: Record<string, number> = {};
  for (const {own, sender} of last.values()) {
    Object.entries(sender === except ? {} : own).forEach(([engine, count]) => {
      sum[engine] = (sum[engine] ?? 0) + count;
    });
  }
  return sum;
}

describe('JobsOnlineCounts', () => {
  test('counts the last word of every sender but one', () => {
    fc.assert(
      fc.property(WORDS, fc.constantFrom('a', 'b', 'nobody'), (words, except) => {
        const online = new JobsOnlineCounts(systemClock);
        words.forEach(({own, sender, sequence}) => online.update(sender, sequence, own));
        expect(online.totals(except)).toEqual(sumOf(words, except));
      }),
    );
  });

  test('has another version exactly when a sender’s counts change', () => {
    const online = new JobsOnlineCounts(systemClock);
    const words: Word['own'][] = [{e0: 1}, {e0: 1}, {e0: 2}, {e0: 2, e1: 1}, {e0: 2}];
    const versions = words.map((own, at) => {
      online.update('a', at, own);
      return online.version;
    });
    expect(versions).toEqual([1, 1, 2, 3, 4]);
  });

  test('counts unknown requests apart, the latest in place of any before', () => {
    const online = new JobsOnlineCounts(systemClock);
    online.update('a', 7, {e0: 1});
    online.setUnreported({e0: 5, e1: 2});
    online.setUnreported({e0: 3});
    expect([online.reported(), online.totals()]).toEqual([{e0: 1}, {e0: 4}]);
    // A survey that ends leaves nothing, and the next one begins anew.
    online.setUnreported({});
    online.setUnreported({e1: 1});
    expect(online.totals()).toEqual({e0: 1, e1: 1});
  });

  test('forgets a sender that has fallen silent', () => {
    let now = 0;
    const clock: Clock = {...systemClock, monotonicMs: () => now};
    const online = new JobsOnlineCounts(clock);
    online.update('a', 1, {e0: 3});
    now = ONLINE_COUNTS_TTL_MS - 1;
    expect(online.totals()).toEqual({e0: 3});
    now = ONLINE_COUNTS_TTL_MS + 1;
    expect(online.totals()).toEqual({});
    expect(online.version).toBe(2);
  });
});
