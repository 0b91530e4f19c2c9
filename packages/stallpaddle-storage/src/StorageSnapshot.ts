/**
 * The file of a replica's latest snapshot.
 */
import type {Disk} from './StorageDisk';

import {replaceFile} from './StorageDisk';
import {CorruptionError} from './StorageErrors';
import {decodeRecord, encodeRecord} from './StorageRecord';

/** Name of the snapshot file. */
export const SNAPSHOT_FILE = 'snapshot';

/**
 * Reads the latest snapshot; returns undefined if there is none.
 *
 * @param disk directory of the replica
 */
export async function readSnapshot(disk: Disk): Promise<Uint8Array | undefined> {
  const bytes = await disk.read(SNAPSHOT_FILE);
  if (bytes === undefined) {
    return undefined;
  }
  const record = decodeRecord(bytes, 0);
  if (record === undefined || record.end !== bytes.length) {
    throw new CorruptionError(SNAPSHOT_FILE, 0, 'checksum mismatch');
  }
  return record.payload;
}

/**
 * Replaces the latest snapshot.
 *
 * @param disk directory of the replica
 * @param payload content
 */
export async function writeSnapshot(disk: Disk, payload: Uint8Array): Promise<void> {
  await replaceFile(disk, SNAPSHOT_FILE, encodeRecord(0, payload));
}
