/**
 * Reads and writes of bulk data on a busy replica. Guards against reads that wait for queued writes, and against a
 * write per blob, which lets the queue grow without bound.
 */
import {placeBlob, StorageBlobs} from 'stallpaddle-storage';
import {FakeDisk} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {PlacedBlob} from '../../ReplicaMachine';

import {ReplicaBlobs} from '../../ReplicaBlobs';

/** Blobs with their locations, starting at an offset. */
function place(from: number, texts: readonly string[]): {end: number; placed: PlacedBlob[]} {
  let at = from;
  const placed = texts.map((text) => {
    const payload = Buffer.from(text);
    const {end, ref} = placeBlob(at, payload.length);
    at = end;
    return {payload, ref};
  });
  return {end: at, placed};
}

function texts(count: number, name = 'piece'): readonly string[] {
  return Array.from({length: count}, (_, at) => `${name} ${at}`);
}

async function open(disk = new FakeDisk()) {
  const failures: unknown[] = [];
  const counts = {appends: 0};
  disk.onAppend = () => {
    counts.appends++;
    return Promise.resolve();
  };
  const blobs = new ReplicaBlobs(await StorageBlobs.open(disk, 0), (err) => failures.push(err));
  return {blobs, counts, disk, failures};
}

async function textAt(blobs: ReplicaBlobs, {ref}: PlacedBlob): Promise<string> {
  return Buffer.from(await blobs.read(ref)).toString();
}

describe('ReplicaBlobs', () => {
  test('reads written blobs while later writes are pending', async () => {
    const {blobs, disk} = await open();
    const early = place(0, texts(3));
    blobs.add(0, early.placed);
    await blobs.settle();
    // From here on, no write completes.
    disk.onAppend = () => new Promise(() => {});
    blobs.add(early.end, place(early.end, texts(5, 'late')).placed);
    expect(await textAt(blobs, early.placed[1]!)).toBe('piece 1');
  });

  test('reads blobs that are not written yet', async () => {
    const {blobs, disk} = await open();
    disk.onAppend = () => new Promise(() => {});
    const {end, placed} = place(0, texts(3));
    blobs.add(0, placed);
    const more = place(end, texts(3, 'more'));
    blobs.add(end, more.placed);
    expect(await textAt(blobs, placed[0]!)).toBe('piece 0');
    expect(await textAt(blobs, more.placed[2]!)).toBe('more 2');
  });

  test('writes all blobs added during a write with one more write', async () => {
    const {blobs, counts, failures} = await open();
    let end = 0;
    const all: PlacedBlob[] = [];
    for (let command = 0; command < 200; command++) {
      const next = place(end, texts(2, `command ${command}`));
      blobs.add(end, next.placed);
      ({end} = next);
      all.push(...next.placed);
    }
    await blobs.settle();
    expect(counts.appends).toBeLessThanOrEqual(2);
    expect(blobs.end).toBe(end);
    const read = await Promise.all(all.map((piece) => textAt(blobs, piece)));
    expect(read[0]).toBe('command 0 0');
    expect(read.at(-1)).toBe('command 199 1');
    expect(failures).toEqual([]);
  });

  test('keeps a truncation between two commands in order', async () => {
    const {blobs, failures} = await open();
    const first = place(0, texts(2));
    blobs.add(0, first.placed);
    const lost = place(first.end, texts(2, 'lost'));
    blobs.add(first.end, lost.placed);
    void blobs.truncateTo(first.end);
    const next = place(first.end, texts(1, 'next'));
    blobs.add(first.end, next.placed);
    await blobs.settle();
    expect(blobs.end).toBe(next.end);
    expect(await textAt(blobs, next.placed[0]!)).toBe('next 0');
    expect(await textAt(blobs, first.placed[1]!)).toBe('piece 1');
    expect(failures).toEqual([]);
  });

  test('continues in the next segment when blobs fill a segment', async () => {
    const {blobs, failures} = await open();
    const large = 'x'.repeat(30_000_000);
    const {end, placed} = place(0, [large, large, large, 'small']);
    blobs.add(0, placed);
    await blobs.settle();
    expect(blobs.end).toBe(end);
    expect(await textAt(blobs, placed[3]!)).toBe('small');
    expect((await blobs.read(placed[2]!.ref)).length).toBe(large.length);
    expect(failures).toEqual([]);
  });
});
