/**
 * The part of the log that a replica holds in memory, as an immutable view.
 *
 * Views share one backing array: appending to the newest view adds in place, and older views never
 * look past their own length. Appending is thus O(1) without changing what an older view shows.
 */
import {invariant} from 'stallpaddle';

import type {GroupMembers, LogEntry, LogIndex, SnapshotMeta, Term} from './ReplicationTypes';

const NO_MEMBERS: GroupMembers = {learners: [], voters: []};

/** Place of a log that holds nothing and knows no members. */
export const EMPTY_SNAPSHOT: SnapshotMeta = {index: 0, members: NO_MEMBERS, term: 0};

/** Index and content of a membership entry. */
interface MembersAt {
  readonly index: LogIndex;
  readonly members: GroupMembers;
}

/**
 * Size of an entry's command, in bytes; 0 for other entries.
 *
 * @param entry the entry
 */
export function entryBytes(entry: LogEntry): number {
  return entry.payload.kind === 'command' ? entry.payload.data.length : 0;
}

/** Immutable view of a log; see the module's comment. */
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
   * Makes a log from what the disk held.
   *
   * @param snapshot place of the latest snapshot
   * @param entries consecutive entries; those the snapshot covers may be among them
   */
  static restore(snapshot: SnapshotMeta, entries: readonly LogEntry[]): ReplicationLog {
    const held = entries.filter((entry) => entry.index > snapshot.index);
    const base = new ReplicationLog(snapshot, snapshot.index + 1, snapshot.term, [], 0, [
      {index: snapshot.index, members: snapshot.members},
    ]);
    return base.append(held);
  }

  /** Index of the last entry; `firstIndex - 1` when none is held. */
  get lastIndex(): LogIndex {
    return this.firstIndex + this.length - 1;
  }

  /** Term of the last entry, or of the place before the first. */
  get lastTerm(): Term {
    return this.length > 0 ? this.backing[this.length - 1]!.term : this.prevTerm;
  }

  /** Members after the last entry, committed or not. */
  get members(): GroupMembers {
    return this.membersHistory.at(-1)!.members;
  }

  /** Index of the entry that set the members, or the snapshot's. */
  get membersIndex(): LogIndex {
    return this.membersHistory.at(-1)!.index;
  }

  /**
   * Term at a place, or undefined when it is not held.
   *
   * @param index a place in the log
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
   * Entries from a place on, at most so many bytes of commands, but one entry at least.
   *
   * @param from first index
   * @param maxBytes bound on the commands' bytes
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
   * Members in force at an index that the log still covers.
   *
   * @param index a committed place
   */
  membersAt(index: LogIndex): GroupMembers {
    return this.membersHistory.findLast((known) => known.index <= index)!.members;
  }

  /**
   * Adds entries after the last one.
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
    const shares = this.backing.length === this.length;
    const backing = shares ? this.backing : this.backing.slice(0, this.length);
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
   * Drops all entries from an index on.
   *
   * @param from first index to drop; never one that a snapshot covers
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
      this.membersHistory.filter((known) => known.index < from),
    );
  }

  /**
   * Records a snapshot and forgets entries before a place.
   *
   * @param meta the snapshot's place
   * @param keepFrom first entry to keep for replicas that lag a little
   */
  compact(meta: SnapshotMeta, keepFrom: LogIndex): ReplicationLog {
    const first = Math.max(this.firstIndex, Math.min(keepFrom, meta.index + 1));
    const prevTerm = this.termAt(first - 1);
    invariant(prevTerm !== undefined, 'no term at %s', first - 1);
    const history = this.membersHistory.filter((known) => known.index > meta.index);
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
