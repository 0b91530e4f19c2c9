/**
 * Who belongs to a group: one step at a time, decided by its leader from what it has heard. Pure.
 */
import type {ReplicaId} from 'stallpaddle';
import type {GroupMembers} from 'stallpaddle-replication';

import {vmOfReplica} from 'stallpaddle';

import {CANDIDATE_SILENT_MS, SPARE_LEARNERS, VOTER_SILENT_MS} from './NodeConstants';

/** A replica that exists or existed. */
export interface KnownReplica {
  readonly caughtUp: boolean;
  readonly id: ReplicaId;
  /** Whether its VM is to be emptied. */
  readonly retiring: boolean;
  /** Time since it was last heard, in milliseconds. */
  readonly silentMs: number;
}

/** One change of the members. */
export type MemberStep =
  | {readonly kind: 'change'; readonly members: GroupMembers; readonly reason: string}
  /** This leader must go: another replica leads first. */
  | {readonly kind: 'handOver'};

/** What the decision rests on. */
export interface KeeperInput {
  readonly known: readonly KnownReplica[];
  readonly lostDisks: number;
  readonly members: GroupMembers;
  readonly self: ReplicaId;
}

function without(list: readonly ReplicaId[], id: ReplicaId): readonly ReplicaId[] {
  return list.filter((other) => other !== id);
}

/**
 * Number of voters that bears the loss of some disks.
 *
 * @param lostDisks disks that may be lost at once
 */
export function votersFor(lostDisks: number): number {
  return 2 * lostDisks + 1;
}

/**
 * The next step, or null when the members are as they should be.
 *
 * A replica whose VM has come back with another disk is lost for certain and leaves at once. One that is
 * only silent leaves when another has caught up and takes its place.
 *
 * @param input what the leader knows
 */
export function planMembers(input: KeeperInput): MemberStep | null {
  const {known, lostDisks, members, self} = input;
  const {learners, voters} = members;
  const byId = new Map(known.map((replica) => [replica.id, replica]));
  const isHeard = (id: ReplicaId): boolean =>
    (byId.get(id)?.silentMs ?? Infinity) < CANDIDATE_SILENT_MS;
  const heard = known.filter(({id}) => isHeard(id)).map(({id}) => id);
  const isReplaced = (id: ReplicaId): boolean =>
    !isHeard(id) && heard.some((other) => vmOfReplica(other) === vmOfReplica(id));
  const change = (next: GroupMembers, reason: string): MemberStep => ({
    kind: 'change',
    members: next,
    reason,
  });
  const lost = voters.find((id) => id !== self && isReplaced(id));
  if (lost !== undefined) {
    return change({learners, voters: without(voters, lost)}, `${lost} came back with another disk`);
  }
  const gone = learners.find(
    (id) => isReplaced(id) || byId.get(id)?.retiring === true || !isHeard(id),
  );
  if (gone !== undefined) {
    return change({learners: without(learners, gone), voters}, `learner ${gone} is gone`);
  }
  const ready = learners.find((id) => byId.get(id)?.caughtUp === true);
  const silent = voters.find(
    (id) => id !== self && (byId.get(id)?.silentMs ?? Infinity) > VOTER_SILENT_MS,
  );
  if (ready !== undefined && silent !== undefined && voters.length >= votersFor(lostDisks)) {
    return change({learners, voters: without(voters, silent)}, `${silent} is silent`);
  }
  const retiring = voters.find((id) => byId.get(id)?.retiring === true);
  const wanted = votersFor(lostDisks) + (retiring === undefined ? 0 : 1);
  if (ready !== undefined && voters.length < wanted) {
    const next = {learners: without(learners, ready), voters: [...voters, ready]};
    return change(next, `${ready} has caught up`);
  }
  if (retiring !== undefined && voters.length >= wanted) {
    return retiring === self
      ? {kind: 'handOver'}
      : change({learners, voters: without(voters, retiring)}, `${retiring} is to be emptied`);
  }
  const missing = Math.max(0, wanted - voters.length) + SPARE_LEARNERS;
  const candidate = known.find(
    ({id, retiring: leaves}) =>
      isHeard(id) && !leaves && !voters.includes(id) && !learners.includes(id),
  );
  if (candidate !== undefined && learners.length < missing) {
    return change({learners: [...learners, candidate.id], voters}, `${candidate.id} joins`);
  }
  return null;
}
