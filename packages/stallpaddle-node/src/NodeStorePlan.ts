/**
 * Chooses the founders of the group that keeps batch jobs, and decides when a store may be removed. Pure.
 */
import type {MonotonicMs, ReplicaId, VmId} from 'stallpaddle';
import type {FleetState, FleetStore, JobsGroupReport} from 'stallpaddle-fleet';

import type {NodeLastSeen, SeenStore} from './NodeLastSeen';

import {HEARTBEAT_TIMEOUT_MS} from './NodeConstants';
import {votersFor} from './NodeMembershipPlanner';

/** Orders stores by rounds over the availability zones: the first store of each zone, then the second of each, and so on. */
function spreadOverZones(stores: readonly SeenStore[]): readonly SeenStore[] {
  const seen = new Map<string, number>();
  const ranked = [...stores]
    .sort((a, b) => (a.replica < b.replica ? -1 : 1))
    .map((store) => {
      const rank = seen.get(store.zone) ?? 0;
      seen.set(store.zone, rank + 1);
      return {rank, store};
    });
  return ranked.sort((a, b) => a.rank - b.rank).map(({store}) => store);
}

/** The current disk of each VM: the one with the latest heartbeat. */
function presentStores(stores: readonly SeenStore[]): readonly SeenStore[] {
  const byVm = new Map<VmId, SeenStore>();
  for (const store of stores) {
    if (store.at >= (byVm.get(store.name)?.at ?? -Infinity)) {
      byVm.set(store.name, store);
    }
  }
  return [...byVm.values()];
}

/**
 * Chooses the first members of the group; null while too few store processes are alive. A disk that is already lost would
 * use up one of the losses that the group must tolerate.
 *
 * @param stores the store processes with their last heartbeats
 * @param lostDisks disks that may be lost at once
 * @param now the current time
 */
export function chooseFounders(
  stores: readonly SeenStore[],
  lostDisks: number,
  now: MonotonicMs,
): readonly ReplicaId[] | null {
  const wanted = votersFor(lostDisks);
  const present = presentStores(stores).filter(({at}) => now - at < HEARTBEAT_TIMEOUT_MS);
  if (present.length < wanted) {
    return null;
  }
  return spreadOverZones(present)
    .slice(0, wanted)
    .map(({replica}) => replica);
}

/**
 * Replicas that can keep the jobs without one store: members of the group and store processes with a recent heartbeat,
 * except those that are to be emptied.
 *
 * @param store the store to be emptied
 * @param report the group's members
 * @param lastSeen the last heartbeats of all processes
 * @param state the control group's state
 * @param now the current time
 */
export function stayingReplicas(
  store: FleetStore,
  report: JobsGroupReport,
  lastSeen: NodeLastSeen,
  state: FleetState,
  now: MonotonicMs,
): ReadonlySet<ReplicaId> {
  const staying = new Set([...report.voters, ...report.learners]);
  for (const {at, replica} of lastSeen.stores.values()) {
    if (now - at < HEARTBEAT_TIMEOUT_MS) {
      staying.add(replica);
    }
  }
  for (const {replica, retiring} of state.stores.values()) {
    if (retiring || replica === store.replica) {
      staying.delete(replica);
    }
  }
  return staying;
}

/**
 * Whether a store can be removed: the group is complete and up to date without it.
 *
 * @param store the store to be emptied
 * @param report the group's members; null while its leader is not known
 * @param lostDisks disks that may be lost at once
 */
export function isEmptied(
  store: FleetStore,
  report: JobsGroupReport | null,
  lostDisks: number,
): boolean {
  return (
    report !== null &&
    // A leader that does not know yet that the store is to be emptied may add it again, and rely on it after its removal.
    report.emptying?.includes(store.replica) === true &&
    report.settled &&
    report.voters.length >= votersFor(lostDisks) &&
    ![...report.voters, ...report.learners].includes(store.replica)
  );
}
