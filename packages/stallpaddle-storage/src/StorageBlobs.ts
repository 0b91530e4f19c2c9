/**
 * Append-only segment files for bulk data that a state machine refers to.
 *
 * Replicas apply the same entries in the same order, and where a record goes depends only on what
 * went before. So offsets are the same on all replicas, references may stand in replicated state,
 * and a replica that lags needs just the bytes after its own end. Until a snapshot nothing is
 * synced: the log still holds the data, and a restart writes it again.
 */
import {invariant} from 'stallpaddle';

import type {Disk, DiskFile} from './StorageDisk';

import {CorruptionError} from './StorageErrors';
import {decodeRecord, encodeRecord, RECORD_HEADER_BYTES} from './StorageRecord';

/** Where a record lies: offset over all segments, and payload length, both in bytes. */
export interface BlobRef {
  readonly length: number;
  readonly offset: number;
}

/** A record with its place. */
export interface BlobRecord {
  readonly payload: Uint8Array;
  readonly ref: BlobRef;
}

/** Records without a gap between them, and where they end. */
interface BlobRun {
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
 * Where the next record goes; the same on every replica.
 *
 * @param end end of the data so far, in bytes
 * @param length the record's payload length, in bytes
 */
export function placeBlob(
  end: number,
  length: number,
): {readonly end: number; readonly ref: BlobRef} {
  const total = RECORD_HEADER_BYTES + length;
  invariant(total <= BLOB_SEGMENT_BYTES, 'a record of %s bytes is larger than a segment', length);
  const room = segmentStart(end) + BLOB_SEGMENT_BYTES - end;
  const offset = total <= room ? end : segmentStart(end) + BLOB_SEGMENT_BYTES;
  return {end: offset + total, ref: {length, offset}};
}

/** The segments of one replica. Appends must come one after another. */
export class StorageBlobs {
  /** The cut that runs; files are neither opened nor used beside it. */
  private cutting: Promise<void> | undefined;
  private readonly dirty = new Set<number>();
  private readonly files = new Map<number, Promise<DiskFile>>();
  /** The latest sync; the next begins once it has ended. */
  private syncing: Promise<void> = Promise.resolve();
  /** Uses of files under way. */
  private readonly uses = new Set<Promise<unknown>>();

  private constructor(
    private readonly disk: Disk,
    private endOffset: number,
  ) {}

  /** End of the data, in bytes. */
  get end(): number {
    return this.endOffset;
  }

  /**
   * Opens the segments and drops what came after the last snapshot.
   *
   * @param disk folder of the segments
   * @param end end of the data at that snapshot, in bytes
   */
  static async open(disk: Disk, end: number): Promise<StorageBlobs> {
    const blobs = new StorageBlobs(disk, end);
    // Before the cut: on a file that is too short it would add zeros.
    await blobs.checkLength();
    await blobs.truncateTo(end);
    return blobs;
  }

  /**
   * Writes a record at the place that the state machine gave it. It may be read at once, and is
   * synced by {@link sync}.
   *
   * @param ref place from {@link placeBlob}
   * @param payload content
   */
  append(ref: BlobRef, payload: Uint8Array): Promise<void> {
    return this.appendAll([{payload, ref}]);
  }

  /**
   * Writes records at the places that the state machine gave them, with one write for each segment: a write costs the
   * process a turn, whatever its size.
   *
   * @param placed records that follow each other
   */
  async appendAll(placed: readonly BlobRecord[]): Promise<void> {
    for (const {end, records} of this.runsOf(placed)) {
      const bytes = Buffer.concat(records.map(({payload}) => encodeRecord(0, payload)));
      await this.write(records[0]!.ref.offset, bytes);
      this.endOffset = end;
    }
  }

  /**
   * Reads a record.
   *
   * @param ref its place
   */
  async read(ref: BlobRef): Promise<Uint8Array> {
    const start = segmentStart(ref.offset);
    const length = RECORD_HEADER_BYTES + ref.length;
    const bytes = await this.use(start, (file) => file.read(ref.offset - start, length));
    const record = decodeRecord(bytes, 0);
    if (record === undefined || record.payload.length !== ref.length) {
      throw new CorruptionError(segmentName(start), ref.offset - start, 'the checksum differs');
    }
    return record.payload;
  }

  /**
   * Reads raw bytes for a replica that lags; ends at the segment's end, and goes on with the next
   * segment where the one asked for has no more.
   *
   * @param offset first byte wanted
   * @param most most bytes to return
   * @returns bytes and where they begin
   */
  async readRaw(
    offset: number,
    most: number,
  ): Promise<{readonly bytes: Uint8Array; readonly offset: number}> {
    const start = segmentStart(offset);
    const until = Math.min(this.endOffset, start + BLOB_SEGMENT_BYTES, offset + most);
    const bytes = await this.use(start, (file) => file.read(offset - start, until - offset));
    const next = start + BLOB_SEGMENT_BYTES;
    return bytes.length === 0 && next < this.endOffset ? this.readRaw(next, most) : {bytes, offset};
  }

  /**
   * Whether raw bytes at an offset continue the data: at the present end, or at the next segment.
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
   * @param offset where they begin; a segment's start or the present end
   * @param bytes content
   */
  async appendRaw(offset: number, bytes: Uint8Array): Promise<void> {
    invariant(this.continuesAt(offset), 'raw bytes at %s do not follow %s', offset, this.end);
    await this.write(offset, bytes);
    this.endOffset = offset + bytes.length;
  }

  /**
   * Syncs all that was appended. After a sync that failed this one fails too: what the disk didn't take then, it may
   * have given up.
   */
  sync(): Promise<void> {
    // One after another: a second caller must not go on while the first one's sync still runs.
    this.syncing = this.syncing.then(() => this.syncDirty());
    return this.syncing;
  }

  /**
   * Drops everything after an offset: what an unfinished transfer left behind. What stays is synced as before, by the
   * next {@link sync}.
   *
   * @param end new end of the data, in bytes
   */
  async truncateTo(end: number): Promise<void> {
    this.cutting = this.cutAlone(end).finally(() => {
      this.cutting = undefined;
    });
    await this.cutting;
  }

  /** Closes all files. */
  async close(): Promise<void> {
    const files = [...this.files.values()];
    this.files.clear();
    for (const file of files) {
      await (await file).close();
    }
  }

  /** Records that lie in one segment, one run after the other, with the end of each. */
  private runsOf(placed: readonly BlobRecord[]): readonly BlobRun[] {
    const runs: BlobRun[] = [];
    let end = this.endOffset;
    for (const record of placed) {
      const next = placeBlob(end, record.payload.length);
      const {offset} = record.ref;
      invariant(next.ref.offset === offset, 'blob placed at %s, end is %s', offset, end);
      const last = runs.at(-1);
      if (last !== undefined && last.end === offset && offset !== segmentStart(offset)) {
        last.records.push(record);
        last.end = next.end;
      } else {
        runs.push({end: next.end, records: [record]});
      }
      ({end} = next);
    }
    return runs;
  }

  private async write(offset: number, bytes: Uint8Array): Promise<void> {
    const start = segmentStart(offset);
    await this.use(start, (file) => file.append(bytes));
    // Only now: a sync that ran beside the write may have missed it, and the next one must not.
    this.dirty.add(start);
  }

  private async syncDirty(): Promise<void> {
    // What is appended while this runs is dirty again.
    const starts = [...this.dirty];
    this.dirty.clear();
    for (const start of starts) {
      await this.use(start, (file) => file.sync());
    }
    await this.disk.syncDirectory();
  }

  /** Uses a segment's file. A file knows its end from when it was opened, so a cut waits for all uses, and they for it. */
  private async use<Result>(
    start: number,
    task: (file: DiskFile) => Promise<Result>,
  ): Promise<Result> {
    while (this.cutting !== undefined) {
      await this.cutting;
    }
    const use = this.segment(start).then(task);
    this.uses.add(use);
    try {
      return await use;
    } finally {
      this.uses.delete(use);
    }
  }

  private async cutAlone(end: number): Promise<void> {
    await Promise.allSettled(this.uses);
    await this.close();
    for (const start of this.dirty) {
      if (start >= end) {
        this.dirty.delete(start);
      }
    }
    await this.cut(end);
    this.endOffset = end;
  }

  private segment(start: number): Promise<DiskFile> {
    const file = this.files.get(start) ?? this.disk.open(segmentName(start));
    this.files.set(start, file);
    return file;
  }

  /** A synced segment that is shorter than the snapshot says was damaged. */
  private async checkLength(): Promise<void> {
    const start = segmentStart(Math.max(0, this.endOffset - 1));
    const last = this.endOffset - start - 1;
    if (last < 0) {
      return;
    }
    const found = await this.use(start, (file) => file.read(last, 1));
    if (found.length !== 1) {
      throw new CorruptionError(segmentName(start), last, 'the segment is too short');
    }
  }

  private async cut(end: number): Promise<void> {
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
