/**
 * Jobs that had been accepted could not be read: their group had a leader, but each read of a text or a body took seconds, longer
 * than callers wait. It came about on a leader that records much: bulk data is written piece by piece, each piece a turn of
 * a busy process, and a read waited until nothing at all was left to write. Plays with a line for each read showed reads of
 * bodies that took 4 to 8 s beside others, of the same leader, that took none.
 */
import type {Disk} from 'stallpaddle-storage';

import {placeBlob, StorageBlobs} from 'stallpaddle-storage';
import {FakeDisk} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {PlacedBlob} from '../../ReplicaMachine';

import {ReplicaBlobs} from '../../ReplicaBlobs';

/** Time after which a read counts as held up, in milliseconds. */
const HELD_UP_MS = 200;

interface HeldDisk {
  readonly disk: Disk;
  /** While it is set, writes wait for it. */
  gate: Promise<void> | null;
}

/** A disk whose writes can be held up; reads go on. */
function makeHeldDisk(): HeldDisk {
  const inner = new FakeDisk();
  const held: HeldDisk = {
    disk: Object.create(inner, {
      open: {
        value: async (name: string) => {
          const file = await inner.open(name);
          const append = async (bytes: Uint8Array): Promise<void> => {
            await held.gate;
            await file.append(bytes);
          };
          return {...file, append};
        },
      },
    }) as Disk,
    gate: null,
  };
  return held;
}

function place(end: number, text: string): PlacedBlob {
  return {payload: Buffer.from(text), ref: placeBlob(end, text.length).ref};
}

function giveUp(): Promise<string> {
  return new Promise((resolve) => setTimeout(() => resolve('held up'), HELD_UP_MS));
}

describe('ReplicaBlobs', () => {
  test('a read of what was written waits for no later write', async () => {
    const held = makeHeldDisk();
    const blobs = new ReplicaBlobs(await StorageBlobs.open(held.disk, 0), (err) => {
      throw err;
    });
    const written = place(0, 'written');
    blobs.add(0, [written]);
    await blobs.settle();
    let release = (): void => {};
    held.gate = new Promise((resolve) => {
      release = resolve;
    });
    blobs.add(blobs.end, [place(blobs.end, 'still to be written')]);

    const read = blobs.read(written.ref).then((bytes) => Buffer.from(bytes).toString());
    const outcome = await Promise.race([read, giveUp()]);
    release();

    expect(outcome).toBe('written');
    await blobs.close();
  });

  test('a read of what is still to be written gets it', async () => {
    const held = makeHeldDisk();
    const blobs = new ReplicaBlobs(await StorageBlobs.open(held.disk, 0), (err) => {
      throw err;
    });
    const first = place(0, 'first');
    blobs.add(0, [first]);

    expect(Buffer.from(await blobs.read(first.ref)).toString()).toBe('first');
    await blobs.close();
  });
});
