/**
 * Leader election: pre-vote, vote and leadership transfer. Votes are withheld while a leader may hold its lease.
 */
import type {ReplicaId} from 'stallpaddle';

import type {ReplicationDraft} from './ReplicationDraft';
import type {Message, MessageBody, Progress} from './ReplicationTypes';

import {$becomeFollower, $enterTerm, $persist, $resetElection, $send} from './ReplicationDraft';
import {$appendToLog, $broadcast} from './ReplicationLeader';
import {isMajority} from './ReplicationLease';

type VoteRequest = Extract<MessageBody, {kind: 'preVote' | 'vote'}>;
type VoteReply = Extract<MessageBody, {kind: 'preVoteReply' | 'voteReply'}>;

function otherVoters(draft: ReplicationDraft): readonly ReplicaId[] {
  return draft.log.members.voters.filter((voter) => voter !== draft.self);
}

function hasLiveLeader(draft: ReplicationDraft): boolean {
  const {electionTimeoutMs} = draft.timing;
  return draft.role.kind === 'leader' || draft.now - draft.leaderContactAt < electionTimeoutMs;
}

function isUpToDate(draft: ReplicationDraft, request: VoteRequest): boolean {
  const {lastIndex, lastTerm} = draft.log;
  return (
    request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= lastIndex)
  );
}

function $requestVotes(draft: ReplicationDraft, kind: 'preVote' | 'vote', transfer: boolean): void {
  const {lastIndex, lastTerm} = draft.log;
  for (const voter of otherVoters(draft)) {
    // A vote request implies the candidate's vote for itself, which must be durable first.
    $send(draft, voter, {kind, lastIndex, lastTerm, transfer}, kind === 'vote');
  }
}

function $becomeLeader(draft: ReplicationDraft): void {
  const next = draft.log.lastIndex + 1;
  const progress = new Map<ReplicaId, Progress>();
  for (const replica of [...draft.log.members.voters, ...draft.log.members.learners]) {
    if (replica !== draft.self) {
      progress.set(replica, {
        ackedSentAt: -Infinity,
        addedAt: draft.now,
        aliveSentAt: -Infinity,
        appendAckedSentAt: -Infinity,
        lastSentAt: -Infinity,
        match: 0,
        mode: 'probe',
        next,
      });
    }
  }
  const since = draft.now;
  draft.role = {
    commitAdvancedAt: since,
    countedUntil: since,
    kind: 'leader',
    lastTickAt: since,
    lateTicks: [],
    progress,
    since,
    termStart: next,
  };
  $appendToLog(draft, [{kind: 'noop'}]);
  $broadcast(draft);
}

function $campaign(draft: ReplicationDraft, transfer: boolean): void {
  draft.term++;
  draft.votedFor = draft.self;
  draft.role = {kind: 'candidate', transfer, votes: new Set([draft.self])};
  $persist(draft, []);
  $resetElection(draft);
  $requestVotes(draft, 'vote', transfer);
  if (isMajority(draft.log.members, (voter) => voter === draft.self)) {
    $becomeLeader(draft);
  }
}

/**
 * Starts a pre-vote: asks the other voters whether an election could be won, without changing the term.
 *
 * @param draft draft of the running step
 */
export function $startElection(draft: ReplicationDraft): void {
  if (!draft.log.members.voters.includes(draft.self)) {
    $resetElection(draft);
    return;
  }
  draft.role = {kind: 'preCandidate', transfer: false, votes: new Set([draft.self])};
  $resetElection(draft);
  $requestVotes(draft, 'preVote', false);
  if (isMajority(draft.log.members, (voter) => voter === draft.self)) {
    $campaign(draft, false);
  }
}

/**
 * Starts an election without a pre-vote, at the request of the current leader.
 *
 * @param draft draft of the running step
 */
export function $startTransferredElection(draft: ReplicationDraft): void {
  if (draft.log.members.voters.includes(draft.self)) {
    $campaign(draft, true);
  }
}

/**
 * Replies to a pre-vote request; nothing is persisted.
 *
 * @param draft draft of the running step
 * @param message the request
 * @param request its body
 */
export function $onPreVote(draft: ReplicationDraft, message: Message, request: VoteRequest): void {
  const granted = message.term >= draft.term && isUpToDate(draft, request) && !hasLiveLeader(draft);
  $send(draft, message.from, {granted, kind: 'preVoteReply'}, false);
}

/**
 * Replies to a vote request. Except for a leadership transfer, a replica neither votes nor enters a new term while it
 * has had contact with a leader within the election timeout: the lease depends on this.
 *
 * @param draft draft of the running step
 * @param message the request
 * @param request its body
 */
export function $onVote(draft: ReplicationDraft, message: Message, request: VoteRequest): void {
  if (hasLiveLeader(draft) && !request.transfer) {
    return;
  }
  if (message.term > draft.term) {
    $enterTerm(draft, message.term, null);
  }
  const canVote = draft.votedFor === null || draft.votedFor === message.from;
  const granted = message.term === draft.term && canVote && isUpToDate(draft, request);
  if (granted) {
    draft.votedFor = message.from;
    $persist(draft, []);
    $resetElection(draft);
  }
  $send(draft, message.from, {granted, kind: 'voteReply'}, true);
}

/**
 * Counts a reply to a pre-vote or vote request.
 *
 * @param draft draft of the running step
 * @param message the reply
 * @param reply its body
 */
export function $onVoteReply(draft: ReplicationDraft, message: Message, reply: VoteReply): void {
  const {role} = draft;
  const expected = reply.kind === 'voteReply' ? 'candidate' : 'preCandidate';
  if (role.kind !== expected || !reply.granted) {
    return;
  }
  if (reply.kind === 'voteReply' && message.term !== draft.term) {
    return;
  }
  const votes = new Set(role.votes).add(message.from);
  draft.role = {...role, votes};
  if (!isMajority(draft.log.members, (voter) => votes.has(voter))) {
    return;
  }
  if (role.kind === 'candidate') {
    $becomeLeader(draft);
  } else {
    $campaign(draft, false);
  }
}

/**
 * Transfers leadership to the voter with the longest replicated log. The lease ends here, before the successor is asked
 * to start an election.
 *
 * @param draft draft of the running step
 */
export function $transferLeadership(draft: ReplicationDraft): void {
  const {role} = draft;
  if (role.kind !== 'leader') {
    return;
  }
  const {voters} = draft.log.members;
  const nextPosition = voters.indexOf(draft.self) + 1;
  // Ties go to the next voter in order. If they went to the first one, two replicas that both lack bulk data would pass
  // leadership back and forth and never reach a third one.
  const successor = [...voters.slice(nextPosition), ...voters.slice(0, nextPosition)]
    .filter((voter) => voter !== draft.self)
    .map((voter) => ({match: role.progress.get(voter)?.match ?? 0, voter}))
    .sort((a, b) => b.match - a.match)[0];
  $becomeFollower(draft, null);
  if (successor !== undefined) {
    $send(draft, successor.voter, {kind: 'timeoutNow'}, false);
  }
}
