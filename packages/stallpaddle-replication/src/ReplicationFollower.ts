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

/** Most answers that are remembered: those of a second of a busy leader's appends. Without them the leader is asked. */
const MOST_ANSWERED = 256;

function $heedLeader(draft: ReplicationDraft, message: Message): void {
  if (message.term > draft.term) {
    $enterTerm(draft, message.term, message.from);
  } else {
    $becomeFollower(draft, message.from);
  }
  draft.leaderContactAt = draft.now;
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
  $noteAnswered(draft, message.term, sentAt);
}

/** Notes that an append is answered. */
function $noteAnswered(draft: ReplicationDraft, term: Term, sentAt: MonotonicMs): void {
  const appends = draft.ackedAppends?.term === term ? draft.ackedAppends.appends : [];
  const added = [...appends, {at: draft.now, sentAt}].slice(-MOST_ANSWERED);
  draft.ackedAppends = {appends: added, term};
}

/**
 * Notes as of when this replica holds all that its leader has committed. An append tells what was committed when it was
 * sent, and may have been on its way for long; but it was sent after this replica had given the answer that it names. An
 * answer of this process's earlier life isn't among those that it remembers.
 */
function $noteComplete(
  draft: ReplicationDraft,
  term: Term,
  {answeredSentAt, commit}: Append,
): void {
  const appends = draft.ackedAppends?.term === term ? draft.ackedAppends.appends : [];
  const position = appends.findIndex(({sentAt}) => sentAt === answeredSentAt);
  // To a replica that lacks a snapshot, and without a lease, the leader names no commit at all.
  if (position >= 0 && commit > 0 && commit <= draft.commit) {
    draft.caughtUpAt = Math.max(draft.caughtUpAt, appends[position]!.at);
    draft.ackedAppends = {appends: appends.slice(position), term};
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
  draft.leaderContactAt = draft.now;
  $resetElection(draft);
}
