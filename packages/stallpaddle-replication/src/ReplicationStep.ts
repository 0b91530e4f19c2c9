/**
 * Replica as a pure state machine: maps an event to the next state and a list of effects.
 */
import type {GroupId, MonotonicMs, ReplicaId} from 'stallpaddle';

import {unreachable} from 'stallpaddle';

import type {ReplicationDraft} from './ReplicationDraft';
import type {ReplicationLog} from './ReplicationLog';
import type {
  GroupMembers,
  HardState,
  Message,
  ProposedCommand,
  ReplicationEvent,
  ReplicationState,
  ReplicationStepResult,
  ReplicationTiming,
  Role,
} from './ReplicationTypes';

import {$becomeFollower, $emit, $enterTerm, closeDraft, openDraft} from './ReplicationDraft';
import {
  $onPreVote,
  $onVote,
  $onVoteReply,
  $startElection,
  $startTransferredElection,
  $transferLeadership,
} from './ReplicationElection';
import {$onAlive, $onAppend, $onSnapshotInstalled} from './ReplicationFollower';
import {
  $advanceCommit,
  $appendToLog,
  $applyCommitted,
  $leaderTick,
  $onAliveReply,
  $onAppendReply,
  $onSnapshotSent,
  $sendNewEntries,
  $trackMembers,
} from './ReplicationLeader';
import {holdsLease} from './ReplicationLease';

type LeaderRole = Extract<Role, {kind: 'leader'}>;

/** Identity, timing and stored data that a replica starts with. */
export interface ReplicaStart {
  readonly group: GroupId;
  readonly hardState: HardState;
  readonly log: ReplicationLog;
  readonly self: ReplicaId;
  readonly timing: ReplicationTiming;
}

/**
 * Initial state of a replica. The start counts as contact with a leader: before the restart, the replica may have
 * acknowledged a message that extended a lease which is still valid.
 *
 * @param start identity, timing and stored data
 * @param now monotonic time
 */
export function startReplica(start: ReplicaStart, now: MonotonicMs): ReplicationState {
  const {index} = start.log.snapshot;
  const commit = Math.max(index, Math.min(start.hardState.commit ?? 0, start.log.lastIndex));
  const draft = openDraft(
    {
      ackedAppends: null,
      applied: index,
      caughtUpAt: -Infinity,
      commit,
      electionAt: now,
      electionCount: 0,
      group: start.group,
      leaderContactAt: now,
      log: start.log,
      persisted: start.log.lastIndex,
      role: {kind: 'follower', leader: null},
      self: start.self,
      term: start.hardState.term,
      timing: start.timing,
      votedFor: start.hardState.votedFor,
    },
    now,
  );
  $becomeFollower(draft, null);
  return closeDraft(draft).state;
}

/**
 * Whether a message is small and may overtake others in transit, so that large messages never delay it.
 *
 * @param message any message
 */
export function isUrgent({body}: Message): boolean {
  return body.kind === 'alive' || body.kind === 'aliveReply';
}

/**
 * The leader that this replica knows, if any.
 *
 * @param state a replica's state
 */
export function knownLeader(state: ReplicationState): ReplicaId | null {
  switch (state.role.kind) {
    case 'candidate':
    case 'preCandidate':
      return null;
    case 'follower':
      return state.role.leader;
    case 'leader':
      return state.self;
  }
}

/** Returns the time not yet counted by any command of this term, in milliseconds, and marks it as counted. */
function $countTime(draft: ReplicationDraft, role: LeaderRole): number {
  draft.role = {...role, countedUntil: draft.now};
  return draft.now - role.countedUntil;
}

function $propose(draft: ReplicationDraft, commands: readonly ProposedCommand[]): void {
  // A leader without a lease accepts nothing: a majority may already follow another leader.
  if (draft.role.kind !== 'leader' || !holdsLease(draft, draft.now)) {
    const leader = draft.role.kind === 'leader' ? null : knownLeader(draft);
    for (const {requestId} of commands) {
      $emit(draft, {kind: 'rejected', leader, requestId});
    }
    return;
  }
  const elapsedMs = $countTime(draft, draft.role);
  const first = $appendToLog(
    draft,
    // All commands were proposed at the same time, so only the first one carries the elapsed time.
    commands.map(({data}, at) => ({data, elapsedMs: at === 0 ? elapsedMs : 0, kind: 'command'})),
  );
  commands.forEach(({requestId}, offset) => {
    $emit(draft, {index: first + offset, kind: 'proposed', requestId, term: draft.term});
  });
  $sendNewEntries(draft);
}

function isSingleChange(before: GroupMembers, after: GroupMembers): boolean {
  const added = after.voters.filter((voter) => !before.voters.includes(voter));
  const removed = before.voters.filter((voter) => !after.voters.includes(voter));
  return after.voters.length > 0 && added.length + removed.length <= 1;
}

function $changeMembers(draft: ReplicationDraft, members: GroupMembers, requestId: number): void {
  const isPreviousCommitted = draft.log.membersIndex <= draft.commit;
  const allowed = isPreviousCommitted && isSingleChange(draft.log.members, members);
  if (!allowed || !holdsLease(draft, draft.now)) {
    $emit(draft, {kind: 'rejected', leader: knownLeader(draft), requestId});
    return;
  }
  const index = $appendToLog(draft, [{kind: 'members', members}]);
  $trackMembers(draft, members);
  $emit(draft, {index, kind: 'proposed', requestId, term: draft.term});
  $sendNewEntries(draft);
}

function $onMessage(draft: ReplicationDraft, message: Message): void {
  const {body} = message;
  switch (body.kind) {
    case 'alive':
      $onAlive(draft, message, body.sentAt);
      return;
    case 'aliveReply':
      if (message.term > draft.term) {
        $enterTerm(draft, message.term, null);
        return;
      }
      $onAliveReply(draft, message, body.sentAt);
      return;
    case 'append':
      $onAppend(draft, message, body);
      return;
    case 'appendReply':
      if (message.term > draft.term) {
        $enterTerm(draft, message.term, null);
        return;
      }
      $onAppendReply(draft, message, body);
      return;
    case 'preVote':
      $onPreVote(draft, message, body);
      return;
    case 'preVoteReply':
    case 'voteReply':
      if (message.term > draft.term && !body.granted) {
        $enterTerm(draft, message.term, null);
        return;
      }
      $onVoteReply(draft, message, body);
      return;
    case 'timeoutNow':
      if (message.term === draft.term) {
        $startTransferredElection(draft);
      }
      return;
    case 'vote':
      $onVote(draft, message, body);
      return;
  }
}

function $onPersisted(draft: ReplicationDraft, index: number, term: number): void {
  // If the entry was replaced meanwhile, the completed write says nothing about the current log.
  if (index > draft.persisted && draft.log.termAt(index) === term) {
    draft.persisted = index;
    $advanceCommit(draft);
  }
}

function $onTick(draft: ReplicationDraft): void {
  if (draft.role.kind === 'leader') {
    $leaderTick(draft);
  } else if (draft.now >= draft.electionAt) {
    $startElection(draft);
  }
}

function $handle(draft: ReplicationDraft, event: ReplicationEvent): void {
  switch (event.kind) {
    case 'applyKnown':
      $applyCommitted(draft);
      return;
    case 'changeMembers':
      $changeMembers(draft, event.members, event.requestId);
      return;
    case 'message':
      $onMessage(draft, event.message);
      return;
    case 'persisted':
      $onPersisted(draft, event.index, event.term);
      return;
    case 'propose':
      $propose(draft, event.commands);
      return;
    case 'snapshotInstalled':
      $onSnapshotInstalled(draft, event.meta, event.term);
      return;
    case 'snapshotSent':
      $onSnapshotSent(draft, event.to, event.index, event.ok);
      return;
    case 'snapshotTaken':
      draft.log = draft.log.compact(event.meta, event.keepFrom);
      return;
    case 'tick':
      $onTick(draft);
      return;
    case 'transferLeadership':
      $transferLeadership(draft);
      return;
    default:
      unreachable(event);
  }
}

/**
 * Processes one event.
 *
 * @param state current state
 * @param event the event
 * @param now monotonic time of the event, in milliseconds
 * @returns the next state and the effects for the driver, in order
 */
export function stepReplica(
  state: ReplicationState,
  event: ReplicationEvent,
  now: MonotonicMs,
): ReplicationStepResult {
  const draft = openDraft(state, now);
  $handle(draft, event);
  return closeDraft(draft);
}

/**
 * Time that the next command of a leader will count, in milliseconds; 0 for other replicas.
 *
 * @param state a replica's state
 * @param now monotonic time
 */
export function uncountedMs({role}: ReplicationState, now: MonotonicMs): number {
  return role.kind === 'leader' ? now - role.countedUntil : 0;
}

/**
 * Whether a learner holds everything that the leader has committed.
 *
 * @param state a leader's state
 * @param learner the learner
 */
export function isCaughtUp(state: ReplicationState, learner: ReplicaId): boolean {
  const {role} = state;
  const progress = role.kind === 'leader' ? role.progress.get(learner) : undefined;
  return progress !== undefined && progress.mode === 'replicate' && progress.match >= state.commit;
}
