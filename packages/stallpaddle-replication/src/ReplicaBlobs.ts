/**
 * A replica's bulk data: one task at a time, in the order in which they were given, so that a snapshot finds all that was
 * applied before it. Pieces that come while a task runs are written together, and a read waits for no task: what is not
 * written yet is in memory. A read that waited for all writes before it took up to 8 s at a leader that gets more pieces in
 * a turn of its process than it can write one by one.
 */
import type {BlobRef, StorageBlobs} from 'stallpaddle-storage';

import {errorMessage} from 'stallpaddle';

import type {PlacedBlob} from './ReplicaMachine';

/** Pieces that are written together. */
interface Batch {
  readonly placed: PlacedBlob[];
  /** Where the data ended before the first of them. */
  readonly start: number;
}

/** See the module's comment. */
export class ReplicaBlobs {
  private failure: Error | undefined;
  /** The batch that waits for its turn and takes more pieces in. */
  private gathering: Batch | undefined;
  /** Pieces that are not written yet, by their places. */
  private readonly unwritten = new Map<number, Uint8Array>();
  private work: Promise<void> = Promise.resolve();

  /**
   * @param blobs the bulk data on the disk
   * @param onFailure called when the disk fails
   */
  constructor(
    private readonly blobs: StorageBlobs,
    private readonly onFailure: (err: unknown) => void,
  ) {}

  /** Where the bulk data ends now; tasks that wait may move it. */
  get end(): number {
    return this.blobs.end;
  }

  /** Resolves once all tasks given so far have ended. */
  settle(): Promise<void> {
    return this.work;
  }

  /**
   * Adds bulk data that a command brought.
   *
   * @param end where the data ended before the command
   * @param placed the data with its places
   */
  add(end: number, placed: readonly PlacedBlob[]): void {
    placed.forEach(({payload, ref}) => this.unwritten.set(ref.offset, payload));
    if (this.gathering !== undefined) {
      this.gathering.placed.push(...placed);
      return;
    }
    const batch: Batch = {placed: [...placed], start: end};
    this.gathering = batch;
    void this.run(() => this.write(batch));
  }

  /**
   * Cuts off what was written without being applied, before a crash.
   *
   * @param end where the applied data ends
   */
  cutTo(end: number): Promise<void> {
    return this.runApart(() => this.cut(end));
  }

  /**
   * Takes bulk data that comes before a snapshot.
   *
   * @param offset where it goes; anywhere but after the present end it is ignored
   * @param bytes content
   */
  install(offset: number, bytes: Uint8Array): Promise<void> {
    return this.runApart(async () => {
      if (this.blobs.continuesAt(offset)) {
        await this.blobs.appendRaw(offset, bytes);
      }
    });
  }

  /**
   * Reads one piece.
   *
   * @param ref its place, from the state
   */
  async read(ref: BlobRef): Promise<Uint8Array> {
    return this.unwritten.get(ref.offset) ?? this.blobs.read(ref);
  }

  /**
   * Reads bytes as they lie, for a snapshot.
   *
   * @param offset where they begin
   * @param most most bytes
   */
  readRaw(offset: number, most: number): ReturnType<StorageBlobs['readRaw']> {
    return this.blobs.readRaw(offset, most);
  }

  /** Makes all that was added so far last; fails once any of it could not be written. */
  async sync(): Promise<void> {
    await this.work;
    if (this.failure !== undefined) {
      // A snapshot saved now would name bytes that aren't there.
      throw this.failure;
    }
    await this.blobs.sync();
  }

  /** Ends all tasks and closes the files. */
  async close(): Promise<void> {
    await this.work;
    await this.blobs.close();
  }

  private async cut(end: number): Promise<void> {
    if (this.blobs.end !== end) {
      await this.blobs.cutTo(end);
    }
  }

  private async write(batch: Batch): Promise<void> {
    const {placed, start} = batch;
    if (this.gathering === batch) {
      this.gathering = undefined;
    }
    await this.cut(start);
    await this.blobs.appendAll(placed);
    for (const {payload, ref} of placed) {
      // After a cut the place may belong to another piece by now.
      if (this.unwritten.get(ref.offset) === payload) {
        this.unwritten.delete(ref.offset);
      }
    }
  }

  /** Runs a task after what has come so far; pieces that come later are written after it. */
  private runApart(task: () => Promise<void>): Promise<void> {
    this.gathering = undefined;
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
