/**
 * Log replication on the leader.
 */
import type {MonotonicMs, ReplicaId} from 'stallpaddle';

import type {ReplicationDraft} from './ReplicationDraft';
import type {ReplicationLog} from './ReplicationLog';
import type {
  EntryPayload,
  GroupMembers,
  LogEntry,
  LogIndex,
  Message,
  MessageBody,
  Progress,
  Role,
} from './ReplicationTypes';

import {isQuorumLost, recordTick} from './ReplicationCheckQuorum';
import {
  ALIVE_AFTER_HEARTBEATS,
  MAX_APPEND_BYTES,
  MAX_PROBE_BYTES,
  STALLED_COMMIT_TIMEOUTS,
  STEP_DOWN_BACKOFF_TIMEOUTS,
} from './ReplicationConstants';
import {$becomeFollower, $emit, $persist, $send} from './ReplicationDraft';
import {holdsLease, majorityValue, quorumAckedAt} from './ReplicationLease';
import {entryBytes} from './ReplicationLog';

type AppendReply = Extract<MessageBody, {kind: 'appendReply'}>;
type LeaderRole = Extract<Role, {kind: 'leader'}>;

function $setProgress(
  draft: ReplicationDraft,
  role: LeaderRole,
  replica: ReplicaId,
  change: Partial<Progress>,
): LeaderRole {
  const current = role.progress.get(replica)!;
  const next: LeaderRole = {
    ...role,
    progress: new Map(role.progress).set(replica, {...current, ...change}),
  };
  draft.role = next;
  return next;
}

/**
 * Appends entries of the current term to the leader's own log.
 *
 * @param draft draft of the running step
 * @param payloads contents of the entries
 * @returns index of the first appended entry
 */
export function $appendToLog(draft: ReplicationDraft, payloads: readonly EntryPayload[]): LogIndex {
  const first = draft.log.lastIndex + 1;
  const entries: readonly LogEntry[] = payloads.map((payload, offset) => ({
    index: first + offset,
    payload,
    term: draft.term,
  }));
  draft.log = draft.log.append(entries);
  $persist(draft, entries);
  return first;
}

/**
 * Sends a replica the entries it lacks, or a heartbeat if there are none.
 *
 * @param draft draft of the running step
 * @param replica receiver
 */
export function $sendAppend(draft: ReplicationDraft, replica: ReplicaId): void {
  const {log, role} = draft;
  if (role.kind !== 'leader') {
    return;
  }
  const progress = role.progress.get(replica)!;
  if (progress.mode === 'snapshot') {
    $sendHeartbeat(draft, role, replica, progress);
    return;
  }
  const prevIndex = progress.next - 1;
  const prevTerm = log.termAt(prevIndex);
  if (prevTerm === undefined) {
    $setProgress(draft, role, replica, {lastSentAt: draft.now, mode: 'snapshot'});
    $emit(draft, {kind: 'sendSnapshot', to: replica});
    return;
  }
  const entries =
    progress.mode === 'replicate'
      ? log.entriesFrom(progress.next, MAX_APPEND_BYTES)
      : probeEntries(log, progress.next);
  const next = progress.mode === 'replicate' ? progress.next + entries.length : progress.next;
  $setProgress(draft, role, replica, {lastSentAt: draft.now, next});
  const {now} = draft;
  // The follower treats the commit index as complete at the time of sending. A leader without a lease must not report
  // it: another leader may have committed more since, or the previous leader before an entry of this term is committed.
  const commit = holdsLease(draft, now) ? draft.commit : 0;
  const answeredSentAt = progress.appendAckedSentAt;
  const previous = {prevIndex, prevTerm};
  const append = {
    answeredSentAt,
    commit,
    entries,
    kind: 'append',
    sentAt: now,
    ...previous,
  } as const;
  $send(draft, replica, append, false);
}

/** Entries for a probe. It is repeated with each heartbeat until it is answered, so it only carries small entries. */
function probeEntries(log: ReplicationLog, from: LogIndex): readonly LogEntry[] {
  const entries = log.entriesFrom(from, MAX_PROBE_BYTES);
  const bytes = entries.reduce((sum, entry) => sum + entryBytes(entry), 0);
  return bytes > MAX_PROBE_BYTES ? [] : entries;
}

/** Sends a heartbeat that keeps a replica from starting an election while it receives a snapshot. */
function $sendHeartbeat(
  draft: ReplicationDraft,
  role: LeaderRole,
  replica: ReplicaId,
  progress: Progress,
): void {
  const prevTerm = draft.log.termAt(progress.match);
  $setProgress(draft, role, replica, {lastSentAt: draft.now});
  $send(
    draft,
    replica,
    {
      commit: 0,
      entries: [],
      kind: 'append',
      prevIndex: prevTerm === undefined ? 0 : progress.match,
      prevTerm: prevTerm ?? 0,
      sentAt: draft.now,
    },
    false,
  );
}

/**
 * Sends every other replica the entries it lacks, or a heartbeat.
 *
 * @param draft draft of the running step
 */
export function $broadcast(draft: ReplicationDraft): void {
  if (draft.role.kind === 'leader') {
    for (const replica of draft.role.progress.keys()) {
      $sendAppend(draft, replica);
    }
  }
}

/**
 * Sends newly appended entries to the replicas that are in replicate mode; the others get them after their next reply
 * or heartbeat.
 *
 * @param draft draft of the running step
 */
export function $sendNewEntries(draft: ReplicationDraft): void {
  if (draft.role.kind !== 'leader') {
    return;
  }
  for (const [replica, progress] of draft.role.progress) {
    if (progress.mode === 'replicate') {
      $sendAppend(draft, replica);
    }
  }
}

/**
 * Sends due heartbeats. Steps down when no majority responds, or when entries stay uncommitted for too long.
 *
 * @param draft draft of the running step
 */
export function $leaderTick(draft: ReplicationDraft): void {
  const {now, timing} = draft;
  if (draft.role.kind !== 'leader') {
    return;
  }
  const quorumAt = Math.max(quorumAckedAt(draft, now), draft.role.since);
  const role = recordTick(draft.role, quorumAt, now, timing);
  draft.role = role;
  if (isQuorumLost(role, quorumAt, now, timing)) {
    $becomeFollower(draft, null);
    return;
  }
  if (draft.commit >= draft.log.lastIndex) {
    draft.role = {...role, commitAdvancedAt: now};
  } else if (now - role.commitAdvancedAt > timing.electionTimeoutMs * STALLED_COMMIT_TIMEOUTS) {
    // A majority responds, but the log does not get through.
    $becomeFollower(draft, null);
    // A replica that the log reaches may lead; this one starts an election only after the others had the chance.
    draft.electionAt += timing.electionTimeoutMs * STEP_DOWN_BACKOFF_TIMEOUTS;
    return;
  }
  for (const [replica, progress] of role.progress) {
    if (now - progress.lastSentAt >= timing.heartbeatMs) {
      $sendAppend(draft, replica);
    }
    $sendAliveWhenDue(draft, replica, progress);
  }
}

/**
 * Appends may be queued up to a replica that has acknowledged nothing for more than a heartbeat, so the leader sends an
 * `alive` message, which overtakes them.
 */
function $sendAliveWhenDue(draft: ReplicationDraft, replica: ReplicaId, progress: Progress): void {
  const {now, role, timing} = draft;
  const silentMs = now - Math.max(progress.ackedSentAt, progress.aliveSentAt);
  if (role.kind === 'leader' && silentMs > timing.heartbeatMs * ALIVE_AFTER_HEARTBEATS) {
    $setProgress(draft, role, replica, {aliveSentAt: now});
    $send(draft, replica, {kind: 'alive', sentAt: now}, false);
  }
}

/**
 * Handles the reply to an `alive` message.
 *
 * @param draft draft of the running step
 * @param message the reply
 * @param sentAt when the `alive` message was sent
 */
export function $onAliveReply(
  draft: ReplicationDraft,
  message: Message,
  sentAt: MonotonicMs,
): void {
  const {role} = draft;
  const progress = role.kind === 'leader' ? role.progress.get(message.from) : undefined;
  if (role.kind === 'leader' && progress !== undefined && message.term === draft.term) {
    const ackedSentAt = Math.max(progress.ackedSentAt, sentAt);
    $setProgress(draft, role, message.from, {ackedSentAt});
  }
}

/**
 * Advances the commit index to what a majority has synced, and applies the entries up to it. Entries of earlier terms
 * are committed only together with one of this term (Raft, section 3.6.2).
 *
 * @param draft draft of the running step
 */
export function $advanceCommit(draft: ReplicationDraft): void {
  const {log, role} = draft;
  if (role.kind !== 'leader') {
    return;
  }
  const majorityIndex = majorityValue(log.members, (voter) =>
    voter === draft.self ? draft.persisted : (role.progress.get(voter)?.match ?? 0),
  );
  if (majorityIndex > draft.commit && log.termAt(majorityIndex) === draft.term) {
    draft.commit = majorityIndex;
    draft.role = {...role, commitAdvancedAt: draft.now};
    $applyCommitted(draft);
    $stepDownWhenRemoved(draft);
  }
}

/**
 * Passes committed entries to the state machine.
 *
 * @param draft draft of the running step
 */
export function $applyCommitted(draft: ReplicationDraft): void {
  while (draft.applied < draft.commit) {
    const upTo = draft.commit - draft.applied;
    const entries = draft.log.entriesFrom(draft.applied + 1, Infinity).slice(0, upTo);
    if (entries.length === 0) {
      return;
    }
    draft.applied += entries.length;
    $emit(draft, {entries, kind: 'apply'});
  }
}

function $stepDownWhenRemoved(draft: ReplicationDraft): void {
  const {members, membersIndex} = draft.log;
  if (membersIndex <= draft.commit && !members.voters.includes(draft.self)) {
    $becomeFollower(draft, null);
  }
}

/**
 * Handles the reply to an append.
 *
 * @param draft draft of the running step
 * @param message the reply
 * @param reply its body
 */
export function $onAppendReply(
  draft: ReplicationDraft,
  message: Message,
  reply: AppendReply,
): void {
  const {role} = draft;
  const progress = role.kind === 'leader' ? role.progress.get(message.from) : undefined;
  if (role.kind !== 'leader' || progress === undefined || message.term !== draft.term) {
    return;
  }
  const acked = {
    ackedSentAt: Math.max(progress.ackedSentAt, reply.sentAt),
    appendAckedSentAt: Math.max(progress.appendAckedSentAt, reply.sentAt),
  };
  if (progress.mode === 'snapshot') {
    $setProgress(draft, role, message.from, acked);
    return;
  }
  if (!reply.ok) {
    // A reply that points below the known match index is outdated.
    const next = Math.max(
      progress.match + 1,
      Math.min(reply.lastIndex + 1, draft.log.lastIndex + 1),
    );
    $setProgress(draft, role, message.from, {...acked, mode: 'probe', next});
    if (next < progress.next || progress.mode === 'replicate') {
      $sendAppend(draft, message.from);
    }
    return;
  }
  const match = Math.max(progress.match, reply.lastIndex);
  const next = Math.max(progress.next, match + 1);
  $setProgress(draft, role, message.from, {...acked, match, mode: 'replicate', next});
  $advanceCommit(draft);
  if (draft.role.kind === 'leader' && next <= draft.log.lastIndex) {
    $sendAppend(draft, message.from);
  }
}

/**
 * Handles the end of a snapshot transfer.
 *
 * @param draft draft of the running step
 * @param replica receiver
 * @param index index that the snapshot covers
 * @param ok whether the receiver installed it
 */
export function $onSnapshotSent(
  draft: ReplicationDraft,
  replica: ReplicaId,
  index: LogIndex,
  ok: boolean,
): void {
  const {role} = draft;
  const progress = role.kind === 'leader' ? role.progress.get(replica) : undefined;
  if (role.kind !== 'leader' || progress?.mode !== 'snapshot') {
    return;
  }
  const match = ok ? Math.max(progress.match, index) : progress.match;
  $setProgress(draft, role, replica, {match, mode: 'probe', next: match + 1});
  if (ok) {
    $advanceCommit(draft);
    $sendAppend(draft, replica);
  }
}

/**
 * Updates the progress table after a membership change. A new replica starts with a snapshot, because only a snapshot
 * contains the members before the first entry of the log.
 *
 * @param draft draft of the running step
 * @param members the new members
 */
export function $trackMembers(draft: ReplicationDraft, members: GroupMembers): void {
  const {role} = draft;
  if (role.kind !== 'leader') {
    return;
  }
  const progress = new Map<ReplicaId, Progress>();
  const added: ReplicaId[] = [];
  for (const replica of [...members.voters, ...members.learners]) {
    const known = role.progress.get(replica);
    if (known !== undefined) {
      progress.set(replica, known);
    } else if (replica !== draft.self) {
      added.push(replica);
      const initial = {
        ackedSentAt: -Infinity,
        addedAt: draft.now,
        aliveSentAt: -Infinity,
        appendAckedSentAt: -Infinity,
        lastSentAt: draft.now,
        match: 0,
        next: 1,
      };
      progress.set(replica, {...initial, mode: 'snapshot'});
    }
  }
  draft.role = {...role, progress};
  for (const to of added) {
    $emit(draft, {kind: 'sendSnapshot', to});
  }
}
