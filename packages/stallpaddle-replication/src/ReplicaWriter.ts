/**
 * Group commit for the log of a replica.
 */
import type {ReplicaStorage} from './ReplicaStorage';
import type {HardState, LogEntry, LogIndex, Message, Term} from './ReplicationTypes';

import {addToBatch} from './ReplicaStorage';

/** Dependencies and callbacks of the writer. */
export interface ReplicaWriterOptions {
  readonly onFailure: (err: unknown) => void;
  /** Called when all entries up to an index are synced. */
  readonly onPersisted: (index: LogIndex, term: Term) => void;
  readonly send: (message: Message) => void;
  readonly storage: ReplicaStorage;
}

interface WriteBatch {
  readonly entries: LogEntry[];
  hardState: HardState | undefined;
  readonly sends: Message[];
}

function emptyBatch(): WriteBatch {
  return {entries: [], hardState: undefined, sends: []};
}

/**
 * Writes log entries with group commit: everything that arrives during a sync is written with the next one. Messages
 * that depend on a write are sent after its sync.
 */
export class ReplicaWriter {
  private batch = emptyBatch();
  private stopped = false;
  private syncCount = 0;
  private lastCommit = 0;
  private work: Promise<void> = Promise.resolve();
  private writing = false;

  /**
   * @param options dependencies and callbacks
   */
  constructor(private readonly options: ReplicaWriterOptions) {}

  /** Whether the writer has been stopped. */
  get isStopped(): boolean {
    return this.stopped;
  }

  /** Size of the current log file, in bytes. */
  get logBytes(): number {
    return this.options.storage.logBytes;
  }

  /** Number of completed syncs. */
  get syncs(): number {
    return this.syncCount;
  }

  /** Commit index in the newest write, completed or not. */
  get recordedCommit(): LogIndex {
    return this.lastCommit;
  }

  /**
   * Adds to the next write.
   *
   * @param hardState term and vote
   * @param entries entries, if any; they replace any at the same or a later index
   */
  add(hardState: HardState, entries: readonly LogEntry[]): void {
    this.lastCommit = hardState.commit ?? this.lastCommit;
    this.batch.hardState = hardState;
    addToBatch(this.batch.entries, entries);
  }

  /**
   * Sends a message at once, or after the pending writes if it depends on them.
   *
   * @param message the message
   * @param afterPersist whether it depends on earlier writes
   */
  send(message: Message, afterPersist: boolean): void {
    const mustWait = afterPersist && (this.writing || this.batch.hardState !== undefined);
    if (mustWait) {
      this.batch.sends.push(message);
    } else {
      this.options.send(message);
    }
  }

  /** Starts writing the current batch, unless a write is in progress. */
  flush(): void {
    const hasWork = this.batch.hardState !== undefined || this.batch.sends.length > 0;
    if (hasWork && !this.writing && !this.stopped) {
      void this.runBetweenWrites(async () => {});
    }
  }

  /**
   * Runs a task between two writes, then writes the current batch.
   *
   * @param task the task; if it rejects, the replica stops
   */
  runBetweenWrites(task: () => Promise<void>): Promise<void> {
    this.writing = true;
    this.work = this.work.then(async () => {
      try {
        this.writing = true;
        await task();
        await this.writeBatches();
      } catch (err) {
        this.options.onFailure(err);
      } finally {
        this.writing = false;
      }
    });
    return this.work;
  }

  /**
   * Replaces the log. May only be called between writes.
   *
   * @param hardState term and vote
   * @param entries entries that the snapshot does not cover
   */
  async restartLog(hardState: HardState, entries: readonly LogEntry[]): Promise<void> {
    await this.options.storage.restartLog({entries, hardState});
    this.syncCount++;
  }

  /** Starts no further write. */
  stop(): void {
    this.stopped = true;
  }

  /** Waits for the write in progress and closes the files. */
  async close(): Promise<void> {
    this.stop();
    await this.work;
    await this.options.storage.close();
  }

  private async writeBatches(): Promise<void> {
    while (!this.stopped) {
      const {batch} = this;
      if (batch.hardState === undefined && batch.sends.length === 0) {
        return;
      }
      this.batch = emptyBatch();
      if (batch.hardState !== undefined) {
        const {entries, hardState} = batch;
        await this.options.storage.append({entries, hardState});
        this.syncCount++;
      }
      if (this.stopped) {
        return;
      }
      batch.sends.forEach((message) => this.options.send(message));
      const last = batch.entries.at(-1);
      if (last !== undefined) {
        this.options.onPersisted(last.index, last.term);
      }
    }
  }
}
