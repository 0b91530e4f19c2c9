/**
 * Majorities, and the leader lease that rests on them.
 */
import type {MonotonicMs, ReplicaId} from 'stallpaddle';

import type {GroupMembers, Leadership, LogIndex, ReplicationState} from './ReplicationTypes';

/**
 * Whether a set of replicas holds a majority of the voters.
 *
 * @param members who votes
 * @param has tells whether a voter is in the set
 */
export function isMajority(members: GroupMembers, has: (voter: ReplicaId) => boolean): boolean {
  return members.voters.filter(has).length * 2 > members.voters.length;
}

/**
 * The largest value that a majority of the voters has reached.
 *
 * @param members who votes
 * @param valueOf each voter's value
 */
export function majorityValue(
  members: GroupMembers,
  valueOf: (voter: ReplicaId) => number,
): number {
  const values = members.voters.map(valueOf).sort((a, b) => b - a);
  return values[Math.floor(values.length / 2)] ?? -Infinity;
}

/**
 * Voters that hold a log up to a place on their disks, as a leader knows.
 *
 * @param state a leader's state
 * @param index the place
 */
export function votersWithEntry(state: ReplicationState, index: LogIndex): readonly ReplicaId[] {
  const {log, persisted, role, self} = state;
  const progress = role.kind === 'leader' ? role.progress : undefined;
  return log.members.voters.filter((voter) => {
    const reached = voter === self ? persisted : (progress?.get(voter)?.match ?? 0);
    return reached >= index;
  });
}

/**
 * When a leader last sent something that a majority has since answered.
 *
 * @param state a leader's state
 * @param now monotonic time, which stands for the leader's own answer
 */
export function quorumAckedAt(state: ReplicationState, now: MonotonicMs): MonotonicMs {
  const {role} = state;
  if (role.kind !== 'leader') {
    return -Infinity;
  }
  return majorityValue(state.log.members, (voter) =>
    voter === state.self ? now : (role.progress.get(voter)?.ackedSentAt ?? -Infinity),
  );
}

/**
 * Until when no other replica can be elected: every voter that answered withholds its vote for
 * one election timeout after the send it answered. A fraction is given up for clock drift.
 *
 * @param state a replica's state
 * @param now monotonic time
 */
export function leaseUntil(state: ReplicationState, now: MonotonicMs): MonotonicMs {
  const {electionTimeoutMs, leaseDriftFraction} = state.timing;
  return quorumAckedAt(state, now) + electionTimeoutMs * (1 - leaseDriftFraction);
}

/**
 * Whether this replica may answer from its own state, and issue orders, at this moment: it leads,
 * its lease runs, and it has committed an entry of its own term.
 *
 * @param state a replica's state
 * @param now monotonic time
 */
export function holdsLease(state: ReplicationState, now: MonotonicMs): boolean {
  return (
    state.role.kind === 'leader' &&
    state.commit >= state.role.termStart &&
    now < leaseUntil(state, now)
  );
}

/**
 * What a replica may do for its group.
 *
 * @param state a replica's state
 * @param now monotonic time
 */
export function leadershipOf(state: ReplicationState, now: MonotonicMs): Leadership {
  const {role, term} = state;
  if (role.kind !== 'leader') {
    return {kind: 'follows'};
  }
  return {kind: holdsLease(state, now) ? 'leads' : 'unsure', term};
}
