/**
 * Guards the time line that `explain` builds from several logs against missing, foreign or misordered lines.
 */
import {describe, expect, test} from 'vitest';

import {describeLine, digestsOf, findLines} from '../../CliExplain';

async function* linesOf(...lines: readonly string[]): AsyncGenerator<string> {
  yield* lines;
}

function lineOf(time: string, fields: Readonly<Record<string, unknown>>): string {
  const at = `2026-12-02T10:00:${time}.000Z`;
  return JSON.stringify({
    level: 'info',
    message: 'placed',
    part: 'entry',
    time: at,
    vm: 'v',
    ...fields,
  });
}

describe('digestsOf', () => {
  test('returns the digest that leads to the attempts of the request under other ids', async () => {
    const lines = [
      lineOf('01', {digest: 'd', engine: 'e1', id: 'first'}),
      lineOf('02', {id: 'q', request: 'd'}),
      lineOf('03', {digest: 'd', held: true, id: 'q'}),
      lineOf('04', {digest: 'other', id: 'x'}),
    ];
    const digests = digestsOf(await findLines(linesOf(...lines), 'q'));
    expect(digests).toEqual(['d']);
    const all = await findLines(linesOf(...lines), 'q', ...digests);
    expect(all.map(({time}) => time.slice(17, 19))).toEqual(['01', '02', '03']);
    expect(describeLine(all[0]!)).toContain('id=first');
  });
});

describe('findLines', () => {
  test('finds the lines that mention an id, oldest first, and skips all others', async () => {
    const lines = linesOf(
      lineOf('03', {engine: 'e2', id: 'q'}),
      'not a line of ours q',
      lineOf('02', {id: 'other'}),
      `  1.5 vm-1 ${lineOf('01', {id: 'q'})}`,
      lineOf('04', {id: 'item', job: 'q'}),
      '{"id":"q", cut short',
    );
    const found = await findLines(lines, 'q');
    expect(found.map(({time}) => time.slice(17, 19))).toEqual(['01', '03', '04']);
    expect(describeLine(found[1]!)).toBe('10:00:03.000 v/entry placed engine=e2');
  });
});
