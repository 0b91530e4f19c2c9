/**
 * A customer's limit over a fleet of VMs: the owner neither exceeds it nor refuses requests within it; local shares do
 * refuse some.
 */
import fc from 'fast-check';
import {type Random, seededRandom} from 'stallpaddle';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {RateLimit} from '../../LimitTypes';

import {LimitOwnerBuckets} from '../../LimitOwnerBuckets';
import {limitOwnerCandidates, limitOwners} from '../../LimitOwners';
import {LimitShare} from '../../LimitShare';

/** Length of the sliding window in which grants are counted, in milliseconds. */
const WINDOW_MS = 5_000;
/** Allowed excess over the limit in one window: this factor, plus some requests. */
const EXCESS = 1.1;
const SLACK_REQUESTS = 20;
const LENGTH_MS = 30_000;

function limitOf(ratePerSecond: number): RateLimit {
  return {burst: ratePerSecond, customer: 'c', ratePerSecond};
}

function maxInWindow({burst, ratePerSecond}: RateLimit): number {
  return (ratePerSecond * (WINDOW_MS / 1_000) + burst) * EXCESS + SLACK_REQUESTS;
}

/** Maximum number of times that lie in one window. */
function busiestWindow(times: readonly number[]): number {
  let from = 0;
  let max = 0;
  times.forEach((at, index) => {
    while (at - times[from]! > WINDOW_MS) {
      from++;
    }
    max = Math.max(max, index - from + 1);
  });
  return max;
}

/** Arrival times of a Poisson process. */
function arrivals(perSecond: number, random: Random): readonly number[] {
  const times: number[] = [];
  for (let at = 0; at < LENGTH_MS; at += (-Math.log(1 - random()) / perSecond) * 1_000) {
    times.push(at);
  }
  return times.slice(1);
}

/** Times at which granted requests run, in order; the owner may change between requests. */
function grantsOf(
  limit: RateLimit,
  times: readonly number[],
  ownerAt: (at: number) => LimitOwnerBuckets,
): readonly number[] {
  const granted = times.flatMap((at) => {
    const answer = ownerAt(at).ask(limit, at);
    return answer.kind === 'granted' ? [at + answer.waitMs] : [];
  });
  return granted.sort((a, b) => a - b);
}

describe('LimitOwnerBuckets', () => {
  test(
    'grants no more than the limit in any window, for any load and any changes of the owner',
    async () => {
      const property = fc.property(
        fc.integer({max: 200, min: 1}),
        fc.double({max: 10, min: 0.5, noNaN: true}),
        fc.array(fc.integer({max: LENGTH_MS, min: 0}), {maxLength: 6}),
        fc.integer(),
        (rate, pressure, changes, seed) => {
          const limit = limitOf(rate);
          const random = seededRandom(seed);
          const owners = [...changes].sort((a, b) => a - b);
          let buckets = new LimitOwnerBuckets();
          const granted = grantsOf(limit, arrivals(rate * pressure, random), (at) => {
            while (owners[0] !== undefined && owners[0] <= at) {
              owners.shift();
              buckets = new LimitOwnerBuckets();
            }
            return buckets;
          });
          expect(busiestWindow(granted)).toBeLessThanOrEqual(maxInWindow(limit));
        },
      );
      await assertHistories('owners of a limit', property, 300);
    },
    fuzzTimeoutMs(),
  );

  test(
    'grants no more than the limit in any window when a deputy takes over and the owner returns',
    async () => {
      const property = fc.property(
        fc.integer({max: 200, min: 1}),
        fc.double({max: 10, min: 0.5, noNaN: true}),
        fc.integer({max: LENGTH_MS - 8_000, min: 0}),
        fc.integer({max: 5_000, min: 500}),
        fc.integer(),
        (rate, pressure, away, awayMs, seed) => {
          // An owner that was suspended, or whose VM was unlisted for a while, keeps its bucket.
          const limit = limitOf(rate);
          const owner = new LimitOwnerBuckets();
          const deputy = new LimitOwnerBuckets();
          const times = arrivals(rate * pressure, seededRandom(seed));
          const isAway = (at: number): boolean => at >= away && at < away + awayMs;
          const granted = grantsOf(limit, times, (at) => (isAway(at) ? deputy : owner));
          expect(busiestWindow(granted)).toBeLessThanOrEqual(maxInWindow(limit));
        },
      );
      await assertHistories('owners that return', property, 300);
    },
    fuzzTimeoutMs(),
  );

  test.each([0.2, 1, 5])('refuses no evenly spaced requests, %f per second', (rate) => {
    const limit = {...limitOf(rate), burst: 0};
    const buckets = new LimitOwnerBuckets();
    const gapMs = 1_000 / rate;
    const answers = Array.from({length: 100}, (_, at) => buckets.ask(limit, at * gapMs).kind);
    expect(answers.filter((kind) => kind === 'over')).toEqual([]);
  });

  test.each([2, 10, 67])('refuses no requests at six tenths of %i per second', (rate) => {
    const limit = limitOf(rate);
    const buckets = new LimitOwnerBuckets();
    const times = arrivals(rate * 0.6, seededRandom(rate));
    const refused = times.filter((at) => buckets.ask(limit, at).kind === 'over');
    expect(refused).toEqual([]);
  });

  test('returns the token of a request that no engine ran', () => {
    const limit = {...limitOf(1), burst: 0};
    const buckets = new LimitOwnerBuckets();
    while (buckets.ask(limit, 0).kind === 'granted');
    buckets.takeBack(limit);
    expect(buckets.ask(limit, 0).kind).toBe('granted');
  });
});

describe('LimitShare', () => {
  /** Fractions of a customer's requests that local shares refuse, and that the owner refuses. */
  function refusedFractions(
    vms: number,
    ratePerSecond: number,
    use: number,
  ): Readonly<Record<'owner' | 'share', number>> {
    const limit = limitOf(ratePerSecond);
    const random = seededRandom(vms * ratePerSecond);
    const times = arrivals(ratePerSecond * use, random);
    const buckets = new LimitOwnerBuckets();
    const shares = Array.from({length: vms}, () => new LimitShare());
    let owner = 0;
    let share = 0;
    for (const at of times) {
      const vm = shares[Math.floor(random() * vms)]!;
      owner += Number(buckets.ask(limit, at).kind === 'over');
      share += Number(vm.ask(limit, vms, at).kind === 'over');
    }
    return {owner: owner / times.length, share: share / times.length};
  }

  test.each([
    [66, 67],
    [330, 400],
    [1_000, 1_000],
  ])(
    'at %i VMs, %i requests per second: local shares refuse what the owner grants',
    (vms, rate) => {
      const {owner, share} = refusedFractions(vms, rate, 0.8);
      expect(owner).toBe(0);
      expect(share).toBeGreaterThan(0.1);
    },
  );

  test('starts with an empty bucket for a customer that was over its limit by the owner’s last answer', () => {
    const share = new LimitShare();
    share.note('c', {kind: 'over', retryAfterMs: 1});
    expect(share.ask(limitOf(10), 5, 0)).toMatchObject({kind: 'over', retryAfterMs: 500});
    expect(share.ask(limitOf(10), 5, 500).kind).toBe('granted');
  });

  // Guards against shares that add a burst to what an owner grants, in the second outage of several.
  test('saves nothing up between two outages for a customer that uses its limit', () => {
    const share = new LimitShare();
    share.note('c', {isCalm: true, kind: 'granted', waitMs: 0});
    expect(share.ask(limitOf(10), 5, 0).kind).toBe('granted');
    share.note('c', {isCalm: false, kind: 'granted', waitMs: 0});
    expect(share.ask(limitOf(10), 5, 20_000)).toMatchObject({kind: 'over', retryAfterMs: 500});
  });
});

describe('limitOwners', () => {
  const VMS = Array.from({length: 56}, (_, at) => `10.1.0.${at}`);

  test('spreads customers over few VMs, and moves only those of a lost one', () => {
    const candidates = limitOwnerCandidates(VMS);
    expect(candidates).toHaveLength(7);
    const [lost] = candidates;
    const after = candidates.filter((vm) => vm !== lost);
    for (let customer = 0; customer < 200; customer++) {
      const [before, next] = limitOwners(`c${customer}`, candidates);
      expect(limitOwners(`c${customer}`, after)[0]).toBe(before === lost ? next : before);
    }
  });

  test('selects nearly the same VMs when VMs are added', () => {
    const before = new Set(limitOwnerCandidates(VMS));
    const after = limitOwnerCandidates([...VMS, '10.2.0.1', '10.2.0.2']);
    expect(after.filter((vm) => !before.has(vm)).length).toBeLessThanOrEqual(2);
  });
});
