/**
 * Log replication on a follower.
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

/**
 * Maximum number of remembered acknowledgements. A follower that has none to refer to can't bound its staleness, and
 * reads go to the leader.
 */
const MAX_ACKED_APPENDS = 256;

function $acceptLeader(draft: ReplicationDraft, message: Message): void {
  if (message.term > draft.term) {
    $enterTerm(draft, message.term, message.from);
  } else {
    $becomeFollower(draft, message.from);
  }
  draft.leaderContactAt = draft.now;
  $resetElection(draft);
}

/** Appends the entries that the log lacks and returns them; conflicting entries are truncated first. */
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
  invariant(from > draft.commit, 'entry %s conflicts with a committed entry', from);
  draft.log = log.truncateFrom(from).append(added);
  draft.persisted = Math.min(draft.persisted, from - 1);
  $persist(draft, added);
  return added;
}

/**
 * Handles an `alive` message. The reply depends on no write, so it is sent at once.
 *
 * @param draft draft of the running step
 * @param message the message
 * @param sentAt when it was sent
 */
export function $onAlive(draft: ReplicationDraft, message: Message, sentAt: MonotonicMs): void {
  if (message.term >= draft.term) {
    $acceptLeader(draft, message);
  }
  $send(draft, message.from, {kind: 'aliveReply', sentAt}, false);
}

/**
 * Handles an append or heartbeat of the leader.
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
  $acceptLeader(draft, message);
  const {log} = draft;
  const covered = append.prevIndex < log.snapshot.index;
  if (!covered && log.termAt(append.prevIndex) !== append.prevTerm) {
    // Committed entries match those of every leader, so the leader need not probe below the commit index.
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
  $updateCaughtUp(draft, message.term, append);
  $recordAck(draft, message.term, sentAt);
}

/** Records that an append was acknowledged. */
function $recordAck(draft: ReplicationDraft, term: Term, sentAt: MonotonicMs): void {
  const appends = draft.ackedAppends?.term === term ? draft.ackedAppends.appends : [];
  const extended = [...appends, {at: draft.now, sentAt}].slice(-MAX_ACKED_APPENDS);
  draft.ackedAppends = {appends: extended, term};
}

/**
 * Updates the time at which this replica is known to hold everything its leader had committed. An append may have been
 * in transit for long, but it was sent after the leader received the acknowledgement that it refers to, so its commit
 * index is current as of that acknowledgement. Acknowledgements sent before a restart are not remembered and don't
 * count.
 */
function $updateCaughtUp(
  draft: ReplicationDraft,
  term: Term,
  {answeredSentAt, commit}: Append,
): void {
  const appends = draft.ackedAppends?.term === term ? draft.ackedAppends.appends : [];
  const position = appends.findIndex(({sentAt}) => sentAt === answeredSentAt);
  // The leader sends commit 0 to a replica that needs a snapshot, and while it has no lease.
  if (position >= 0 && commit > 0 && commit <= draft.commit) {
    draft.caughtUpAt = Math.max(draft.caughtUpAt, appends[position]!.at);
    draft.ackedAppends = {appends: appends.slice(position), term};
  }
}

/**
 * Whether a replica needs a snapshot. It must not replace the log if the log already contains its position: later
 * entries may count towards a majority.
 *
 * @param state state of the replica
 * @param meta position of the snapshot
 */
export function wantsSnapshot(state: ReplicationState, meta: SnapshotMeta): boolean {
  const isNew = state.log.members.voters.length === 0;
  return isNew || (meta.index > state.commit && state.log.termAt(meta.index) !== meta.term);
}

/**
 * Resets the log to a snapshot that the driver has received, verified and synced.
 *
 * @param draft draft of the running step
 * @param meta position of the snapshot
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
  draft.leaderContactAt = draft.now;
  $resetElection(draft);
}
