/**
 * Guards against a replica that installs a mix of two snapshots when transfers to it overlap.
 */
import type {MachineSnapshot, SnapshotSource} from 'stallpaddle-replication';

import {SNAPSHOT_CHUNK_BYTES} from 'stallpaddle-replication';
import {describe, expect, test} from 'vitest';

import type {PeerClient} from '../../RpcClients';

import {type InstallStep, sendSnapshot, SnapshotReceiver} from '../../RpcSnapshots';

const MEMBERS = {learners: [], voters: ['vm/1']};
const STATE_BYTES = 3 * SNAPSHOT_CHUNK_BYTES;

/** Creates a snapshot whose state bytes all equal its index. */
function sourceOf(index: number): SnapshotSource {
  const machine = new Uint8Array(STATE_BYTES).fill(index);
  return {
    blobEnd: 0,
    group: 'g',
    readBlobs: (offset) => Promise.resolve({bytes: new Uint8Array(), offset}),
    snapshot: {machine, meta: {index, members: MEMBERS, term: 1}},
    term: 1,
  };
}

/** Creates a receiver with a stub replica that accepts everything, and records the installed snapshots. */
function createReceiver() {
  const receiver = new SnapshotReceiver();
  const taken: MachineSnapshot[] = [];
  const replica = {
    beginInstall: () => Promise.resolve(0),
    finishInstall: (snapshot: MachineSnapshot) => {
      taken.push(snapshot);
      return Promise.resolve(true);
    },
    installBlobs: () => Promise.resolve(0),
  };
  const take = (step: InstallStep) => receiver.take('g', replica, 1, step);
  return {take, taken};
}

type TestReceiver = ReturnType<typeof createReceiver>;

/** Sends a snapshot and calls `before` ahead of each step. */
function send(
  {take}: TestReceiver,
  source: SnapshotSource,
  before: (step: number) => Promise<void>,
): Promise<boolean> {
  let steps = 0;
  const install = async ({step}: {step: InstallStep}) => {
    await before(steps++);
    return take(step);
  };
  return sendSnapshot({install} as unknown as PeerClient, source);
}

describe('SnapshotReceiver', () => {
  test('installs a snapshot as it was sent', async () => {
    const to = createReceiver();
    expect(await send(to, sourceOf(7), () => Promise.resolve())).toBe(true);
    expect(to.taken.map(({meta}) => meta.index)).toEqual([7]);
    expect(new Set(to.taken[0]!.machine)).toEqual(new Set([7]));
  });

  test('never installs a state that is mixed from two snapshots', async () => {
    // A replica that is removed and added again is sent a second snapshot while the first transfer still runs.
    const to = createReceiver();
    const first = await send(to, sourceOf(7), async (step) => {
      if (step === 2) {
        await send(to, sourceOf(8), (other) =>
          other < 2 ? Promise.resolve() : Promise.reject(new Error('the message was lost')),
        ).catch(() => {});
      }
    });
    expect(first).toBe(false);
    expect(to.taken).toEqual([]);
  });
});
