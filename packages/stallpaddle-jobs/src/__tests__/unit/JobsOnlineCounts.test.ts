/** Counts of online requests: only the latest report of each sender counts, in any order of arrival. */
import type {Clock} from 'stallpaddle';

import fc from 'fast-check';
import {systemClock} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import {ONLINE_COUNTS_TTL_MS} from '../../JobsConstants';
import {JobsOnlineCounts} from '../../JobsOnlineCounts';

interface CountsReport {
  readonly own: Readonly<Record<string, number>>;
  readonly sender: string;
  readonly sequence: number;
}

const REPORTS = fc.array(
  fc.record({
    own: fc.dictionary(fc.constantFrom('e0', 'e1', 'e2'), fc.integer({max: 9, min: 1})),
    sender: fc.constantFrom('a', 'b', 'c'),
    sequence: fc.nat(20),
  }),
);

/** Computes the totals from scratch. */
function sumOf(reports: readonly CountsReport[], except: string): Record<string, number> {
  const last = new Map<string, CountsReport>();
  for (const report of reports) {
    if (report.sequence > (last.get(report.sender)?.sequence ?? -1)) {
      last.set(report.sender, report);
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
  test('sums the latest report of every sender except one', () => {
    fc.assert(
      fc.property(REPORTS, fc.constantFrom('a', 'b', 'nobody'), (reports, except) => {
        const online = new JobsOnlineCounts(systemClock);
        reports.forEach(({own, sender, sequence}) => online.update(sender, sequence, own));
        const sum = sumOf(reports, except);
        expect(online.totals(except)).toEqual(sum);
        expect(online.othersAt(['e0', 'e9'], except)).toEqual({e0: sum.e0 ?? 0, e9: 0});
      }),
    );
  });

  test('changes its version exactly when the counts of a sender change', () => {
    const online = new JobsOnlineCounts(systemClock);
    const reports: CountsReport['own'][] = [{e0: 1}, {e0: 1}, {e0: 2}, {e0: 2, e1: 1}, {e0: 2}];
    const versions = reports.map((own, at) => {
      online.update('a', at, own);
      return online.version;
    });
    expect(versions).toEqual([1, 1, 2, 3, 4]);
  });

  test('counts unreported requests separately and replaces earlier counts of them', () => {
    const online = new JobsOnlineCounts(systemClock);
    online.update('a', 7, {e0: 1});
    online.setUnreported({e0: 5, e1: 2});
    online.setUnreported({e0: 3});
    expect([online.reported(), online.totals()]).toEqual([{e0: 1}, {e0: 4}]);
    // A survey that ends clears its counts, and the next one starts from zero.
    online.setUnreported({});
    online.setUnreported({e1: 1});
    expect(online.totals()).toEqual({e0: 1, e1: 1});
  });

  test('removes the counts of a sender that no longer reports', () => {
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
