/**
 * The own headers do what those of `fetch` do, whatever is done to them.
 */
import fc from 'fast-check';
import {expect, test} from 'vitest';

import {RpcHeaders} from '../../RpcHeaders';

type Step =
  | {readonly kind: 'append' | 'set'; readonly name: string; readonly value: string}
  | {readonly kind: 'delete'; readonly name: string};

const name = fc.constantFrom(
  'a',
  'A',
  'b-c',
  'B-C',
  'Set-Cookie',
  'set-cookie',
  'x_1',
  '',
  'a b',
  'é',
);
const value = fc.oneof(
  fc.constantFrom('', ' ', ' x ', '\tv\t', 'a, b', 'é', 'a\nb', '\r\n', '€', 'a\0b'),
  fc.string({maxLength: 8}),
);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({kind: fc.constantFrom('append' as const, 'set' as const), name, value}),
  fc.record({kind: fc.constant('delete' as const), name}),
);

/** Whether it worked. */
function tried(work: () => void): boolean {
  try {
    work();
    return true;
  } catch (err) {
    expect(err).toBeInstanceOf(TypeError);
    return false;
  }
}

function take(headers: Headers | RpcHeaders, change: Step): boolean {
  return tried(() =>
    change.kind === 'delete'
      ? headers.delete(change.name)
      : headers[change.kind](change.name, change.value),
  );
}

function seen(headers: Headers | RpcHeaders): unknown {
  const each: [string, string][] = [];
  headers.forEach((text: string, key: string) => each.push([key, text]));
  return {
    all: [...headers],
    cookies: headers.getSetCookie(),
    each,
    found: ['A', 'b-c', 'SET-COOKIE', 'x_1', 'none'].map((key) => [
      headers.has(key),
      headers.get(key),
    ]),
    keys: [...headers.keys()],
    values: [...headers.values()],
  };
}

test('does what the headers of fetch do', () => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 12}), (steps) => {
      const own = new RpcHeaders();
      const model = new Headers();
      for (const change of steps) {
        expect(take(own, change)).toBe(take(model, change));
      }
      expect(seen(own)).toEqual(seen(model));
      expect(seen(new RpcHeaders(own))).toEqual(seen(new Headers(model)));
    }),
    {numRuns: 500},
  );
});

test('is made from records and pairs', () => {
  const record = {a: '1', B: '2'};
  const pairs: [string, string][] = [
    ['a', '1'],
    ['A', '2'],
  ];
  expect(seen(new RpcHeaders(record))).toEqual(seen(new Headers(record)));
  expect(seen(new RpcHeaders(pairs))).toEqual(seen(new Headers(pairs)));
});
