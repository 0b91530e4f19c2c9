/**
 * Guards against misread files of the benchmark, incomplete losses and charts that are out of proportion.
 */
import {describe, expect, test} from 'vitest';

import {compareDays, drawPairs, drawWindows, lossesOf, readDays, ReportError} from '../..';

function dayOf(changes: object = {}): object {
  return {
    G: 0.61,
    name: 'd',
    parts: [
      ['whole', 0.5, 0.9],
      ['worst', 0.5, 0.4],
    ],
    prices: [
      ['machines', 10, 0.04],
      ['nothing', 0, 0],
    ],
    ...changes,
  };
}

describe('report', () => {
  test('reads a journal entry and the report of one day', () => {
    const entry = JSON.stringify({days: [dayOf(), dayOf({seed: 7})], site: 's'});
    expect(readDays(entry).map((day) => lossesOf(day).name)).toEqual(['s d', 's d --seed 7']);
    expect(readDays(JSON.stringify(dayOf()))).toHaveLength(1);
  });

  test('rejects files that are neither', () => {
    expect(() => readDays('{"days":3}')).toThrow(ReportError);
    expect(() => readDays('{')).toThrow(ReportError);
  });

  test('reads an entry whose last day has no seed', () => {
    const days = [dayOf({seed: 7}), dayOf({name: 'fresh', seed: null, windows: null})];
    const read = readDays(JSON.stringify({days, site: 's'}));
    expect(read.map((day) => lossesOf(day).name)).toEqual(['s d --seed 7', 's fresh']);
  });

  test('names the entry that contains no days', () => {
    const entry = JSON.stringify({cmd: 'hunt', days: null, id: 'be9c5ce7', site: null});
    expect(() => readDays(entry)).toThrow(/be9c5ce7 of a hunt/);
  });

  test('compares only the days that both versions played', () => {
    const before = [dayOf({name: 'a'}), dayOf({name: 'b'}), dayOf({name: 'c'})];
    const after = [dayOf({G: 0.66, name: 'a'}), dayOf({G: 0.68, name: 'b'}), dayOf({name: 'd'})];
    const daysOf = (days: readonly object[]) => readDays(JSON.stringify({days, site: 's'}));
    const {causes, pairs, worth} = compareDays(daysOf(before), daysOf(after));
    expect(pairs.map(({name}) => name)).toEqual(['s a', 's b']);
    expect(worth.mean).toBeCloseTo(0.06);
    expect(worth.spread).toBeCloseTo(Math.hypot(0.01, 0.01));
    expect(causes.every(({change}) => change.mean === 0)).toBe(true);
  });

  test('averages the runs of a day that was played more than once', () => {
    const days = (...worths: readonly number[]) =>
      readDays(JSON.stringify({days: worths.map((G) => dayOf({G})), site: 's'}));
    const {pairs, worth} = compareDays(days(0.5, 0.7), days(0.8));
    expect(pairs).toHaveLength(1);
    expect(worth.mean).toBeCloseTo(0.2);
    expect(worth.spread).toBe(0);
  });

  test('draws an increase to the right and a decrease to the left of the zero line', () => {
    const pairs = [
      {after: 0.8, before: 0.7, name: 'up'},
      {after: 0.6, before: 0.7, name: 'down'},
    ];
    const svg = drawPairs(pairs);
    const centre = 450;
    const [up, down] = [...svg.matchAll(/<rect x="([\d.]+)"/g)].map(([, x]) => Number(x));
    expect(up).toBe(centre);
    expect(down).toBeLessThan(centre);
  });

  test('sorts the losses, which add up to one with the worth', () => {
    const [day] = readDays(JSON.stringify(dayOf()));
    const {losses, worth} = lossesOf(day!);
    expect(losses.map(({cause}) => cause)).toEqual([
      'worst (40% earned)',
      'whole (90% earned)',
      'machines',
    ]);
    expect(worth + losses.reduce((sum, {share}) => sum + share, 0)).toBeCloseTo(1);
  });

  test('draws each window with heights in proportion to its requests', () => {
    const window = {failed: 0, in_aim: 30, late: 10, n: 40, name: '0', not_owed: 0, refused: 0};
    const svg = drawWindows('t < & u', [
      window,
      {...window, in_aim: 15, late: 5, n: 20, name: '2'},
    ]);
    expect(svg).toContain('>t &lt; &amp; u: requests');
    const heights = [...svg.matchAll(/<rect[^>]* height="([\d.]+)"/g)].map(([, text]) =>
      Number(text),
    );
    expect(heights).toEqual([135, 45, 0, 0, 67.5, 22.5, 0, 0]);
  });
});
