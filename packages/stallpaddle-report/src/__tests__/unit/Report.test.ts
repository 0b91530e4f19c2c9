/**
 * Days as the bench writes them: read whole or refused, their losses complete, their picture in proportion.
 */
import {describe, expect, test} from 'vitest';

import {drawWindows, lossesOf, readDays, ReportError} from '../..';

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
  test('reads an entry of the journal and the report of one day', () => {
    const entry = JSON.stringify({days: [dayOf(), dayOf({seed: 7})], site: 's'});
    expect(readDays(entry).map((day) => lossesOf(day).name)).toEqual(['s d', 's d --seed 7']);
    expect(readDays(JSON.stringify(dayOf()))).toHaveLength(1);
  });

  test('refuses what is neither', () => {
    expect(() => readDays('{"days":3}')).toThrow(ReportError);
    expect(() => readDays('{')).toThrow(SyntaxError);
  });

  test('losses and worth add up to one, the largest first', () => {
    const [day] = readDays(JSON.stringify(dayOf()));
    const {losses, worth} = lossesOf(day!);
    expect(losses.map(({cause}) => cause)).toEqual([
      'worst (40% earned)',
      'whole (90% earned)',
      'machines',
    ]);
    expect(worth + losses.reduce((sum, {share}) => sum + share, 0)).toBeCloseTo(1);
  });

  test('draws each stretch with heights in proportion to its requests', () => {
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
