/**
 * Guards against reassembled messages that are incomplete or mixed from several when chunks are lost.
 */
import {create} from '@bufbuild/protobuf';
import {describe, expect, test} from 'vitest';

import {type MessagePart, MessagePartSchema} from '../../gen/stallpaddle/v1/peer_pb';
import {MAX_CHUNK_BYTES, RpcReassembler, RpcSplitter} from '../../RpcChunks';

/** Splits a message whose bytes all have one value. */
function chunksOf(value: number, chunks: number): readonly MessagePart[] {
  const splitter = new RpcSplitter(Buffer.alloc(chunks * MAX_CHUNK_BYTES, value));
  const all: MessagePart[] = [];
  while (!splitter.ended) {
    all.push(create(MessagePartSchema, splitter.next()));
  }
  return all;
}

/** Returns the length and the distinct byte values of each message that is reassembled. */
function reassemble(chunks: readonly MessagePart[]): readonly (readonly number[])[] {
  const reassembler = new RpcReassembler();
  const whole = chunks.flatMap((chunk) => reassembler.take(chunk) ?? []);
  return whole.map((bytes) => [bytes.length, ...new Set(bytes)]);
}

describe('RpcReassembler', () => {
  test('reassembles a message from its chunks', () => {
    const chunks = chunksOf(1, 3);
    expect(chunks.map(({last}) => last)).toEqual([false, false, true]);
    expect(reassemble(chunks)).toEqual([[3 * MAX_CHUNK_BYTES, 1]]);
  });

  test('does not mix chunks of two messages', () => {
    const [a, b] = [chunksOf(1, 2), chunksOf(2, 2)];
    expect(reassemble([a[0]!, b[1]!])).toEqual([]);
    expect(reassemble([a[0]!, ...b])).toEqual([[2 * MAX_CHUNK_BYTES, 2]]);
  });

  test('reassembles messages with interleaved chunks, as from two outboxes on one stream', () => {
    const [a, b] = [chunksOf(1, 2), chunksOf(2, 2)];
    expect(reassemble([a[0]!, b[0]!, b[1]!, a[1]!])).toEqual([
      [2 * MAX_CHUNK_BYTES, 2],
      [2 * MAX_CHUNK_BYTES, 1],
    ]);
  });

  test('limits the number of incomplete messages', () => {
    const first = chunksOf(1, 2);
    const others = Array.from({length: 4}, (_, at) => chunksOf(at + 2, 2)[0]!);
    expect(reassemble([first[0]!, ...others, first[1]!])).toEqual([]);
  });

  test('drops a message with a missing or repeated chunk', () => {
    const chunks = chunksOf(1, 3);
    expect(reassemble([chunks[0]!, chunks[2]!])).toEqual([]);
    expect(reassemble([chunks[0]!, chunks[1]!, chunks[1]!, chunks[2]!])).toEqual([]);
    expect(reassemble([chunks[1]!, chunks[2]!])).toEqual([]);
  });
});
