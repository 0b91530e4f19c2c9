/**
 * The leader's side of log replication.
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
import {recordTick, isQuorumLost} from './ReplicationSilence';

type AppendReply = Extract<MessageBody, {kind: 'appendReply'}>;
type LeaderRole = Extract<Role, {kind: 'leader'}>;

function $setProgress(
  draft: ReplicationDraft,
  role: LeaderRole,
  replica: ReplicaId,
  change: Partial<Progress>,
): LeaderRole {
  const known = role.progress.get(replica)!;
  const next: LeaderRole = {
    ...role,
    progress: new Map(role.progress).set(replica, {...known, ...change}),
  };
  draft.role = next;
  return next;
}

/**
 * Adds entries of the current term to the leader's own log.
 *
 * @param draft draft of the running step
 * @param payloads what to add
 * @returns index of the first entry added
 */
export function $appendOwn(draft: ReplicationDraft, payloads: readonly EntryPayload[]): LogIndex {
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
 * Sends one replica what it lacks, or a heartbeat when it lacks nothing.
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
  // A follower takes the commit for all that there is as of now. Without its lease a leader can't say so: another may have
  // committed more by then, or the one before it, until an entry of its own term is recorded.
  const commit = holdsLease(draft, now) ? draft.commit : 0;
  const answeredSentAt = progress.appendAckedSentAt;
  const place = {prevIndex, prevTerm};
  const append = {answeredSentAt, commit, entries, kind: 'append', sentAt: now, ...place} as const;
  $send(draft, replica, append, false);
}

/** A probe is repeated with each heartbeat until it is answered, so it carries only what is small. */
function probeEntries(log: ReplicationLog, from: LogIndex): readonly LogEntry[] {
  const entries = log.entriesFrom(from, MAX_PROBE_BYTES);
  const bytes = entries.reduce((sum, entry) => sum + entryBytes(entry), 0);
  return bytes > MAX_PROBE_BYTES ? [] : entries;
}

/** Keeps a replica that is receiving a snapshot from standing for election. */
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
 * Sends every other replica what it lacks.
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
 * Sends entries just added to the replicas that keep pace; the others get them with their next
 * reply or heartbeat.
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
 * Sends due heartbeats and gives up leadership when no majority answers.
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
    // Commands wait though a majority answers that it lives.
    $becomeFollower(draft, null);
    // Whoever the log reaches may lead; this replica stands again only once the others have had their turns.
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

/** A replica that has answered nothing for longer than a heartbeat takes may have much under way to it. */
function $sendAliveWhenDue(draft: ReplicationDraft, replica: ReplicaId, progress: Progress): void {
  const {now, role, timing} = draft;
  const silentMs = now - Math.max(progress.ackedSentAt, progress.aliveSentAt);
  if (role.kind === 'leader' && silentMs > timing.heartbeatMs * ALIVE_AFTER_HEARTBEATS) {
    $setProgress(draft, role, replica, {aliveSentAt: now});
    $send(draft, replica, {kind: 'alive', sentAt: now}, false);
  }
}

/**
 * Takes in a replica's answer to the word that this leader lives.
 *
 * @param draft draft of the running step
 * @param message the answer
 * @param sentAt when that word was sent
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
 * Moves the commit index to what a majority has synced, and applies up to there. Entries of earlier
 * terms count only together with one of this term (Raft, section 3.6.2).
 *
 * @param draft draft of the running step
 */
export function $advanceCommit(draft: ReplicationDraft): void {
  const {log, role} = draft;
  if (role.kind !== 'leader') {
    return;
  }
  const reached = majorityValue(log.members, (voter) =>
    voter === draft.self ? draft.persisted : (role.progress.get(voter)?.match ?? 0),
  );
  if (reached > draft.commit && log.termAt(reached) === draft.term) {
    draft.commit = reached;
    draft.role = {...role, commitAdvancedAt: draft.now};
    $applyCommitted(draft);
    $stepDownWhenRemoved(draft);
  }
}

/**
 * Hands committed entries to the state machine.
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
 * Takes in a replica's answer to an append.
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
    // Never below what is known to match: such a reply is late.
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
 * Takes in the end of a snapshot's transfer.
 *
 * @param draft draft of the running step
 * @param replica receiver
 * @param index the snapshot's place
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
 * Brings the progress table in line with new members. A new replica begins with a snapshot, for
 * only that tells it the members before the log's first entry.
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
      const start = {
        ackedSentAt: -Infinity,
        addedAt: draft.now,
        aliveSentAt: -Infinity,
        appendAckedSentAt: -Infinity,
        lastSentAt: draft.now,
        match: 0,
        next: 1,
      };
      progress.set(replica, {...start, mode: 'snapshot'});
    }
  }
  draft.role = {...role, progress};
  for (const to of added) {
    $emit(draft, {kind: 'sendSnapshot', to});
  }
}
