/**
 * Segment files: the same places on every replica, and what a crash or bad media leave.
 */
import fc from 'fast-check';
import {assertHistories, FakeDisk, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {BLOB_SEGMENT_BYTES, placeBlob, StorageBlobs} from '../../StorageBlobs';
import {CorruptionError} from '../../StorageErrors';

async function write(blobs: StorageBlobs, texts: readonly string[]) {
  const refs = [];
  for (const text of texts) {
    const {ref} = placeBlob(blobs.end, text.length);
    await blobs.append(ref, Buffer.from(text));
    refs.push(ref);
  }
  return refs;
}

describe('placeBlob', () => {
  test(
    'never lets a record span two segments, and never lets two overlap',
    async () => {
      const lengths = fc.array(fc.integer({max: BLOB_SEGMENT_BYTES / 4, min: 0}), {maxLength: 30});
      const property = fc.property(lengths, (all) => {
        let end = 0;
        for (const length of all) {
          const placed = placeBlob(end, length);
          expect(placed.ref.offset).toBeGreaterThanOrEqual(end);
          const segment = Math.floor(placed.ref.offset / BLOB_SEGMENT_BYTES);
          expect(Math.floor((placed.end - 1) / BLOB_SEGMENT_BYTES)).toBe(segment);
          end = placed.end;
        }
      });
      await assertHistories('segment places', property, 300);
    },
    fuzzTimeoutMs(),
  );
});

describe('StorageBlobs', () => {
  test('drops what came after the last snapshot and writes it again at the same place', async () => {
    const disk = new FakeDisk();
    const blobs = await StorageBlobs.open(disk, 0);
    const [first] = await write(blobs, ['one']);
    await blobs.sync();
    const {end} = blobs;
    const [second] = await write(blobs, ['two']);
    disk.restart((unsynced) => unsynced - 1);
    const again = await StorageBlobs.open(disk, end);
    const [rewritten] = await write(again, ['two']);
    expect(rewritten).toEqual(second);
    expect(Buffer.from(await again.read(first!)).toString()).toBe('one');
    expect(Buffer.from(await again.read(rewritten!)).toString()).toBe('two');
  });

  test('what was there before a transfer that broke off lasts with the next sync', async () => {
    const disk = new FakeDisk();
    const blobs = await StorageBlobs.open(disk, 0);
    const [first] = await write(blobs, ['one']);
    const {end} = blobs;
    await blobs.appendRaw(end, Buffer.from('half of a transfer'));
    await blobs.cutTo(end);
    // A snapshot that refers to the first record may be saved now.
    await blobs.sync();
    disk.restart();
    const again = await StorageBlobs.open(disk, end);
    expect(Buffer.from(await again.read(first!)).toString()).toBe('one');
  });

  test('finds a flipped byte and a segment that is too short', async () => {
    const disk = new FakeDisk();
    const blobs = await StorageBlobs.open(disk, 0);
    const [ref] = await write(blobs, ['payload']);
    await blobs.sync();
    const [name] = await disk.list();
    disk.flip(name!, 25);
    const again = await StorageBlobs.open(disk, blobs.end);
    await expect(again.read(ref!)).rejects.toBeInstanceOf(CorruptionError);
    await disk.truncate(name!, 10);
    await expect(StorageBlobs.open(disk, blobs.end)).rejects.toBeInstanceOf(CorruptionError);
  });

  test('copies raw bytes to another replica', async () => {
    const from = await StorageBlobs.open(new FakeDisk(), 0);
    const refs = await write(from, ['one', 'two', 'three']);
    const to = await StorageBlobs.open(new FakeDisk(), 0);
    while (to.end < from.end) {
      const {bytes, offset} = await from.readRaw(to.end, 7);
      await to.appendRaw(offset, bytes);
    }
    for (const ref of refs) {
      expect(await to.read(ref)).toEqual(await from.read(ref));
    }
  });

  test('cuts off the rest of an unfinished copy', async () => {
    const blobs = await StorageBlobs.open(new FakeDisk(), 0);
    const [ref] = await write(blobs, ['kept']);
    const {end} = blobs;
    await blobs.appendRaw(end, Buffer.from('half of something'));
    await blobs.cutTo(end);
    const [next] = await write(blobs, ['next']);
    expect(next!.offset).toBe(end);
    expect(Buffer.from(await blobs.read(ref!)).toString()).toBe('kept');
  });
});
