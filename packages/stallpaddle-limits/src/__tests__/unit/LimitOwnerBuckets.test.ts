/**
 * A customer's limit over a fleet of VMs: the owner of the moment never grants more than the limit, and refuses nobody within it;
 * parts of the limit at each VM do.
 */
import fc from 'fast-check';
import {type Random, seededRandom} from 'stallpaddle';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {RateLimit} from '../../LimitTypes';

import {LimitOwnerBuckets} from '../../LimitOwnerBuckets';
import {limitOwnerCandidates, limitOwners} from '../../LimitOwners';
import {LimitShare} from '../../LimitShare';

/** Any span of this length is counted, in milliseconds. */
const WINDOW_MS = 5_000;
/** What may run above the limit in a span: a tenth, and some requests. */
const EXCESS = 1.1;
const SLACK_REQUESTS = 20;
const LENGTH_MS = 30_000;

function limitOf(ratePerSecond: number): RateLimit {
  return {burst: ratePerSecond, customer: 'c', ratePerSecond};
}

function mostInWindow({burst, ratePerSecond}: RateLimit): number {
  return (ratePerSecond * (WINDOW_MS / 1_000) + burst) * EXCESS + SLACK_REQUESTS;
}

/** Most of some moments that lie in one span. */
function busiestWindow(moments: readonly number[]): number {
  let from = 0;
  let most = 0;
  moments.forEach((at, index) => {
    while (at - moments[from]! > WINDOW_MS) {
      from++;
    }
    most = Math.max(most, index - from + 1);
  });
  return most;
}

/** Moments of requests that come by chance, so many a second. */
function arrivals(perSecond: number, random: Random): readonly number[] {
  const moments: number[] = [];
  for (let at = 0; at < LENGTH_MS; at += (-Math.log(1 - random()) / perSecond) * 1_000) {
    moments.push(at);
  }
  return moments.slice(1);
}

/** Moments at which requests run that come at some moments, in order; who counts may change. */
function grantsOf(
  limit: RateLimit,
  moments: readonly number[],
  keeperAt: (at: number) => LimitOwnerBuckets,
): readonly number[] {
  const granted = moments.flatMap((at) => {
    const answer = keeperAt(at).ask(limit, at);
    return answer.kind === 'granted' ? [at + answer.waitMs] : [];
  });
  return granted.sort((a, b) => a - b);
}

describe('LimitOwnerBuckets', () => {
  test(
    'grants no more than the limit in any span, whatever comes and however often the owner changes',
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
          let keeper = new LimitOwnerBuckets();
          const granted = grantsOf(limit, arrivals(rate * pressure, random), (at) => {
            while (owners[0] !== undefined && owners[0] <= at) {
              owners.shift();
              keeper = new LimitOwnerBuckets();
            }
            return keeper;
          });
          expect(busiestWindow(granted)).toBeLessThanOrEqual(mostInWindow(limit));
        },
      );
      await assertHistories('owners of a limit', property, 300);
    },
    fuzzTimeoutMs(),
  );

  test(
    'grants no more than the limit in any span when another owner stands in, and the first one comes back',
    async () => {
      const property = fc.property(
        fc.integer({max: 200, min: 1}),
        fc.double({max: 10, min: 0.5, noNaN: true}),
        fc.integer({max: LENGTH_MS - 8_000, min: 0}),
        fc.integer({max: 5_000, min: 500}),
        fc.integer(),
        (rate, pressure, away, awayMs, seed) => {
          // An owner that was suspended, or whose VM was out of the list for a while, keeps its counts of before.
          const limit = limitOf(rate);
          const owner = new LimitOwnerBuckets();
          const standIn = new LimitOwnerBuckets();
          const moments = arrivals(rate * pressure, seededRandom(seed));
          const isAway = (at: number): boolean => at >= away && at < away + awayMs;
          const granted = grantsOf(limit, moments, (at) => (isAway(at) ? standIn : owner));
          expect(busiestWindow(granted)).toBeLessThanOrEqual(mostInWindow(limit));
        },
      );
      await assertHistories('owners that come back', property, 300);
    },
    fuzzTimeoutMs(),
  );

  test.each([0.2, 1, 5])('refuses nobody who comes at even times, %f a second', (rate) => {
    const limit = {...limitOf(rate), burst: 0};
    const keeper = new LimitOwnerBuckets();
    const gapMs = 1_000 / rate;
    const answers = Array.from({length: 100}, (_, at) => keeper.ask(limit, at * gapMs).kind);
    expect(answers.filter((kind) => kind === 'over')).toEqual([]);
  });

  test.each([2, 10, 67])('refuses nobody who uses six tenths of %i a second', (rate) => {
    const limit = limitOf(rate);
    const keeper = new LimitOwnerBuckets();
    const moments = arrivals(rate * 0.6, seededRandom(rate));
    const refused = moments.filter((at) => keeper.ask(limit, at).kind === 'over');
    expect(refused).toEqual([]);
  });

  test('takes back what no engine ran', () => {
    const limit = {...limitOf(1), burst: 0};
    const keeper = new LimitOwnerBuckets();
    while (keeper.ask(limit, 0).kind === 'granted');
    keeper.takeBack(limit);
    expect(keeper.ask(limit, 0).kind).toBe('granted');
  });
});

describe('LimitShare', () => {
  /** Part of a customer's requests that VMs refuse by their own parts of its limit, and by the owner's count. */
  function refusedParts(
    vms: number,
    ratePerSecond: number,
    use: number,
  ): Readonly<Record<'owner' | 'share', number>> {
    const limit = limitOf(ratePerSecond);
    const random = seededRandom(vms * ratePerSecond);
    const moments = arrivals(ratePerSecond * use, random);
    const keeper = new LimitOwnerBuckets();
    const shares = Array.from({length: vms}, () => new LimitShare());
    let owner = 0;
    let share = 0;
    for (const at of moments) {
      const vm = shares[Math.floor(random() * vms)]!;
      owner += Number(keeper.ask(limit, at).kind === 'over');
      share += Number(vm.ask(limit, vms, at).kind === 'over');
    }
    return {owner: owner / moments.length, share: share / moments.length};
  }

  test.each([
    [66, 67],
    [330, 400],
    [1_000, 1_000],
  ])('at %i VMs, %i requests a second: parts refuse what the owner has room for', (vms, rate) => {
    const {owner, share} = refusedParts(vms, rate, 0.8);
    expect(owner).toBe(0);
    expect(share).toBeGreaterThan(0.1);
  });

  test('grants nothing at once to whoever used most of its limit when the owner was last heard', () => {
    const share = new LimitShare();
    share.note('c', {kind: 'over', retryAfterMs: 1});
    expect(share.ask(limitOf(10), 5, 0)).toMatchObject({kind: 'over', retryAfterMs: 500});
    expect(share.ask(limitOf(10), 5, 500).kind).toBe('granted');
  });
});

describe('limitOwners', () => {
  const VMS = Array.from({length: 56}, (_, at) => `10.1.0.${at}`);

  test('spreads customers over few VMs, and moves those of a lost one only', () => {
    const keepers = limitOwnerCandidates(VMS);
    expect(keepers).toHaveLength(7);
    const [lost] = keepers;
    const after = keepers.filter((vm) => vm !== lost);
    for (let customer = 0; customer < 200; customer++) {
      const [before, next] = limitOwners(`c${customer}`, keepers);
      expect(limitOwners(`c${customer}`, after)[0]).toBe(before === lost ? next : before);
    }
  });

  test('keeps nearly the same VMs when others come', () => {
    const before = new Set(limitOwnerCandidates(VMS));
    const after = limitOwnerCandidates([...VMS, '10.2.0.1', '10.2.0.2']);
    expect(after.filter((vm) => !before.has(vm)).length).toBeLessThanOrEqual(2);
  });
});
