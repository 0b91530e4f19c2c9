/**
 * Answers as engines may send them, in pieces of any size, and answers that must not pass.
 */
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';

import {AnswerError, AnswerParser} from '../../RelayAnswerParser';

interface Parsed {
  readonly body: string;
  readonly isWhole: boolean;
  readonly parser: AnswerParser;
}

/** Feeds an answer in pieces that end at the given places. */
function parse(text: string, cuts: readonly number[] = [], isHeadOnly = false): Parsed {
  const bytes = Buffer.from(text, 'latin1');
  const parser = new AnswerParser(isHeadOnly);
  const places = [...new Set(cuts.map((cut) => cut % (bytes.length + 1)))].sort((a, b) => a - b);
  let body = '';
  let from = 0;
  for (const to of [...places, bytes.length]) {
    body += parser.push(bytes.subarray(from, to)).toString('latin1');
    from = to;
  }
  return {body, isWhole: parser.isWhole, parser};
}

function chunked(parts: readonly string[]): string {
  const chunks = parts.map((part) => `${part.length.toString(16)};x=1\r\n${part}\r\n`);
  return `${chunks.join('')}0\r\nTrailer: t\r\n\r\n`;
}

const HEAD =
  'HTTP/1.1 200 All right\r\nContent-Type: text/event-stream\r\nX-Two: a\r\nx-two:  b \r\n';

describe('AnswerParser', () => {
  test('reads a head', () => {
    const {parser} = parse(`${HEAD}Content-Length: 0\r\n\r\n`);
    expect(parser.isWhole).toBe(true);
    expect(parser.head).toEqual({
      headers: {'content-length': '0', 'content-type': 'text/event-stream', 'x-two': 'a, b'},
      rawHeaders: [
        'Content-Type',
        'text/event-stream',
        'X-Two',
        'a',
        'x-two',
        'b',
        'Content-Length',
        '0',
      ],
      status: 200,
      statusText: 'All right',
    });
  });

  test('reads chunks, lengths and bodies without a length, however they are cut', () => {
    const part = fc.string({maxLength: 40, minLength: 1, unit: 'grapheme-ascii'});
    const cuts = fc.array(fc.nat(2_000), {maxLength: 12});
    fc.assert(
      fc.property(fc.array(part, {maxLength: 8}), cuts, (parts, at) => {
        const body = parts.join('');
        const inChunks = parse(`${HEAD}Transfer-Encoding: chunked\r\n\r\n${chunked(parts)}`, at);
        const withLength = parse(`${HEAD}Content-Length: ${body.length}\r\n\r\n${body}more`, at);
        const withoutLength = parse(`${HEAD}\r\n${body}`, at);
        expect([inChunks.body, inChunks.isWhole]).toEqual([body, true]);
        expect([withLength.body, withLength.isWhole]).toEqual([body, true]);
        expect([withoutLength.body, withoutLength.isWhole]).toEqual([body, false]);
        withoutLength.parser.end();
        expect(withoutLength.parser.isWhole).toBe(true);
      }),
    );
  });

  test('takes nothing for whole that ends before its end', () => {
    const text = `${HEAD}Transfer-Encoding: chunked\r\n\r\n${chunked(['one', 'two'])}`;
    const sized = `${HEAD}Content-Length: 5\r\n\r\n12345`;
    for (const whole of [text, sized]) {
      for (let length = 0; length < whole.length; length++) {
        const {parser} = parse(whole.slice(0, length));
        parser.end();
        expect(parser.isWhole).toBe(false);
      }
    }
  });

  test('passes over interim answers, and knows answers without a body', () => {
    const interim = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n';
    expect(parse(`${interim}${HEAD}Content-Length: 1\r\n\r\ny`).body).toBe('y');
    expect(parse(`${HEAD}Content-Length: 5\r\n\r\n`, [], true).isWhole).toBe(true);
    expect(parse('HTTP/1.1 204 No Content\r\n\r\n').isWhole).toBe(true);
  });

  test.each([
    ['no answer at all', 'hello\r\n\r\n'],
    ['another protocol', 'HTTP/2 200 OK\r\n\r\n'],
    ['a folded header', 'HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n'],
    ['a blank before the colon', 'HTTP/1.1 200 OK\r\nA : b\r\n\r\n'],
    ['a bare line feed', 'HTTP/1.1 200 OK\r\nA: b\nC: d\r\n\r\n'],
    ['two lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n'],
    [
      'a length beside chunks',
      'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
    ],
    ['a length that is none', 'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n'],
    ['another protocol from here on', 'HTTP/1.1 101 Switching\r\n\r\n'],
    ['a chunk without a size', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n'],
    [
      'a chunk longer than its size',
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n',
    ],
    ['a head without an end', `HTTP/1.1 200 OK\r\nA: ${'b'.repeat(20_000)}`],
  ])('refuses %s', (_, text) => {
    expect(() => parse(text)).toThrow(AnswerError);
  });
});
