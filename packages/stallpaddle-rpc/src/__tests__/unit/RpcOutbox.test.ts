/**
 * Guards against unbounded queues for unreachable VMs, and against large messages that delay urgent ones or arrive
 * incomplete.
 */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {Message, MessageBody} from 'stallpaddle-replication';

import {create, toBinary} from '@bufbuild/protobuf';
import fc from 'fast-check';
import {decodeValue, delay} from 'stallpaddle';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {DeliverRequestSchema} from '../../gen/stallpaddle/v1/peer_pb';
import {completeMessages, MAX_CHUNK_BYTES, RpcReassembler} from '../../RpcChunks';
import {type DeliverySource, MAX_OUTBOX_BYTES, RpcOutbox} from '../../RpcOutbox';

function messageWith(body: MessageBody): Message {
  return {body, from: 'a/1', group: 'g', term: 1, to: 'b/1'};
}

function messageOf(bytes: number, sentAt = 0): Message {
  return messageWith({
    commit: 0,
    entries: [{index: 1, payload: {data: new Uint8Array(bytes), kind: 'command'}, term: 1}],
    kind: 'append',
    prevIndex: 0,
    prevTerm: 0,
    sentAt,
  });
}

function aliveOf(sentAt: number): Message {
  return messageWith({kind: 'alive', sentAt});
}

/** Opens an outbox whose deliveries the test takes itself. */
async function openOutbox(): Promise<{deliveries: DeliverySource; outbox: RpcOutbox}> {
  const taken: {deliveries?: DeliverySource} = {};
  const outbox = new RpcOutbox((deliveries) => {
    taken.deliveries = deliveries;
    return new Promise(() => {});
  });
  outbox.add(aliveOf(0));
  await delay(0);
  await taken.deliveries!.next();
  return {deliveries: taken.deliveries!, outbox};
}

function received(
  delivery: MessageInitShape<typeof DeliverRequestSchema>,
  reassembler: RpcReassembler,
): readonly Message[] {
  const request = create(DeliverRequestSchema, delivery);
  return completeMessages(request, reassembler).map((bytes) => decodeValue<Message>(bytes));
}

/** Encoded size of a delivery, in bytes. */
function bytesOf(delivery: MessageInitShape<typeof DeliverRequestSchema>): number {
  return toBinary(DeliverRequestSchema, create(DeliverRequestSchema, delivery)).length;
}

function sentAtOf({body}: Message): number {
  return 'sentAt' in body ? body.sentAt : NaN;
}

describe('RpcOutbox', () => {
  test('bounds the queued bytes for an unreachable VM, and always keeps the newest message', () => {
    const outbox = new RpcOutbox(() => new Promise(() => {}));
    for (let sent = 0; sent < 100; sent++) {
      outbox.add(messageOf(1_000_000));
      expect(outbox.waitingBytes).toBeLessThanOrEqual(MAX_OUTBOX_BYTES);
    }
    outbox.add(messageOf(5_000_000));
    expect(outbox.waitingBytes).toBeGreaterThan(5_000_000);
    outbox.close();
  });

  test('sends an urgent message between two chunks of a large one', async () => {
    const {deliveries, outbox} = await openOutbox();
    const reassembler = new RpcReassembler();
    outbox.add(messageOf(3 * MAX_CHUNK_BYTES, 1));
    outbox.add(messageOf(10, 2));
    const first = (await deliveries.next())!;
    expect(received(first, reassembler)).toEqual([]);
    outbox.add(aliveOf(3));
    expect(received((await deliveries.next())!, reassembler).map(sentAtOf)).toEqual([3]);
    const rest: number[] = [];
    while (rest.length < 2) {
      rest.push(...received((await deliveries.next())!, reassembler).map(sentAtOf));
    }
    // Messages about the log stay in order.
    expect(rest).toEqual([1, 2]);
    outbox.close();
  });

  test('an urgent message waits for at most one chunk, and is not sent with another', async () => {
    // Waiting for a second chunk would delay heartbeats long enough for leases to expire on slow links.
    const {deliveries, outbox} = await openOutbox();
    const bytesPerMs = 1_600;
    outbox.add(messageOf(4 * MAX_CHUNK_BYTES, 1));
    const waits: number[] = [];
    for (let taken = 0; taken < 3; taken++) {
      let bytesAhead = bytesOf((await deliveries.next())!);
      outbox.add(aliveOf(taken));
      bytesAhead += bytesOf((await deliveries.next())!);
      waits.push(bytesAhead / bytesPerMs);
    }
    expect(Math.max(...waits)).toBeLessThan(MAX_CHUNK_BYTES / bytesPerMs + 1);
    outbox.close();
  });

  test('drops the rest of a large message after one of its chunks was lost', async () => {
    const {deliveries, outbox} = await openOutbox();
    const reassembler = new RpcReassembler();
    outbox.add(messageOf(3 * MAX_CHUNK_BYTES, 1));
    outbox.add(messageOf(3 * MAX_CHUNK_BYTES, 2));
    received((await deliveries.next())!, reassembler);
    await deliveries.next();
    deliveries.lost();
    const got: number[] = [];
    while (got.length === 0) {
      got.push(...received((await deliveries.next())!, reassembler).map(sentAtOf));
    }
    expect(got).toEqual([2]);
    outbox.close();
  });

  test('a pending request of a broken stream takes no messages from the next stream', async () => {
    const opened: DeliverySource[] = [];
    const breaks: (() => void)[] = [];
    const outbox = new RpcOutbox((deliveries) => {
      opened.push(deliveries);
      return new Promise((_resolve, reject) => {
        breaks.push(() => reject(new Error('the stream broke')));
      });
    });
    outbox.add(messageOf(2 * MAX_CHUNK_BYTES, 1));
    await opened[0]!.next();
    // The stream has taken a chunk; it breaks, and then still requests the next delivery.
    breaks[0]!();
    await delay(0);
    const requested = opened[0]!.next();
    outbox.add(messageOf(10, 2));
    expect(await requested).toBeUndefined();
    while (opened.length < 2) {
      await delay(5);
    }
    const reassembler = new RpcReassembler();
    expect(received((await opened[1]!.next())!, reassembler).map(sentAtOf)).toEqual([2]);
    outbox.close();
  });

  test('keeps the newest urgent message of each group and kind', async () => {
    const {deliveries, outbox} = await openOutbox();
    const groups = Array.from({length: 40}, (_, at) => `g${at}`);
    for (const sentAt of [1, 2]) {
      groups.forEach((group) => outbox.add({...aliveOf(sentAt), group}));
    }
    const got = received((await deliveries.next())!, new RpcReassembler());
    expect(got.map(({group}) => group)).toEqual(groups);
    expect(new Set(got.map(sentAtOf))).toEqual(new Set([2]));
    outbox.close();
  });

  test('delivers only whole messages, in order, with any losses', async () => {
    const step = fc.record({
      bytes: fc.integer({max: 2 * MAX_CHUNK_BYTES + 5, min: 0}),
      isUrgent: fc.boolean(),
      loses: fc.array(fc.boolean(), {maxLength: 3}),
    });
    const property = fc.asyncProperty(fc.array(step, {maxLength: 12}), async (steps) => {
      const {deliveries, outbox} = await openOutbox();
      const reassembler = new RpcReassembler();
      const ordinary: number[] = [];
      const take = async (isLost: boolean): Promise<void> => {
        const delivery = (await deliveries.next())!;
        if (isLost) {
          deliveries.lost();
          return;
        }
        for (const message of received(delivery, reassembler)) {
          if (message.body.kind === 'append') {
            ordinary.push(sentAtOf(message));
          }
        }
      };
      for (const [at, {bytes, isUrgent, loses}] of steps.entries()) {
        outbox.add(isUrgent ? aliveOf(at) : messageOf(bytes, at));
        for (const isLost of loses) {
          outbox.add(aliveOf(at));
          await take(isLost);
        }
      }
      // Every second delivery holds only an urgent message.
      for (let left = 8 * steps.length; left > 0; left--) {
        outbox.add(aliveOf(-1));
        await take(false);
      }
      outbox.close();
      expect(ordinary).toEqual([...new Set(ordinary)].sort((a, b) => a - b));
      const lossless = steps.every(({loses}) => !loses.includes(true));
      const expected = steps.flatMap(({isUrgent}, at) => (isUrgent ? [] : [at]));
      if (lossless) {
        expect(ordinary).toEqual(expected);
      }
    });
    await assertHistories('deliveries', property, 100);
  });
});
