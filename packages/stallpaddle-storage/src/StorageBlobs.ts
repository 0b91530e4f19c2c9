/**
 * Append-only segment files for bulk data that a state machine refers to.
 *
 * Replicas apply the same entries in the same order, and a record's offset depends only on the records before it. So
 * offsets are equal on all replicas, replicated state may hold references, and a lagging replica needs only the bytes
 * after its own end. Nothing is synced before a snapshot: until then the log holds the data, and a restart writes it
 * again.
 */
import {invariant} from 'stallpaddle';

import type {Disk, DiskFile} from './StorageDisk';

import {CorruptionError} from './StorageErrors';
import {decodeRecord, encodeRecord, RECORD_HEADER_BYTES} from './StorageRecord';

/** Position of a record: offset across all segments, and payload length, both in bytes. */
export interface BlobRef {
  readonly length: number;
  readonly offset: number;
}

/** A record and its position. */
export interface BlobRecord {
  readonly payload: Uint8Array;
  readonly ref: BlobRef;
}

/** Contiguous records of one segment, and the offset after them. */
interface BlobBatch {
  end: number;
  readonly records: BlobRecord[];
}

/** Size of a segment, in bytes; a record never spans two. */
export const BLOB_SEGMENT_BYTES = 67_108_864;

const FILE_PREFIX = 'blobs-';
const OFFSET_DIGITS = 16;

function segmentName(start: number): string {
  return FILE_PREFIX + String(start).padStart(OFFSET_DIGITS, '0');
}

function segmentStart(offset: number): number {
  return offset - (offset % BLOB_SEGMENT_BYTES);
}

/**
 * Computes the position of the next record; deterministic, so it is the same on every replica.
 *
 * @param end end of the data so far, in bytes
 * @param length the record's payload length, in bytes
 */
export function placeBlob(
  end: number,
  length: number,
): {readonly end: number; readonly ref: BlobRef} {
  const total = RECORD_HEADER_BYTES + length;
  invariant(total <= BLOB_SEGMENT_BYTES, 'a record of %s bytes exceeds the segment size', length);
  const available = segmentStart(end) + BLOB_SEGMENT_BYTES - end;
  const offset = total <= available ? end : segmentStart(end) + BLOB_SEGMENT_BYTES;
  return {end: offset + total, ref: {length, offset}};
}

/** The bulk data of one replica. Appends must not run concurrently. */
export class StorageBlobs {
  /** The truncation in progress; files are neither opened nor used during it. */
  private truncating: Promise<void> | undefined;
  private readonly dirty = new Set<number>();
  private readonly files = new Map<number, Promise<DiskFile>>();
  /** The latest sync; the next one starts after it. */
  private syncing: Promise<void> = Promise.resolve();
  /** File operations in progress. */
  private readonly operations = new Set<Promise<unknown>>();

  private constructor(
    private readonly disk: Disk,
    private endOffset: number,
  ) {}

  /** End of the data, in bytes. */
  get end(): number {
    return this.endOffset;
  }

  /**
   * Opens the segments and drops the data after the last snapshot.
   *
   * @param disk directory of the segments
   * @param end end of the data at that snapshot, in bytes
   */
  static async open(disk: Disk, end: number): Promise<StorageBlobs> {
    const blobs = new StorageBlobs(disk, end);
    // Before the truncation, which would extend a file that is too short with zeros.
    await blobs.checkLength();
    await blobs.truncateTo(end);
    return blobs;
  }

  /**
   * Writes a record at the position that the state machine computed. It can be read at once, and is durable after
   * {@link sync}.
   *
   * @param ref position from {@link placeBlob}
   * @param payload content
   */
  append(ref: BlobRef, payload: Uint8Array): Promise<void> {
    return this.appendAll([{payload, ref}]);
  }

  /**
   * Writes records at the positions that the state machine computed, with one write per segment.
   *
   * @param placed consecutive records
   */
  async appendAll(placed: readonly BlobRecord[]): Promise<void> {
    for (const {end, records} of this.batchBySegment(placed)) {
      const bytes = Buffer.concat(records.map(({payload}) => encodeRecord(0, payload)));
      await this.write(records[0]!.ref.offset, bytes);
      this.endOffset = end;
    }
  }

  /**
   * Reads a record.
   *
   * @param ref its position
   */
  async read(ref: BlobRef): Promise<Uint8Array> {
    const start = segmentStart(ref.offset);
    const length = RECORD_HEADER_BYTES + ref.length;
    const bytes = await this.withFile(start, (file) => file.read(ref.offset - start, length));
    const record = decodeRecord(bytes, 0);
    if (record === undefined || record.payload.length !== ref.length) {
      throw new CorruptionError(segmentName(start), ref.offset - start, 'checksum mismatch');
    }
    return record.payload;
  }

  /**
   * Reads raw bytes for a lagging replica. The bytes end at the end of the segment; when the segment has none at the
   * offset, they come from the start of the next one.
   *
   * @param offset first byte
   * @param maxBytes most bytes to return
   * @returns the bytes and their offset
   */
  async readRaw(
    offset: number,
    maxBytes: number,
  ): Promise<{readonly bytes: Uint8Array; readonly offset: number}> {
    const start = segmentStart(offset);
    const until = Math.min(this.endOffset, start + BLOB_SEGMENT_BYTES, offset + maxBytes);
    const bytes = await this.withFile(start, (file) => file.read(offset - start, until - offset));
    const next = start + BLOB_SEGMENT_BYTES;
    return bytes.length === 0 && next < this.endOffset
      ? this.readRaw(next, maxBytes)
      : {bytes, offset};
  }

  /**
   * Whether raw bytes may be appended at an offset: at the current end, or at the start of the next segment.
   *
   * @param offset first byte
   */
  continuesAt(offset: number): boolean {
    const nextSegment = segmentStart(this.endOffset) + BLOB_SEGMENT_BYTES;
    return offset === this.endOffset || offset === nextSegment;
  }

  /**
   * Appends raw bytes that another replica's {@link readRaw} returned.
   *
   * @param offset their offset: the current end or the start of the next segment
   * @param bytes content
   */
  async appendRaw(offset: number, bytes: Uint8Array): Promise<void> {
    invariant(
      this.continuesAt(offset),
      'raw bytes at offset %s are not contiguous with the end %s',
      offset,
      this.end,
    );
    await this.write(offset, bytes);
    this.endOffset = offset + bytes.length;
  }

  /**
   * Makes all appended data durable. Fails after an earlier sync has failed, as the operating system may have discarded
   * the data that it could not write then.
   */
  sync(): Promise<void> {
    // Syncs run one after another, so that a caller never continues while an earlier sync still covers its data.
    this.syncing = this.syncing.then(() => this.syncDirty());
    return this.syncing;
  }

  /**
   * Drops all data after an offset, such as the rest of an aborted transfer. The data before it that is not synced yet
   * stays due for the next {@link sync}.
   *
   * @param end new end of the data, in bytes
   */
  async truncateTo(end: number): Promise<void> {
    this.truncating = this.truncateExclusively(end).finally(() => {
      this.truncating = undefined;
    });
    await this.truncating;
  }

  /** Closes all files. */
  async close(): Promise<void> {
    const files = [...this.files.values()];
    this.files.clear();
    for (const file of files) {
      await (await file).close();
    }
  }

  /** Groups records by segment. */
  private batchBySegment(placed: readonly BlobRecord[]): readonly BlobBatch[] {
    const batches: BlobBatch[] = [];
    let end = this.endOffset;
    for (const record of placed) {
      const next = placeBlob(end, record.payload.length);
      const {offset} = record.ref;
      invariant(
        next.ref.offset === offset,
        'blob placed at offset %s, but the data ends at %s',
        offset,
        end,
      );
      const last = batches.at(-1);
      if (last !== undefined && last.end === offset && offset !== segmentStart(offset)) {
        last.records.push(record);
        last.end = next.end;
      } else {
        batches.push({end: next.end, records: [record]});
      }
      ({end} = next);
    }
    return batches;
  }

  private async write(offset: number, bytes: Uint8Array): Promise<void> {
    const start = segmentStart(offset);
    await this.withFile(start, (file) => file.append(bytes));
    // Only after the write: a concurrent sync may have missed it, and the next one must cover it.
    this.dirty.add(start);
  }

  private async syncDirty(): Promise<void> {
    // Cleared before the syncs, so that segments written meanwhile are marked dirty again.
    const starts = [...this.dirty];
    this.dirty.clear();
    for (const start of starts) {
      await this.withFile(start, (file) => file.sync());
    }
    await this.disk.syncDirectory();
  }

  /**
   * Runs an operation on a segment's file. An open file keeps track of its own end, so a truncation waits for all
   * operations in progress, and new ones wait for the truncation.
   */
  private async withFile<Result>(
    start: number,
    operate: (file: DiskFile) => Promise<Result>,
  ): Promise<Result> {
    while (this.truncating !== undefined) {
      await this.truncating;
    }
    const operation = this.segment(start).then(operate);
    this.operations.add(operation);
    try {
      return await operation;
    } finally {
      this.operations.delete(operation);
    }
  }

  private async truncateExclusively(end: number): Promise<void> {
    await Promise.allSettled(this.operations);
    await this.close();
    for (const start of this.dirty) {
      if (start >= end) {
        this.dirty.delete(start);
      }
    }
    await this.truncateFiles(end);
    this.endOffset = end;
  }

  private segment(start: number): Promise<DiskFile> {
    const file = this.files.get(start) ?? this.disk.open(segmentName(start));
    this.files.set(start, file);
    return file;
  }

  /** Fails if the last segment is shorter than the snapshot requires, which means corruption. */
  private async checkLength(): Promise<void> {
    const start = segmentStart(Math.max(0, this.endOffset - 1));
    const last = this.endOffset - start - 1;
    if (last < 0) {
      return;
    }
    const byte = await this.withFile(start, (file) => file.read(last, 1));
    if (byte.length !== 1) {
      throw new CorruptionError(segmentName(start), last, 'segment too short');
    }
  }

  private async truncateFiles(end: number): Promise<void> {
    for (const name of await this.disk.list()) {
      if (!name.startsWith(FILE_PREFIX)) {
        continue;
      }
      const start = Number(name.slice(FILE_PREFIX.length));
      const content = start >= end ? 0 : Math.min(end - start, BLOB_SEGMENT_BYTES);
      if (content === 0) {
        await this.disk.remove(name);
      } else if (content < BLOB_SEGMENT_BYTES) {
        await this.disk.truncate(name, content);
      }
    }
    await this.disk.syncDirectory();
  }
}
