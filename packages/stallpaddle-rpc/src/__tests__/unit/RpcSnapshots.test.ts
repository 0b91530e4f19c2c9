/**
 * Two transfers to one replica at once: its state is one snapshot's, whole, or none.
 */
import type {MachineSnapshot, SnapshotSource} from 'stallpaddle-replication';

import {SNAPSHOT_CHUNK_BYTES} from 'stallpaddle-replication';
import {describe, expect, test} from 'vitest';

import type {PeerClient} from '../../RpcClients';

import {type InstallStep, sendSnapshot, SnapshotReceiver} from '../../RpcSnapshots';

const MEMBERS = {learners: [], voters: ['vm/1']};
const STATE_BYTES = 3 * SNAPSHOT_CHUNK_BYTES;

/** A snapshot whose state has one value throughout. */
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

/** A replica that takes everything, and what it was given. */
function receiving() {
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

type Receiving = ReturnType<typeof receiving>;

/** Sends a snapshot; before a step of a number something else happens. */
function send(
  {take}: Receiving,
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
  test('takes over a snapshot as it was sent', async () => {
    const to = receiving();
    expect(await send(to, sourceOf(7), () => Promise.resolve())).toBe(true);
    expect(to.taken.map(({meta}) => meta.index)).toEqual([7]);
    expect(new Set(to.taken[0]!.machine)).toEqual(new Set([7]));
  });

  test('never takes over a state that begins in one snapshot and ends in another', async () => {
    // A replica that was sent away and taken in again is sent a second snapshot while the first is still under way.
    const to = receiving();
    const first = await send(to, sourceOf(7), async (step) => {
      if (step === 2) {
        await send(to, sourceOf(8), (other) =>
          other < 2 ? Promise.resolve() : Promise.reject(new Error('the step is lost')),
        ).catch(() => {});
      }
    });
    expect(first).toBe(false);
    expect(to.taken).toEqual([]);
  });
});
