/**
 * Guards against lost records and undetected corruption after crashes, torn writes, failed syncs and flipped bytes.
 */
import fc from 'fast-check';
import {assertHistories, FakeCrashError, FakeDisk, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {CorruptionError} from '../../StorageErrors';
import {StorageLog} from '../../StorageLog';

const FIRST_FILE = 'log-00000000';

async function reopenedTexts(disk: FakeDisk): Promise<readonly string[]> {
  const {payloads} = await StorageLog.open(disk);
  return payloads.map((payload) => Buffer.from(payload).toString());
}

async function diskWithRecords(count: number): Promise<FakeDisk> {
  const disk = new FakeDisk();
  const {log} = await StorageLog.open(disk);
  for (let number = 0; number < count; number++) {
    await log.append(Buffer.from(`record ${number}`));
  }
  return disk;
}

describe('StorageLog', () => {
  test(
    'keeps every acknowledged record through a crash at any operation',
    async () => {
      const property = fc.asyncProperty(
        fc.array(fc.record({restart: fc.boolean(), size: fc.integer({max: 300, min: 1})}), {
          maxLength: 12,
          minLength: 1,
        }),
        fc.integer({max: 60, min: 0}),
        fc.double({max: 1, min: 0, noNaN: true}),
        async (steps, crashAfter, tornFraction) => {
          const disk = new FakeDisk();
          disk.crashAfter = crashAfter;
          // What a reopened log may hold: everything acknowledged, and at most the write in flight.
          let acknowledged: string[] = [];
          let inFlight: readonly string[] = [];
          try {
            const {log} = await StorageLog.open(disk);
            for (const [number, {restart, size}] of steps.entries()) {
              const text = `${number}:${'x'.repeat(size)}`;
              inFlight = restart ? [text] : [...acknowledged, text];
              await (restart ? log.restart(Buffer.from(text)) : log.append(Buffer.from(text)));
              acknowledged = [...inFlight];
            }
          } catch (err) {
            expect(err).toBeInstanceOf(FakeCrashError);
          }
          disk.restart((unsynced) => Math.floor(unsynced * tornFraction));
          const found = await reopenedTexts(disk);
          expect([acknowledged, inFlight]).toContainEqual(found);
        },
      );
      await assertHistories('log file', property, 1000);
    },
    fuzzTimeoutMs(),
  );

  test('records found at a start are durable even if their earlier sync failed', async () => {
    // After a failed sync the page cache may still return data that is lost on a power failure.
    const disk = await diskWithRecords(1);
    const {log} = await StorageLog.open(disk);
    disk.failSyncs = true;
    await expect(log.append(Buffer.from('doubtful'))).rejects.toThrow('the sync failed');
    disk.failSyncs = false;
    const found = await reopenedTexts(disk);
    expect(found).toEqual(['record 0', 'doubtful']);
    disk.restart();
    expect(await reopenedTexts(disk)).toEqual(found);
  });

  test('truncates a torn last record and appends after it', async () => {
    const disk = await diskWithRecords(3);
    await disk.truncate(FIRST_FILE, disk.sizeOf(FIRST_FILE) - 3);
    const {log, payloads} = await StorageLog.open(disk);
    expect(payloads).toHaveLength(2);
    await log.append(Buffer.from('next'));
    expect(await reopenedTexts(disk)).toEqual(['record 0', 'record 1', 'next']);
  });

  test('reports an invalid record before a valid one as corruption, not as a torn write', async () => {
    const size = (await diskWithRecords(1)).sizeOf(FIRST_FILE);
    for (let offset = 0; offset < 2 * size; offset++) {
      const disk = await diskWithRecords(3);
      disk.flip(FIRST_FILE, offset);
      await expect(StorageLog.open(disk)).rejects.toBeInstanceOf(CorruptionError);
    }
  });

  test('rejects an append whose sync fails', async () => {
    const disk = await diskWithRecords(1);
    const {log} = await StorageLog.open(disk);
    disk.failSyncs = true;
    await expect(log.append(Buffer.from('lost'))).rejects.toThrow('the sync failed');
  });
});
