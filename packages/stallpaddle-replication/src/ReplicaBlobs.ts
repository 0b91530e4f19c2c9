/**
 * Bulk data of a replica. Reads don't wait for pending writes, which are in memory: at a leader that received blobs faster
 * than it wrote them, a read that waited for all writes took up to 8 s.
 */
import type {BlobRef, StorageBlobs} from 'stallpaddle-storage';

import {errorMessage} from 'stallpaddle';

import type {PlacedBlob} from './ReplicaMachine';

/** Blobs that are written together. */
interface Batch {
  readonly placed: PlacedBlob[];
  /** End of the bulk data before the first blob of the batch. */
  readonly start: number;
}

/**
 * Writes and reads bulk data. Writes run one at a time and in order, so that a snapshot finds everything that was
 * applied before it. Blobs added during a write are written together afterwards, and reads never wait for writes: a
 * blob that is not written yet is served from memory.
 */
export class ReplicaBlobs {
  private failure: Error | undefined;
  /** The batch that is still queued and accepts more blobs. */
  private openBatch: Batch | undefined;
  /** Blobs that are not written yet, by offset. */
  private readonly unwritten = new Map<number, Uint8Array>();
  private work: Promise<void> = Promise.resolve();

  /**
   * @param blobs bulk data on the disk
   * @param onFailure called when a write fails
   */
  constructor(
    private readonly blobs: StorageBlobs,
    private readonly onFailure: (err: unknown) => void,
  ) {}

  /** Current end of the bulk data, in bytes; queued tasks may move it. */
  get end(): number {
    return this.blobs.end;
  }

  /** Resolves once all tasks queued so far have ended. */
  settle(): Promise<void> {
    return this.work;
  }

  /**
   * Adds the bulk data of an applied command.
   *
   * @param end end of the bulk data before the command
   * @param placed blobs with their locations
   */
  add(end: number, placed: readonly PlacedBlob[]): void {
    placed.forEach(({payload, ref}) => this.unwritten.set(ref.offset, payload));
    if (this.openBatch !== undefined) {
      this.openBatch.placed.push(...placed);
      return;
    }
    const batch: Batch = {placed: [...placed], start: end};
    this.openBatch = batch;
    void this.run(() => this.write(batch));
  }

  /**
   * Truncates bulk data that was written but whose commands were not applied before a crash.
   *
   * @param end end of the applied bulk data
   */
  truncateTo(end: number): Promise<void> {
    return this.runExclusive(() => this.truncate(end));
  }

  /**
   * Appends bulk data that is transferred ahead of a snapshot.
   *
   * @param offset offset of the data; ignored unless it continues the present data
   * @param bytes raw content
   */
  install(offset: number, bytes: Uint8Array): Promise<void> {
    return this.runExclusive(async () => {
      if (this.blobs.continuesAt(offset)) {
        await this.blobs.appendRaw(offset, bytes);
      }
    });
  }

  /**
   * Reads one blob.
   *
   * @param ref location of the blob
   */
  async read(ref: BlobRef): Promise<Uint8Array> {
    return this.unwritten.get(ref.offset) ?? this.blobs.read(ref);
  }

  /**
   * Reads raw bytes for a snapshot transfer.
   *
   * @param offset offset of the first byte
   * @param maxBytes maximum number of bytes
   */
  readRaw(offset: number, maxBytes: number): ReturnType<StorageBlobs['readRaw']> {
    return this.blobs.readRaw(offset, maxBytes);
  }

  /** Syncs everything added so far; fails if any earlier write has failed. */
  async sync(): Promise<void> {
    await this.work;
    if (this.failure !== undefined) {
      // A snapshot saved now would refer to missing bytes.
      throw this.failure;
    }
    await this.blobs.sync();
  }

  /** Waits for all tasks and closes the files. */
  async close(): Promise<void> {
    await this.work;
    await this.blobs.close();
  }

  private async truncate(end: number): Promise<void> {
    if (this.blobs.end !== end) {
      await this.blobs.truncateTo(end);
    }
  }

  private async write(batch: Batch): Promise<void> {
    const {placed, start} = batch;
    if (this.openBatch === batch) {
      this.openBatch = undefined;
    }
    await this.truncate(start);
    await this.blobs.appendAll(placed);
    for (const {payload, ref} of placed) {
      // After a truncation, the offset may belong to another blob.
      if (this.unwritten.get(ref.offset) === payload) {
        this.unwritten.delete(ref.offset);
      }
    }
  }

  /** Runs a task after everything queued so far; blobs added later are written after it. */
  private runExclusive(task: () => Promise<void>): Promise<void> {
    this.openBatch = undefined;
    return this.run(task);
  }

  private run(task: () => Promise<void>): Promise<void> {
    this.work = this.work.then(task).catch((err: unknown) => {
      this.failure ??= err instanceof Error ? err : new Error(errorMessage(err));
      this.onFailure(err);
    });
    return this.work;
  }
}
