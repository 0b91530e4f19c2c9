/**
 * Writes a replica's log in groups: while one sync runs, everything that arrives gathers for the next.
 * Messages that speak for what was written leave only after its sync.
 */
import type {ReplicaStorage} from './ReplicaStorage';
import type {HardState, LogEntry, LogIndex, Message, Term} from './ReplicationTypes';

import {addToBatch} from './ReplicaStorage';

/** What the writer tells and uses. */
export interface ReplicaWriterOptions {
  readonly onFailure: (err: unknown) => void;
  /** Everything up to an entry is on the disk. */
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

/** See the module's comment. */
export class ReplicaWriter {
  private batch = emptyBatch();
  private stopped = false;
  private syncCount = 0;
  private lastCommit = 0;
  private work: Promise<void> = Promise.resolve();
  private writing = false;

  /**
   * @param options what the writer tells and uses
   */
  constructor(private readonly options: ReplicaWriterOptions) {}

  /** Whether nothing more is written. */
  get isStopped(): boolean {
    return this.stopped;
  }

  /** Bytes of the present log file. */
  get logBytes(): number {
    return this.options.storage.logBytes;
  }

  /** Syncs so far. */
  get syncs(): number {
    return this.syncCount;
  }

  /** Commit index that the newest write holds, or will. */
  get recordedCommit(): LogIndex {
    return this.lastCommit;
  }

  /**
   * Adds to the next write.
   *
   * @param hardState term and vote
   * @param entries entries, may be none; they replace any at the same or a later index
   */
  add(hardState: HardState, entries: readonly LogEntry[]): void {
    this.lastCommit = hardState.commit ?? this.lastCommit;
    this.batch.hardState = hardState;
    addToBatch(this.batch.entries, entries);
  }

  /**
   * Sends a message now, or after the writes that it speaks for.
   *
   * @param message the message
   * @param afterPersist whether it speaks for writes
   */
  send(message: Message, afterPersist: boolean): void {
    const mustWait = afterPersist && (this.writing || this.batch.hardState !== undefined);
    if (mustWait) {
      this.batch.sends.push(message);
    } else {
      this.options.send(message);
    }
  }

  /** Begins to write what has gathered, unless a write is under way. */
  flush(): void {
    const hasWork = this.batch.hardState !== undefined || this.batch.sends.length > 0;
    if (hasWork && !this.writing && !this.stopped) {
      void this.runBetweenWrites(async () => {});
    }
  }

  /**
   * Runs a task between two writes, then writes what has gathered.
   *
   * @param task must end the replica by rejecting when the disk is in doubt
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
   * Replaces the log; only between writes.
   *
   * @param hardState term and vote
   * @param entries what a snapshot doesn't cover
   */
  async restartLog(hardState: HardState, entries: readonly LogEntry[]): Promise<void> {
    await this.options.storage.restartLog({entries, hardState});
    this.syncCount++;
  }

  /** Writes nothing more. */
  stop(): void {
    this.stopped = true;
  }

  /** Waits for the write under way and closes the files. */
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
