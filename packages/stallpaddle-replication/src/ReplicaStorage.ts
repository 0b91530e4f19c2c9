/**
 * Stored log records and snapshots of a replica.
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

/** Content of one synced write. */
export interface LogRecord {
  readonly entries: readonly LogEntry[];
  readonly hardState: HardState;
}

/** Encoded state of the state machine at a log position. */
export interface MachineSnapshot {
  readonly machine: Uint8Array;
  readonly meta: SnapshotMeta;
}

/** Stored data of a replica, read at its start. */
export interface LoadedReplica {
  readonly hardState: HardState;
  readonly log: ReplicationLog;
  /** Maximum number of log entries to apply again. */
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

/** Entries that follow the snapshot; none if the log diverges from it. */
function entriesAfter(meta: SnapshotMeta, entries: readonly LogEntry[]): readonly LogEntry[] {
  const atSnapshot = entries.find((entry) => entry.index === meta.index);
  if (atSnapshot !== undefined && atSnapshot.term !== meta.term) {
    return [];
  }
  const after = entries.filter((entry) => entry.index > meta.index);
  return after[0]?.index === meta.index + 1 ? after : [];
}

/** Reads and writes the files of one replica. Writes must not overlap. */
export class ReplicaStorage {
  private constructor(
    private readonly disk: Disk,
    private readonly log: StorageLog,
  ) {}

  /** Size of the current log file, in bytes. */
  get logBytes(): number {
    return this.log.bytes;
  }

  /**
   * Reads the stored data of a replica.
   *
   * @param disk data folder of the replica
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
   * Writes the initial snapshot of a new group to an empty disk.
   *
   * @param disk data folder without a replica
   * @param machine encoded initial state of the state machine
   * @param members initial members of the group
   */
  static async initialize(disk: Disk, machine: Uint8Array, members: GroupMembers): Promise<void> {
    const snapshot: MachineSnapshot = {machine, meta: {index: 0, members, term: 0}};
    await writeSnapshot(disk, encodeValue(snapshot));
  }

  /**
   * Members in the stored snapshot, or undefined if the disk belongs to no group yet.
   *
   * @param disk data folder of the replica
   */
  static async storedMembers(disk: Disk): Promise<GroupMembers | undefined> {
    const bytes = await readSnapshot(disk);
    return bytes === undefined ? undefined : decodeValue<MachineSnapshot>(bytes).meta.members;
  }

  /**
   * Whether the disk has ever held a replica. Temporary files of an initialization that a crash interrupted do not
   * count.
   *
   * @param disk data folder of the replica
   */
  static async isUsed(disk: Disk): Promise<boolean> {
    const names = await disk.list();
    return names.some((name) => name === SNAPSHOT_FILE || isLogName(name));
  }

  /**
   * Writes and syncs one record.
   *
   * @param record hard state and entries
   */
  async append(record: LogRecord): Promise<void> {
    await this.log.append(encodeValue(record));
  }

  /**
   * Replaces the snapshot; the log is left unchanged.
   *
   * @param snapshot new snapshot; the bulk data it refers to must be synced
   */
  async saveSnapshot(snapshot: MachineSnapshot): Promise<void> {
    await writeSnapshot(this.disk, encodeValue(snapshot));
  }

  /**
   * Replaces the log by one record.
   *
   * @param record hard state, and the entries that the snapshot does not cover
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
 * Adds entries to a batch that is not written yet.
 *
 * @param batch entries of the batch; changed in place
 * @param added consecutive entries; replace those of the batch at the same or a later index
 */
export function addToBatch(batch: LogEntry[], added: readonly LogEntry[]): void {
  mergeEntries(batch, added);
}
