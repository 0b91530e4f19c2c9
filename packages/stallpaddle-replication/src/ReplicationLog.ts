/**
 * In-memory part of a replicated log.
 */
import {invariant} from 'stallpaddle';

import type {GroupMembers, LogEntry, LogIndex, SnapshotMeta, Term} from './ReplicationTypes';

const NO_MEMBERS: GroupMembers = {learners: [], voters: []};

/** Position of an empty log without members. */
export const EMPTY_SNAPSHOT: SnapshotMeta = {index: 0, members: NO_MEMBERS, term: 0};

/** A membership entry and its index. */
interface MembersAt {
  readonly index: LogIndex;
  readonly members: GroupMembers;
}

/**
 * Size of the command of an entry, in bytes; 0 for other entries.
 *
 * @param entry the entry
 */
export function entryBytes(entry: LogEntry): number {
  return entry.payload.kind === 'command' ? entry.payload.data.length : 0;
}

/**
 * Immutable view of a log.
 *
 * Views share one backing array: the newest view appends in place, and older views never read past their own length.
 * Appending is thus O(1) and does not change what an older view contains.
 */
export class ReplicationLog {
  private constructor(
    readonly snapshot: SnapshotMeta,
    readonly firstIndex: LogIndex,
    private readonly prevTerm: Term,
    private readonly backing: LogEntry[],
    private readonly length: number,
    private readonly membersHistory: readonly MembersAt[],
  ) {}

  /**
   * Creates a log from stored data.
   *
   * @param snapshot position of the latest snapshot
   * @param entries consecutive entries; may include some that the snapshot covers
   */
  static restore(snapshot: SnapshotMeta, entries: readonly LogEntry[]): ReplicationLog {
    const held = entries.filter((entry) => entry.index > snapshot.index);
    const base = new ReplicationLog(snapshot, snapshot.index + 1, snapshot.term, [], 0, [
      {index: snapshot.index, members: snapshot.members},
    ]);
    return base.append(held);
  }

  /** Index of the last entry; `firstIndex - 1` if there is none. */
  get lastIndex(): LogIndex {
    return this.firstIndex + this.length - 1;
  }

  /** Term of the last entry, or of the position before the first entry. */
  get lastTerm(): Term {
    return this.length > 0 ? this.backing[this.length - 1]!.term : this.prevTerm;
  }

  /** Members in force after the last entry, committed or not. */
  get members(): GroupMembers {
    return this.membersHistory.at(-1)!.members;
  }

  /** Index of the entry or snapshot that set the current members. */
  get membersIndex(): LogIndex {
    return this.membersHistory.at(-1)!.index;
  }

  /**
   * Term at an index, or undefined if the log does not contain it.
   *
   * @param index index in the log
   */
  termAt(index: LogIndex): Term | undefined {
    if (index === this.firstIndex - 1) {
      return this.prevTerm;
    }
    if (index === this.snapshot.index) {
      return this.snapshot.term;
    }
    const offset = index - this.firstIndex;
    return offset >= 0 && offset < this.length ? this.backing[offset]!.term : undefined;
  }

  /**
   * Entries starting at an index. Stops once the size limit is reached, but returns at least one entry if there is one.
   *
   * @param from first index
   * @param maxBytes limit on the size of the commands, in bytes
   */
  entriesFrom(from: LogIndex, maxBytes: number): readonly LogEntry[] {
    const start = from - this.firstIndex;
    if (start < 0 || start >= this.length) {
      return [];
    }
    let end = start;
    let bytes = 0;
    while (end < this.length && (end === start || bytes < maxBytes)) {
      bytes += entryBytes(this.backing[end]!);
      end++;
    }
    return this.backing.slice(start, end);
  }

  /**
   * Members in force at an index that the log or its snapshot covers.
   *
   * @param index a committed index
   */
  membersAt(index: LogIndex): GroupMembers {
    return this.membersHistory.findLast((entry) => entry.index <= index)!.members;
  }

  /**
   * Appends entries.
   *
   * @param entries consecutive entries that start at `lastIndex + 1`
   */
  append(entries: readonly LogEntry[]): ReplicationLog {
    if (entries.length === 0) {
      return this;
    }
    invariant(
      entries[0]!.index === this.lastIndex + 1,
      'entry %s does not follow %s',
      entries[0]!.index,
      this.lastIndex,
    );
    const isNewest = this.backing.length === this.length;
    const backing = isNewest ? this.backing : this.backing.slice(0, this.length);
    const history: MembersAt[] = [];
    for (const entry of entries) {
      backing.push(entry);
      if (entry.payload.kind === 'members') {
        history.push({index: entry.index, members: entry.payload.members});
      }
    }
    return new ReplicationLog(
      this.snapshot,
      this.firstIndex,
      this.prevTerm,
      backing,
      backing.length,
      history.length > 0 ? [...this.membersHistory, ...history] : this.membersHistory,
    );
  }

  /**
   * Removes all entries from an index on.
   *
   * @param from first index to remove; must not be covered by the snapshot
   */
  truncateFrom(from: LogIndex): ReplicationLog {
    invariant(from > this.snapshot.index, 'truncation at %s cuts into a snapshot', from);
    if (from > this.lastIndex) {
      return this;
    }
    return new ReplicationLog(
      this.snapshot,
      this.firstIndex,
      this.prevTerm,
      this.backing.slice(0, from - this.firstIndex),
      from - this.firstIndex,
      this.membersHistory.filter((entry) => entry.index < from),
    );
  }

  /**
   * Records a snapshot and removes entries before an index.
   *
   * @param meta position of the snapshot
   * @param keepFrom index of the first entry to keep for replicas that lag slightly
   */
  compact(meta: SnapshotMeta, keepFrom: LogIndex): ReplicationLog {
    const first = Math.max(this.firstIndex, Math.min(keepFrom, meta.index + 1));
    const prevTerm = this.termAt(first - 1);
    invariant(prevTerm !== undefined, 'no term at %s', first - 1);
    const history = this.membersHistory.filter((entry) => entry.index > meta.index);
    return new ReplicationLog(
      meta,
      first,
      prevTerm,
      this.backing.slice(first - this.firstIndex, this.length),
      this.lastIndex - first + 1,
      [{index: meta.index, members: meta.members}, ...history],
    );
  }
}
