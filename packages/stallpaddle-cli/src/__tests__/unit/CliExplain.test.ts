/**
 * One time line over several logs.
 */
import {describe, expect, test} from 'vitest';

import {describeLine, findLines} from '../../CliExplain';

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

describe('findLines', () => {
  test('gathers what tells of an id, oldest first, and passes over everything else', async () => {
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
