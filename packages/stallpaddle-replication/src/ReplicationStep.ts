/**
 * The replica as a pure state machine: one event in, the next state and typed effects out.
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
  $appendOwn,
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

/** What a replica starts from. */
export interface ReplicaStart {
  readonly group: GroupId;
  readonly hardState: HardState;
  readonly log: ReplicationLog;
  readonly self: ReplicaId;
  readonly timing: ReplicationTiming;
}

/**
 * State of a replica after a start. The start counts as having heard a leader: before its restart
 * the replica may have confirmed a lease that still runs.
 *
 * @param start what the disk held
 * @param now monotonic time
 */
export function startReplica(start: ReplicaStart, now: MonotonicMs): ReplicationState {
  const {index} = start.log.snapshot;
  const commit = Math.max(index, Math.min(start.hardState.commit ?? 0, start.log.lastIndex));
  const draft = openDraft(
    {
      ackedAppends: null,
      applied: index,
      commit,
      caughtUpAt: -Infinity,
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
 * Whether a message is small and may overtake others on its way, so that no bulk can hold it up.
 *
 * @param message any message
 */
export function isUrgent({body}: Message): boolean {
  return body.kind === 'alive' || body.kind === 'aliveReply';
}

/**
 * The leader this replica knows of.
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

/** Time that no command of this term has counted yet, in milliseconds; from now on it is counted. */
function $countTime(draft: ReplicationDraft, role: LeaderRole): number {
  draft.role = {...role, countedUntil: draft.now};
  return draft.now - role.countedUntil;
}

function $propose(draft: ReplicationDraft, commands: readonly ProposedCommand[]): void {
  // Without its lease a leader takes nothing on: a majority may already follow another.
  if (draft.role.kind !== 'leader' || !holdsLease(draft, draft.now)) {
    const leader = draft.role.kind === 'leader' ? null : knownLeader(draft);
    for (const {requestId} of commands) {
      $emit(draft, {kind: 'rejected', leader, requestId});
    }
    return;
  }
  const elapsedMs = $countTime(draft, draft.role);
  const first = $appendOwn(
    draft,
    // All were proposed at the same moment: the first of them tells the time.
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
  const settled = draft.log.membersIndex <= draft.commit;
  const allowed = settled && isSingleChange(draft.log.members, members);
  if (!allowed || !holdsLease(draft, draft.now)) {
    $emit(draft, {kind: 'rejected', leader: knownLeader(draft), requestId});
    return;
  }
  const index = $appendOwn(draft, [{kind: 'members', members}]);
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
  // A write that was overtaken by a conflicting entry says nothing about this log.
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
 * Takes in one event.
 *
 * @param state current state
 * @param event what happened
 * @param now monotonic time of the event, in milliseconds
 * @returns the next state and what the driver must do, in order
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
 * Time that a leader's commands have not counted yet, in milliseconds: its next command will. 0 for others.
 *
 * @param state a replica's state
 * @param now monotonic time
 */
export function uncountedMs({role}: ReplicationState, now: MonotonicMs): number {
  return role.kind === 'leader' ? now - role.countedUntil : 0;
}

/**
 * Whether a learner holds all that the leader has committed.
 *
 * @param state a leader's state
 * @param learner the learner
 */
export function isCaughtUp(state: ReplicationState, learner: ReplicaId): boolean {
  const {role} = state;
  const progress = role.kind === 'leader' ? role.progress.get(learner) : undefined;
  return progress !== undefined && progress.mode === 'replicate' && progress.match >= state.commit;
}
