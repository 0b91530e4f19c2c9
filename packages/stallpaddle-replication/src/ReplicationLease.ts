/**
 * Quorum arithmetic and the leader lease.
 */
import type {MonotonicMs, ReplicaId} from 'stallpaddle';

import type {GroupMembers, Leadership, LogIndex, ReplicationState} from './ReplicationTypes';

/**
 * Whether a set of replicas contains a majority of the voters.
 *
 * @param members members of the group
 * @param has whether a voter is in the set
 */
export function isMajority(members: GroupMembers, has: (voter: ReplicaId) => boolean): boolean {
  return members.voters.filter(has).length * 2 > members.voters.length;
}

/**
 * The largest value that a majority of the voters has reached.
 *
 * @param members members of the group
 * @param valueOf value of a voter
 */
export function majorityValue(
  members: GroupMembers,
  valueOf: (voter: ReplicaId) => number,
): number {
  const values = members.voters.map(valueOf).sort((a, b) => b - a);
  return values[Math.floor(values.length / 2)] ?? -Infinity;
}

/**
 * Voters known to hold the log up to an index on disk.
 *
 * @param state a leader's state
 * @param index index of the entry
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
 * Send time of the newest message that a majority of the voters has acknowledged.
 *
 * @param state a leader's state
 * @param now monotonic time, used as the leader's own acknowledgement
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
 * End of the lease. Each voter that acknowledged a message withholds its vote for an election timeout from its receipt,
 * so no other replica can be elected within that time. A fraction is given up for clock drift.
 *
 * @param state a replica's state
 * @param now monotonic time
 */
export function leaseUntil(state: ReplicationState, now: MonotonicMs): MonotonicMs {
  const {electionTimeoutMs, leaseDriftFraction} = state.timing;
  return quorumAckedAt(state, now) + electionTimeoutMs * (1 - leaseDriftFraction);
}

/**
 * Whether this replica may serve reads and make decisions: it is the leader, its lease is valid, and it has committed
 * an entry of its own term.
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
 * Whether a replica leads its group, with or without a valid lease.
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
