/**
 * Which store processes found the group that keeps batch jobs, and which of them may leave it. Pure.
 */
import type {MonotonicMs, ReplicaId, VmId} from 'stallpaddle';
import type {FleetState, FleetStore, JobsGroupReport} from 'stallpaddle-fleet';

import type {NodeLastSeen, SeenStore} from './NodeLastSeen';

import {ENTRY_SILENT_MS} from './NodeConstants';
import {votersFor} from './NodeMembershipPlanner';

/** One store of each availability zone first, then the second of each, and so on. */
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

/** The present disk of each VM: the one that spoke last. */
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
 * First members of the group, or null while too few store processes are there to bear a loss. A disk that is lost already
 * would be one of those that may be lost later.
 *
 * @param stores the store processes that were heard
 * @param lostDisks disks that may be lost at once
 * @param now the present moment
 */
export function chooseFounders(
  stores: readonly SeenStore[],
  lostDisks: number,
  now: MonotonicMs,
): readonly ReplicaId[] | null {
  const wanted = votersFor(lostDisks);
  const present = presentStores(stores).filter(({at}) => now - at < ENTRY_SILENT_MS);
  if (present.length < wanted) {
    return null;
  }
  return spreadOverZones(present)
    .slice(0, wanted)
    .map(({replica}) => replica);
}

/**
 * Replicas that can keep the jobs without one store: members of the group and store processes that were
 * heard lately, none of them to be emptied.
 *
 * @param store the store to be emptied
 * @param report the group's members
 * @param heard what was heard of all processes
 * @param state the control group's state
 * @param now the present moment
 */
export function stayingReplicas(
  store: FleetStore,
  report: JobsGroupReport,
  heard: NodeLastSeen,
  state: FleetState,
  now: MonotonicMs,
): ReadonlySet<ReplicaId> {
  const staying = new Set([...report.voters, ...report.learners]);
  for (const {at, replica} of heard.stores.values()) {
    if (now - at < ENTRY_SILENT_MS) {
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
 * Whether a store holds nothing that counts any more: the group is whole and up to date without it.
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
    // A leader with older news may take the store in as a copy, and count on it once it has gone.
    report.emptying?.includes(store.replica) === true &&
    report.settled &&
    report.voters.length >= votersFor(lostDisks) &&
    ![...report.voters, ...report.learners].includes(store.replica)
  );
}
