/**
 * Guards against bulk data that is lost or misplaced after crashes, truncations and concurrent syncs, and against
 * undetected corruption.
 */
import fc from 'fast-check';
import {delay} from 'stallpaddle';
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

/** Creates a promise that blocks operations until it is opened. */
function gate(): {readonly open: () => void; readonly opened: Promise<void>} {
  let open = (): void => {};
  const opened = new Promise<void>((resolve) => {
    open = resolve;
  });
  return {open, opened};
}

describe('placeBlob', () => {
  test(
    'never places a record across two segments or over another record',
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
  test('drops data after the last snapshot, and writes it again at the same offset', async () => {
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

  test('data before an aborted transfer is durable after the next sync', async () => {
    const disk = new FakeDisk();
    const blobs = await StorageBlobs.open(disk, 0);
    const [first] = await write(blobs, ['one']);
    const {end} = blobs;
    await blobs.appendRaw(end, Buffer.from('half of a transfer'));
    await blobs.truncateTo(end);
    // After this sync a snapshot that refers to the first record may be saved.
    await blobs.sync();
    disk.restart();
    const again = await StorageBlobs.open(disk, end);
    expect(Buffer.from(await again.read(first!)).toString()).toBe('one');
  });

  test('a write in progress during a sync is durable after the next sync', async () => {
    const disk = new FakeDisk();
    const blobs = await StorageBlobs.open(disk, 0);
    const [first] = await write(blobs, ['one']);
    const slow = gate();
    disk.pause = () => slow.opened;
    const {ref} = placeBlob(blobs.end, 3);
    const writing = blobs.append(ref, Buffer.from('two'));
    await delay(1);
    disk.pause = null;
    await blobs.sync();
    slow.open();
    await writing;
    await blobs.sync();
    disk.restart();
    const again = await StorageBlobs.open(disk, blobs.end);
    expect(Buffer.from(await again.read(first!)).toString()).toBe('one');
    expect(Buffer.from(await again.read(ref)).toString()).toBe('two');
  });

  test('a sync that starts during another one completes after it', async () => {
    const disk = new FakeDisk();
    const blobs = await StorageBlobs.open(disk, 0);
    await write(blobs, ['one']);
    const slow = gate();
    disk.onSync = () => slow.opened;
    const ended: string[] = [];
    const first = blobs.sync().then(() => ended.push('first'));
    const second = blobs.sync().then(() => ended.push('second'));
    await delay(5);
    expect(ended).toEqual([]);
    slow.open();
    await Promise.all([first, second]);
    expect(ended).toEqual(['first', 'second']);
  });

  test('a sync after a failed one fails too', async () => {
    const disk = new FakeDisk();
    const blobs = await StorageBlobs.open(disk, 0);
    await write(blobs, ['one']);
    disk.failSyncs = true;
    await expect(blobs.sync()).rejects.toThrow('the sync failed');
    disk.failSyncs = false;
    await expect(blobs.sync()).rejects.toThrow('the sync failed');
  });

  test('a read or sync during a truncation does not misplace the next record', async () => {
    const disk = new FakeDisk();
    const blobs = await StorageBlobs.open(disk, 0);
    const [first] = await write(blobs, ['one']);
    const {end} = blobs;
    await blobs.appendRaw(end, Buffer.from('half of a transfer'));
    const slow = gate();
    disk.pause = () => slow.opened;
    const truncation = blobs.truncateTo(end);
    await delay(1);
    const read = blobs.read(first!);
    const sync = blobs.sync();
    await delay(1);
    disk.pause = null;
    slow.open();
    await Promise.all([truncation, read, sync]);
    const [next] = await write(blobs, ['two']);
    expect(Buffer.from(await read).toString()).toBe('one');
    expect(Buffer.from(await blobs.read(next!)).toString()).toBe('two');
  });

  test('detects a flipped byte and a segment that is too short', async () => {
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

  test('truncates an incomplete copy', async () => {
    const blobs = await StorageBlobs.open(new FakeDisk(), 0);
    const [ref] = await write(blobs, ['kept']);
    const {end} = blobs;
    await blobs.appendRaw(end, Buffer.from('half of something'));
    await blobs.truncateTo(end);
    const [next] = await write(blobs, ['next']);
    expect(next!.offset).toBe(end);
    expect(Buffer.from(await blobs.read(ref!)).toString()).toBe('kept');
  });
});
