/**
 * Builds the fleet status that a leader of the control group publishes to all processes. Pure.
 */
import type {EngineId, MonotonicMs, ReplicaId} from 'stallpaddle';
import type {
  EngineView,
  EntryView,
  FleetState,
  FleetStatus,
  StoreView,
  SuspectView,
} from 'stallpaddle-fleet';
import type {GroupMembers} from 'stallpaddle-replication';

import {sortByName, suspectPartViews, suspectView} from 'stallpaddle-fleet';

import type {NodeLastSeen} from './NodeLastSeen';

import {HEARTBEAT_TIMEOUT_MS, MISSED_REPORTS, NEW_LEADER_SETTLE_MS} from './NodeConstants';

/** What the fleet status is built from. */
export interface FleetStatusInput {
  readonly lastSeen: NodeLastSeen;
  /** Replicas that keep batch jobs, as a leader last reported them to this process. */
  readonly lastKnownJobsReplicas: readonly ReplicaId[];
  /** Members of the control group. */
  readonly members: GroupMembers;
  /** The present moment. */
  readonly now: MonotonicMs;
  /** Time between two reports of an engine, in milliseconds. */
  readonly reportMs: number;
  readonly state: FleetState;
}

/**
 * Whether an engine has missed its reports. One that hasn't reported to a new leader yet counts from the leader's start.
 *
 * @param lastSeen heartbeats and reports that the leader has received
 * @param id the engine
 * @param now the present moment
 * @param reportMs time between two reports, in milliseconds
 */
export function hasMissedReports(
  lastSeen: NodeLastSeen,
  id: EngineId,
  now: MonotonicMs,
  reportMs: number,
): boolean {
  return now - (lastSeen.engines.get(id) ?? lastSeen.since) >= MISSED_REPORTS * reportMs;
}

function engineViews({lastSeen, now, reportMs, state}: FleetStatusInput): readonly EngineView[] {
  const engines = [...state.engines.values()].map((engine) => ({
    ...engine,
    sequence: 0,
    silent: hasMissedReports(lastSeen, engine.id, now, reportMs),
  }));
  return sortByName(engines, ({id}) => id);
}

function entryViews({lastSeen, now}: FleetStatusInput): readonly EntryView[] {
  const entries = [...lastSeen.entries.values()]
    .filter(({at, ready}) => ready && now - at < HEARTBEAT_TIMEOUT_MS)
    .map(({at: _at, ready: _ready, ...entry}) => entry);
  return sortByName(entries, ({name}) => name);
}

function storeViews({lastSeen, now, state}: FleetStatusInput): readonly StoreView[] {
  const stores = [...state.stores.values()].map((store) => ({
    ...store,
    heard: now - (lastSeen.stores.get(store.replica)?.at ?? -Infinity) < HEARTBEAT_TIMEOUT_MS,
  }));
  return sortByName(stores, ({name}) => name);
}

/**
 * Replicas of the group that keeps batch jobs. While no leader of it is known, these are the last known ones or, when all
 * processes have restarted, the founders and every store: none of the founders may belong to the group any more.
 */
function jobsReplicas({
  lastKnownJobsReplicas,
  lastSeen,
  state,
}: FleetStatusInput): readonly ReplicaId[] {
  const {jobsFounders, stores} = state;
  if (jobsFounders === null) {
    return [];
  }
  const known = lastSeen.jobsReport?.voters ?? lastKnownJobsReplicas;
  const all = [...jobsFounders, ...[...stores.values()].map(({replica}) => replica)];
  return known.length > 0 ? known : [...new Set(all)];
}

function suspectViews({state}: FleetStatusInput): readonly SuspectView[] {
  return sortByName([...state.suspects.values()].map(suspectView), ({digest}) => digest);
}

/**
 * Builds the fleet status.
 *
 * @param input what it is built from
 */
export function buildFleetStatus(input: FleetStatusInput): FleetStatus {
  const {lastSeen, members, now, state} = input;
  const {jobsFounders} = state;
  return {
    controls: [...members.voters, ...members.learners],
    engines: engineViews(input),
    entries: entryViews(input),
    entriesComplete: now - lastSeen.since > NEW_LEADER_SETTLE_MS,
    formerSoftware: [...state.formerSoftware.keys()].sort(),
    jobsFounders,
    jobsReplicas: jobsReplicas(input),
    stores: storeViews(input),
    suspectParts: sortByName(
      suspectPartViews(state.suspectParts, state.suspects),
      ({part}) => part,
    ),
    suspects: suspectViews(input),
  };
}
