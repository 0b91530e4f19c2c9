/**
 * Guards against events that are split, lost or altered at chunk boundaries.
 */
import fc from 'fast-check';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {EventSplitter, isNextEvent} from '../../RelayEvents';

describe('EventSplitter', () => {
  test('yields the same events for any chunk boundaries', async () => {
    const texts = fc.array(fc.stringMatching(/^[a-z äé]{0,12}$/), {maxLength: 8, minLength: 1});
    const cuts = fc.array(fc.integer({max: 9, min: 1}), {maxLength: 40, minLength: 1});
    const ends = fc.constantFrom('\n', '\r\n');
    const property = fc.property(texts, cuts, ends, (all, sizes, end) => {
      const raw = all.map((text, at) => `id: ${at}${end}data: ${text}${end}${end}`);
      const bytes = Buffer.from(raw.join(''));
      const splitter = new EventSplitter();
      const seen = [];
      for (let from = 0, turn = 0; from < bytes.length; turn++) {
        const size = sizes[turn % sizes.length]!;
        seen.push(...splitter.push(bytes.subarray(from, from + size)));
        from += size;
      }
      expect(seen.map(({data}) => data)).toEqual(all);
      expect(seen.map(({id}) => id)).toEqual(all.map((_, at) => String(at)));
      expect(Buffer.concat(seen.map((event) => event.raw))).toEqual(bytes);
      expect(splitter.pending).toBe(0);
    });
    await assertHistories('cuts of a stream', property, 300);
  });

  test('buffers an incomplete event', () => {
    const splitter = new EventSplitter();
    expect(splitter.push(Buffer.from('id: 1\ndata: a\n'))).toEqual([]);
    expect(splitter.pending).toBeGreaterThan(0);
    expect(splitter.push(Buffer.from('\nid'))).toMatchObject([{data: 'a', id: '1'}]);
  });

  // Guards against comments that count as events, and bytes between events that look like events.
  test.each(['\n', '\r\n'])('adds blocks without id and data to the next event', (end) => {
    const text = [
      ': ping',
      '',
      'no event',
      '',
      '',
      'id: 1',
      'data: a',
      '',
      ':',
      '',
      'data',
      '',
      '',
    ].join(end);
    for (const size of [1, 2, 3, 7, text.length]) {
      const splitter = new EventSplitter();
      const seen = [];
      for (let from = 0; from < text.length; from += size) {
        seen.push(...splitter.push(Buffer.from(text.slice(from, from + size))));
      }
      expect(seen.map(({data, id}) => [id, data])).toEqual([
        ['1', 'a'],
        [null, ''],
      ]);
      expect(Buffer.concat(seen.map(({raw}) => raw)).toString()).toBe(text);
    }
  });

  test('joins data lines and ignores other fields', () => {
    const [event] = new EventSplitter().push(Buffer.from('weights: 3\ndata: a\ndata:b\n: c\n\n'));
    expect(event).toMatchObject({data: 'a\nb', id: null});
  });
});

describe('isNextEvent', () => {
  test.each([
    [null, '7', true],
    ['7', '8', true],
    ['7', '7', false],
    ['7', '9', false],
    ['7', null, false],
  ])('after %s, event %s: %s', (last, next, expected) => {
    expect(isNextEvent(last, next)).toBe(expected);
  });
});
