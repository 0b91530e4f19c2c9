/**
 * Plans the members of a group, one change at a time. Pure.
 */
import type {ReplicaId} from 'stallpaddle';
import type {GroupMembers} from 'stallpaddle-replication';

import {vmOfReplica} from 'stallpaddle';

import {
  CANDIDATE_TIMEOUT_MS,
  REPLACED_DISK_TIMEOUT_MS,
  SPARE_LEARNERS,
  VOTER_TIMEOUT_MS,
} from './NodeConstants';

/** A replica that exists or existed. */
export interface KnownReplica {
  readonly caughtUp: boolean;
  readonly id: ReplicaId;
  /** Whether its VM is to be emptied. */
  readonly retiring: boolean;
  /** Time since its last heartbeat or acknowledged append, in milliseconds. */
  readonly silentMs: number;
}

/** One change of the members. */
export type MemberStep =
  | {readonly kind: 'change'; readonly members: GroupMembers; readonly reason: string}
  /** This leader is to be removed, so another replica must take over leadership first. */
  | {readonly kind: 'handOver'};

/** What the leader knows of the group and its possible members. */
export interface MembershipInput {
  readonly known: readonly KnownReplica[];
  readonly lostDisks: number;
  readonly members: GroupMembers;
  readonly self: ReplicaId;
}

function without(list: readonly ReplicaId[], id: ReplicaId): readonly ReplicaId[] {
  return list.filter((other) => other !== id);
}

/**
 * Number of voters that tolerates the loss of some disks.
 *
 * @param lostDisks disks that may be lost at once
 */
export function votersFor(lostDisks: number): number {
  return 2 * lostDisks + 1;
}

/** The input with lookups by replica. */
interface PlannerView extends MembershipInput {
  readonly isCaughtUp: (id: ReplicaId) => boolean;
  readonly isReachable: (id: ReplicaId) => boolean;
  /** Whether its VM has come back with another disk, so that it is certainly lost. */
  readonly isReplaced: (id: ReplicaId) => boolean;
  readonly isRetiring: (id: ReplicaId) => boolean;
  readonly isSilent: (id: ReplicaId) => boolean;
  readonly silentMs: (id: ReplicaId) => number;
  /** Number of voters while none of them is being replaced. */
  readonly wanted: number;
}

function toPlannerView(input: MembershipInput): PlannerView {
  const byId = new Map(input.known.map((replica) => [replica.id, replica]));
  const silentMs = (id: ReplicaId): number => byId.get(id)?.silentMs ?? Infinity;
  const isReachable = (id: ReplicaId): boolean => silentMs(id) < CANDIDATE_TIMEOUT_MS;
  // Of two disks of one VM, the lost one has the older heartbeat.
  const isSuperseded = (id: ReplicaId): boolean =>
    input.known.some(
      (other) =>
        vmOfReplica(other.id) === vmOfReplica(id) &&
        isReachable(other.id) &&
        other.silentMs < silentMs(id),
    );
  return {
    ...input,
    isCaughtUp: (id) => byId.get(id)?.caughtUp === true,
    isReachable,
    isReplaced: (id) => silentMs(id) > REPLACED_DISK_TIMEOUT_MS && isSuperseded(id),
    isRetiring: (id) => byId.get(id)?.retiring === true,
    isSilent: (id) => id !== input.self && silentMs(id) > VOTER_TIMEOUT_MS,
    silentMs,
    wanted: votersFor(input.lostDisks),
  };
}

function change(members: GroupMembers, reason: string): MemberStep {
  return {kind: 'change', members, reason};
}

/** A voter whose disk is lost raises the majority and can't contribute to it, so it is removed before its successor votes. */
function removeReplacedVoter({isReplaced, members, self}: PlannerView): MemberStep | null {
  const {learners, voters} = members;
  const lost = voters.find((id) => id !== self && isReplaced(id));
  return lost === undefined
    ? null
    : change({learners, voters: without(voters, lost)}, `${lost} came back with another disk`);
}

function removeLearner({
  isReachable,
  isReplaced,
  isRetiring,
  members,
}: PlannerView): MemberStep | null {
  const {learners, voters} = members;
  const gone = learners.find((id) => isReplaced(id) || isRetiring(id) || !isReachable(id));
  return gone === undefined
    ? null
    : change({learners: without(learners, gone), voters}, `learner ${gone} is gone`);
}

/** Promotes a learner that holds the whole log; it can only make the loss of a majority less likely. */
function promoteLearner(view: PlannerView): MemberStep | null {
  const {isCaughtUp, isRetiring, isSilent, members, wanted} = view;
  const {learners, voters} = members;
  const isLeaving = voters.some((id) => isSilent(id) || isRetiring(id));
  const ready = learners.find((id) => isCaughtUp(id));
  return ready === undefined || voters.length >= wanted + (isLeaving ? 1 : 0)
    ? null
    : change(
        {learners: without(learners, ready), voters: [...voters, ready]},
        `${ready} has caught up`,
      );
}

/**
 * Removes a voter when there are more than wanted, so that those that stay tolerate all losses without it. A silent voter
 * is not lost: its disk may be needed for a majority when others are lost, so its successor is promoted first.
 */
function removeExcessVoter(view: PlannerView): MemberStep | null {
  const {isCaughtUp, isRetiring, isSilent, members, self, silentMs, wanted} = view;
  const {learners, voters} = members;
  if (voters.length <= wanted) {
    return null;
  }
  // The one that has been silent longest is the likeliest to be gone for good.
  const [silent] = voters.filter(isSilent).sort((a, b) => silentMs(b) - silentMs(a));
  if (silent !== undefined) {
    return change({learners, voters: without(voters, silent)}, `${silent} is silent`);
  }
  const retiring = voters.find((id) => isRetiring(id));
  if (retiring !== undefined) {
    return retiring === self
      ? {kind: 'handOver'}
      : change({learners, voters: without(voters, retiring)}, `${retiring} is to be emptied`);
  }
  // A silent voter has returned, or the last leader failed between two steps. Voters that haven't answered this leader
  // yet may be the ones to remove, so it waits until all have caught up.
  const spare = voters.every((id) => isCaughtUp(id))
    ? voters.findLast((id) => id !== self)
    : undefined;
  const kept =
    learners.length < SPARE_LEARNERS && spare !== undefined ? [...learners, spare] : learners;
  return spare === undefined
    ? null
    : change({learners: kept, voters: without(voters, spare)}, `${spare} is one too many`);
}

/** Adds a learner. No VM gets a second member: one of its two disks is lost, and would count as one that stays. */
function addLearner(view: PlannerView): MemberStep | null {
  const {isReachable, isRetiring, known, members, wanted} = view;
  const {learners, voters} = members;
  const memberVms = new Set([...voters, ...learners].map(vmOfReplica));
  const successors = voters.some((id) => isRetiring(id)) ? 1 : 0;
  const missing = Math.max(0, wanted + successors - voters.length) + SPARE_LEARNERS;
  const candidate = known.find(
    ({id}) => isReachable(id) && !isRetiring(id) && !memberVms.has(vmOfReplica(id)),
  );
  return candidate === undefined || learners.length >= missing
    ? null
    : change({learners: [...learners, candidate.id], voters}, `${candidate.id} joins`);
}

/**
 * Returns the next step, or null when no member has to change.
 *
 * A replica whose VM has come back with another disk is certainly lost and is removed at once. Any other voter is removed
 * only while there are more voters than wanted, since the rest must tolerate the losses without it; its successor is
 * promoted first. A leader that fails between the two steps leaves one voter too many, which tolerates as many losses.
 *
 * @param input what the leader knows
 */
export function planMembers(input: MembershipInput): MemberStep | null {
  const view = toPlannerView(input);
  return (
    removeReplacedVoter(view) ??
    removeLearner(view) ??
    promoteLearner(view) ??
    removeExcessVoter(view) ??
    addLearner(view)
  );
}
