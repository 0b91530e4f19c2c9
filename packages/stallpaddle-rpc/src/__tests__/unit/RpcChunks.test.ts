/**
 * Parts that are lost without the sender's knowledge: what is put together is one message, whole.
 */
import {create} from '@bufbuild/protobuf';
import {describe, expect, test} from 'vitest';

import {type MessagePart, MessagePartSchema} from '../../gen/stallpaddle/v1/peer_pb';
import {MAX_CHUNK_BYTES, RpcReassembler, RpcSplitter} from '../../RpcChunks';

/** Parts of a message whose bytes all have one value. */
function partsOf(value: number, parts: number): readonly MessagePart[] {
  const split = new RpcSplitter(Buffer.alloc(parts * MAX_CHUNK_BYTES, value));
  const all: MessagePart[] = [];
  while (!split.ended) {
    all.push(create(MessagePartSchema, split.next()));
  }
  return all;
}

/** Length and values of each message that parts make. */
function joinAll(parts: readonly MessagePart[]): readonly (readonly number[])[] {
  const join = new RpcReassembler();
  const whole = parts.flatMap((part) => join.take(part) ?? []);
  return whole.map((bytes) => [bytes.length, ...new Set(bytes)]);
}

describe('RpcJoin', () => {
  test('puts a message together again', () => {
    const parts = partsOf(1, 3);
    expect(parts.map(({last}) => last)).toEqual([false, false, true]);
    expect(joinAll(parts)).toEqual([[3 * MAX_CHUNK_BYTES, 1]]);
  });

  test('joins no parts of two messages', () => {
    const [a, b] = [partsOf(1, 2), partsOf(2, 2)];
    expect(joinAll([a[0]!, b[1]!])).toEqual([]);
    expect(joinAll([a[0]!, ...b])).toEqual([[2 * MAX_CHUNK_BYTES, 2]]);
  });

  test('puts messages together whose parts come by turns, as from two outboxes on one stream', () => {
    const [a, b] = [partsOf(1, 2), partsOf(2, 2)];
    expect(joinAll([a[0]!, b[0]!, b[1]!, a[1]!])).toEqual([
      [2 * MAX_CHUNK_BYTES, 2],
      [2 * MAX_CHUNK_BYTES, 1],
    ]);
  });

  test('holds no more than a few messages that never end', () => {
    const first = partsOf(1, 2);
    const others = Array.from({length: 4}, (_, at) => partsOf(at + 2, 2)[0]!);
    expect(joinAll([first[0]!, ...others, first[1]!])).toEqual([]);
  });

  test('drops a message with a part that is missing or comes twice', () => {
    const parts = partsOf(1, 3);
    expect(joinAll([parts[0]!, parts[2]!])).toEqual([]);
    expect(joinAll([parts[0]!, parts[1]!, parts[1]!, parts[2]!])).toEqual([]);
    expect(joinAll([parts[1]!, parts[2]!])).toEqual([]);
  });
});
