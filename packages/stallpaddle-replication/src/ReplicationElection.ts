/**
 * Elections: pre-vote, vote, and the refusal to vote while a leader may hold its lease.
 */
import type {ReplicaId} from 'stallpaddle';

import type {ReplicationDraft} from './ReplicationDraft';
import type {Message, MessageBody, Progress} from './ReplicationTypes';

import {$becomeFollower, $enterTerm, $persist, $resetElection, $send} from './ReplicationDraft';
import {$appendOwn, $broadcast} from './ReplicationLeader';
import {isMajority} from './ReplicationLease';

type VoteRequest = Extract<MessageBody, {kind: 'preVote' | 'vote'}>;
type VoteReply = Extract<MessageBody, {kind: 'preVoteReply' | 'voteReply'}>;

function othersOf(draft: ReplicationDraft): readonly ReplicaId[] {
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
  for (const voter of othersOf(draft)) {
    // A vote request speaks for the candidate's own recorded vote.
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
    countedUntil: since,
    kind: 'leader',
    lateTicks: [],
    lastTickAt: since,
    progress,
    commitAdvancedAt: since,
    since,
    termStart: next,
  };
  $appendOwn(draft, [{kind: 'noop'}]);
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
 * Asks the others whether an election could be won; changes no term yet.
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
 * Stands for election at once because the leader asked for it.
 *
 * @param draft draft of the running step
 */
export function $startTransferredElection(draft: ReplicationDraft): void {
  if (draft.log.members.voters.includes(draft.self)) {
    $campaign(draft, true);
  }
}

/**
 * Answers a request for a pre-vote; nothing is recorded.
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
 * Answers a request for a vote. Without a transfer, no vote is given and no term is entered while a
 * leader was heard within the election timeout: the lease rests on this.
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
  const free = draft.votedFor === null || draft.votedFor === message.from;
  const granted = message.term === draft.term && free && isUpToDate(draft, request);
  if (granted) {
    draft.votedFor = message.from;
    $persist(draft, []);
    $resetElection(draft);
  }
  $send(draft, message.from, {granted, kind: 'voteReply'}, true);
}

/**
 * Counts a reply to a pre-vote or vote.
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
 * Gives up leadership in favour of the replica that is furthest ahead. The lease ends here, before
 * the successor is asked to stand.
 *
 * @param draft draft of the running step
 */
export function $transferLeadership(draft: ReplicationDraft): void {
  const {role} = draft;
  if (role.kind !== 'leader') {
    return;
  }
  const {voters} = draft.log.members;
  const after = voters.indexOf(draft.self) + 1;
  // The next one among equals: were it always the first, two that both lack something would pass leadership to and fro.
  const successor = [...voters.slice(after), ...voters.slice(0, after)]
    .filter((voter) => voter !== draft.self)
    .map((voter) => ({match: role.progress.get(voter)?.match ?? 0, voter}))
    .sort((a, b) => b.match - a.match)[0];
  $becomeFollower(draft, null);
  if (successor !== undefined) {
    $send(draft, successor.voter, {kind: 'timeoutNow'}, false);
  }
}
