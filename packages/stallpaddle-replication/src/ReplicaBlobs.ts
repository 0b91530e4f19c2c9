/**
 * A replica's bulk data: one task at a time, in the order in which they were given, so that a read or a
 * snapshot finds all that was applied before it.
 */
import type {BlobRef, StorageBlobs} from 'stallpaddle-storage';

import {errorMessage} from 'stallpaddle';

import type {PlacedBlob} from './ReplicaMachine';

/** See the module's comment. */
export class ReplicaBlobs {
  private failure: Error | undefined;
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
    void this.cutTo(end);
    for (const {payload, ref} of placed) {
      void this.run(() => this.blobs.append(ref, payload));
    }
  }

  /**
   * Cuts off what was written without being applied, before a crash.
   *
   * @param end where the applied data ends
   */
  cutTo(end: number): Promise<void> {
    return this.run(async () => {
      if (this.blobs.end !== end) {
        await this.blobs.cutTo(end);
      }
    });
  }

  /**
   * Takes bulk data that comes before a snapshot.
   *
   * @param offset where it goes; anywhere but after the present end it is ignored
   * @param bytes content
   */
  install(offset: number, bytes: Uint8Array): Promise<void> {
    return this.run(async () => {
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
    await this.work;
    return this.blobs.read(ref);
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

  private run(task: () => Promise<void>): Promise<void> {
    this.work = this.work.then(task).catch((err: unknown) => {
      this.failure ??= err instanceof Error ? err : new Error(errorMessage(err));
      this.onFailure(err);
    });
    return this.work;
  }
}
