/**
 * The follower's side of log replication.
 */
import type {MonotonicMs} from 'stallpaddle';

import {invariant} from 'stallpaddle';

import type {ReplicationDraft} from './ReplicationDraft';
import type {
  LogEntry,
  Message,
  MessageBody,
  ReplicationState,
  SnapshotMeta,
  Term,
} from './ReplicationTypes';

import {$becomeFollower, $enterTerm, $persist, $resetElection, $send} from './ReplicationDraft';
import {$applyCommitted} from './ReplicationLeader';
import {ReplicationLog} from './ReplicationLog';

type Append = Extract<MessageBody, {kind: 'append'}>;

/** Most by which two steady clocks part, as a fraction: ten times what quartz clocks do. */
const CLOCK_DRIFT = 0.001;

function $heedLeader(draft: ReplicationDraft, message: Message): void {
  if (message.term > draft.term) {
    $enterTerm(draft, message.term, message.from);
  } else {
    $becomeFollower(draft, message.from);
  }
  draft.heardLeaderAt = draft.now;
  $resetElection(draft);
}

/** Entries that this log lacks, after any that conflict were cut off. */
function $mergeEntries(draft: ReplicationDraft, entries: readonly LogEntry[]): readonly LogEntry[] {
  const {log} = draft;
  const firstNew = entries.findIndex(
    (entry) => entry.index > log.snapshot.index && log.termAt(entry.index) !== entry.term,
  );
  if (firstNew < 0) {
    return [];
  }
  const added = entries.slice(firstNew);
  const from = added[0]!.index;
  invariant(from > draft.commit, 'entry %s would replace a committed one', from);
  draft.log = log.truncateFrom(from).append(added);
  draft.persisted = Math.min(draft.persisted, from - 1);
  $persist(draft, added);
  return added;
}

/**
 * Takes in a leader's word that it lives. The answer speaks for nothing that was written, so it waits for no disk.
 *
 * @param draft draft of the running step
 * @param message the word
 * @param sentAt when it was sent
 */
export function $onAlive(draft: ReplicationDraft, message: Message, sentAt: MonotonicMs): void {
  if (message.term >= draft.term) {
    $heedLeader(draft, message);
  }
  $send(draft, message.from, {kind: 'aliveReply', sentAt}, false);
}

/**
 * Takes in entries or a heartbeat from the leader.
 *
 * @param draft draft of the running step
 * @param message the append
 * @param append its body
 */
export function $onAppend(draft: ReplicationDraft, message: Message, append: Append): void {
  const {sentAt} = append;
  if (message.term < draft.term) {
    $send(draft, message.from, {kind: 'appendReply', lastIndex: 0, ok: false, sentAt}, false);
    return;
  }
  $heedLeader(draft, message);
  const {log} = draft;
  const covered = append.prevIndex < log.snapshot.index;
  if (!covered && log.termAt(append.prevIndex) !== append.prevTerm) {
    // Committed entries match every leader's: nothing before them needs to be tried.
    const lastIndex = Math.max(draft.commit, Math.min(append.prevIndex - 1, log.lastIndex));
    $send(draft, message.from, {kind: 'appendReply', lastIndex, ok: false, sentAt}, true);
    return;
  }
  $mergeEntries(draft, append.entries);
  const lastSent = append.prevIndex + append.entries.length;
  const lastIndex = covered ? Math.max(lastSent, log.snapshot.index) : lastSent;
  $send(draft, message.from, {kind: 'appendReply', lastIndex, ok: true, sentAt}, true);
  const commit = Math.min(append.commit, lastIndex);
  if (commit > draft.commit) {
    draft.commit = commit;
    $applyCommitted(draft);
  }
  $noteComplete(draft, message.term, append);
}

/**
 * Notes as of when this replica holds all that its leader has committed: an append tells what was committed when it was
 * sent. One that a cut or a freeze held up is told from others by the two clocks, whose distance hardly changes.
 */
function $noteComplete(draft: ReplicationDraft, term: Term, {commit, sentAt}: Append): void {
  const {leaderClock, now} = draft;
  const apartMs = now - sentAt;
  const known = leaderClock?.term === term ? leaderClock : null;
  const driftMs = known === null ? 0 : (now - known.seenAt) * CLOCK_DRIFT;
  const leastMs = Math.min(apartMs, known === null ? Infinity : known.leastMs + driftMs);
  draft.leaderClock = {leastMs, seenAt: now, term};
  // To a replica that lacks a snapshot the leader names no commit at all.
  if (known !== null && commit > 0 && commit <= draft.commit) {
    draft.completeAt = Math.max(draft.completeAt, now - (apartMs - leastMs));
  }
}

/**
 * Whether a snapshot would bring this replica anything. One whose place the log already holds must
 * not replace it: entries after that place may count towards a majority.
 *
 * @param state a replica's state
 * @param meta the snapshot's place
 */
export function wantsSnapshot(state: ReplicationState, meta: SnapshotMeta): boolean {
  const isNew = state.log.members.voters.length === 0;
  return isNew || (meta.index > state.commit && state.log.termAt(meta.index) !== meta.term);
}

/**
 * Takes over a snapshot that the driver has received, checked and synced.
 *
 * @param draft draft of the running step
 * @param meta its place
 * @param term term of the leader that sent it
 */
export function $onSnapshotInstalled(
  draft: ReplicationDraft,
  meta: SnapshotMeta,
  term: Term,
): void {
  if (term > draft.term) {
    $enterTerm(draft, term, null);
  }
  if (!wantsSnapshot(draft, meta)) {
    return;
  }
  draft.log = ReplicationLog.restore(meta, []);
  draft.commit = meta.index;
  draft.applied = meta.index;
  draft.persisted = meta.index;
  draft.heardLeaderAt = draft.now;
  $resetElection(draft);
}
