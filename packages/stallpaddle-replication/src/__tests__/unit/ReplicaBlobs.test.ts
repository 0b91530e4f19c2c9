/**
 * Bulk data of a busy replica.
 *
 * Seen: batch jobs that had been accepted could not be read at the end of a day, though their group had a leader with all
 * their data; on such days items also began seconds late. Each piece of bulk data was written by itself, one after the
 * other, and a read waited for all writes that had been asked for before it. A leader whose turns take 20 to 200 ms gets
 * more pieces in a turn than it writes: the queue grew, and reads took up to 8 s, of which callers wait 1.5 s. Plays with a
 * line for each read proved it: p50 of reads of one body 3.8 to 7.6 s, while reads without bulk data took a millisecond.
 */
import {placeBlob, StorageBlobs} from 'stallpaddle-storage';
import {FakeDisk} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {PlacedBlob} from '../../ReplicaMachine';

import {ReplicaBlobs} from '../../ReplicaBlobs';

/** Pieces with their places, from an offset on. */
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
  test('what is written can be read while the disk takes its time for what came later', async () => {
    const {blobs, disk} = await open();
    const early = place(0, texts(3));
    blobs.add(0, early.placed);
    await blobs.settle();
    // From here on the disk takes nothing.
    disk.onAppend = () => new Promise(() => {});
    blobs.add(early.end, place(early.end, texts(5, 'late')).placed);
    expect(await textAt(blobs, early.placed[1]!)).toBe('piece 1');
  });

  test('what is not written yet can be read at once', async () => {
    const {blobs, disk} = await open();
    disk.onAppend = () => new Promise(() => {});
    const {end, placed} = place(0, texts(3));
    blobs.add(0, placed);
    const more = place(end, texts(3, 'more'));
    blobs.add(end, more.placed);
    expect(await textAt(blobs, placed[0]!)).toBe('piece 0');
    expect(await textAt(blobs, more.placed[2]!)).toBe('more 2');
  });

  test('all that comes while one write is under way takes one more', async () => {
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

  test('a cut between two commands stays between them', async () => {
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

  test('pieces that fill a segment go on in the next', async () => {
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
