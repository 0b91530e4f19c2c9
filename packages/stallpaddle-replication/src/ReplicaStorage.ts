/**
 * A replica's disk: log records and snapshots, decoded.
 */
import type {Disk} from 'stallpaddle-storage';

import {decodeValue, encodeValue} from 'stallpaddle';
import {
  isLogName,
  readSnapshot,
  SNAPSHOT_FILE,
  StorageLog,
  writeSnapshot,
} from 'stallpaddle-storage';

import type {GroupMembers, HardState, LogEntry, SnapshotMeta} from './ReplicationTypes';

import {EMPTY_SNAPSHOT, ReplicationLog} from './ReplicationLog';

/** One synced write. */
export interface LogRecord {
  readonly entries: readonly LogEntry[];
  readonly hardState: HardState;
}

/** State of the machine at a place in the log. */
export interface MachineSnapshot {
  readonly machine: Uint8Array;
  readonly meta: SnapshotMeta;
}

/** What a restart finds. */
export interface LoadedReplica {
  readonly hardState: HardState;
  readonly log: ReplicationLog;
  /** Number of log entries to apply again, at most. */
  readonly replay: number;
  readonly snapshot: MachineSnapshot | undefined;
  readonly storage: ReplicaStorage;
}

const FIRST_HARD_STATE: HardState = {term: 0, votedFor: null};

function mergeEntries(known: LogEntry[], added: readonly LogEntry[]): void {
  const first = added[0];
  if (first === undefined) {
    return;
  }
  while (known.length > 0 && known.at(-1)!.index >= first.index) {
    known.pop();
  }
  known.push(...added);
}

/** Entries that continue the snapshot; none when the log belongs to another history. */
function entriesAfter(meta: SnapshotMeta, entries: readonly LogEntry[]): readonly LogEntry[] {
  const atSnapshot = entries.find((entry) => entry.index === meta.index);
  if (atSnapshot !== undefined && atSnapshot.term !== meta.term) {
    return [];
  }
  const after = entries.filter((entry) => entry.index > meta.index);
  return after[0]?.index === meta.index + 1 ? after : [];
}

/** Writes of one replica; calls must come one after another. */
export class ReplicaStorage {
  private constructor(
    private readonly disk: Disk,
    private readonly log: StorageLog,
  ) {}

  /** Bytes of the present log file. */
  get logBytes(): number {
    return this.log.bytes;
  }

  /**
   * Reads what the disk holds.
   *
   * @param disk folder of the replica
   */
  static async load(disk: Disk): Promise<LoadedReplica> {
    const bytes = await readSnapshot(disk);
    const snapshot = bytes === undefined ? undefined : decodeValue<MachineSnapshot>(bytes);
    const {log, payloads} = await StorageLog.open(disk);
    let hardState = FIRST_HARD_STATE;
    const entries: LogEntry[] = [];
    for (const payload of payloads) {
      const record = decodeValue<LogRecord>(payload);
      hardState = record.hardState;
      mergeEntries(entries, record.entries);
    }
    const meta = snapshot?.meta ?? EMPTY_SNAPSHOT;
    const after = entriesAfter(meta, entries);
    return {
      hardState,
      log: ReplicationLog.restore(meta, after),
      replay: after.length,
      snapshot,
      storage: new ReplicaStorage(disk, log),
    };
  }

  /**
   * Makes an empty disk a member of a new group.
   *
   * @param disk folder of the replica; holds none yet
   * @param machine the state machine's encoded first state
   * @param members the group's first members
   */
  static async initialize(disk: Disk, machine: Uint8Array, members: GroupMembers): Promise<void> {
    const snapshot: MachineSnapshot = {machine, meta: {index: 0, members, term: 0}};
    await writeSnapshot(disk, encodeValue(snapshot));
  }

  /**
   * Members that the disk's snapshot names, or undefined when the disk belongs to no group yet.
   *
   * @param disk folder of the replica
   */
  static async storedMembers(disk: Disk): Promise<GroupMembers | undefined> {
    const bytes = await readSnapshot(disk);
    return bytes === undefined ? undefined : decodeValue<MachineSnapshot>(bytes).meta.members;
  }

  /**
   * Whether the disk has ever held a replica; files of a founding that a crash cut short don't count.
   *
   * @param disk folder of the replica
   */
  static async isUsed(disk: Disk): Promise<boolean> {
    const names = await disk.list();
    return names.some((name) => name === SNAPSHOT_FILE || isLogName(name));
  }

  /**
   * Writes and syncs one record.
   *
   * @param record term, vote and entries
   */
  async append(record: LogRecord): Promise<void> {
    await this.log.append(encodeValue(record));
  }

  /**
   * Replaces the snapshot. The log still holds what it held.
   *
   * @param snapshot new snapshot; bulk data it refers to must be synced
   */
  async saveSnapshot(snapshot: MachineSnapshot): Promise<void> {
    await writeSnapshot(this.disk, encodeValue(snapshot));
  }

  /**
   * Replaces the log by what a snapshot doesn't cover.
   *
   * @param record term, vote and remaining entries
   */
  async restartLog(record: LogRecord): Promise<void> {
    await this.log.restart(encodeValue(record));
  }

  /** Closes the files. */
  async close(): Promise<void> {
    await this.log.close();
  }
}

/**
 * Adds to a batch that is not written yet.
 *
 * @param batch entries gathered so far; changed in place
 * @param added consecutive entries that may replace the batch's last ones
 */
export function addToBatch(batch: LogEntry[], added: readonly LogEntry[]): void {
  mergeEntries(batch, added);
}
