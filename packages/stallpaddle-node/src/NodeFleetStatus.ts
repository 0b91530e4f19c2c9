/**
 * The news that a leader of the control group has for all processes: pure, from the group's state and what
 * the leader has heard.
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

import {sortByName, suspectView} from 'stallpaddle-fleet';

import type {NodeLastSeen} from './NodeLastSeen';

import {ENTRY_SILENT_MS, MISSED_REPORTS, SETTLE_MS} from './NodeConstants';

/** What the news are made from. */
export interface FleetStatusInput {
  readonly lastSeen: NodeLastSeen;
  /** Where this process last heard that batch jobs are kept, from whoever led then. */
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
 * Whether an engine's reports fail to come. One that a new leader hasn't heard yet counts as heard when it began to listen.
 *
 * @param heard what the leader has heard
 * @param id the engine
 * @param now the present moment
 * @param reportMs time between two reports, in milliseconds
 */
export function hasMissedReports(
  heard: NodeLastSeen,
  id: EngineId,
  now: MonotonicMs,
  reportMs: number,
): boolean {
  return now - (heard.engines.get(id) ?? heard.since) >= MISSED_REPORTS * reportMs;
}

function engineViews({lastSeen: heard, now, reportMs, state}: FleetStatusInput): readonly EngineView[] {
  const engines = [...state.engines.values()].map((engine) => ({
    ...engine,
    sequence: 0,
    silent: hasMissedReports(heard, engine.id, now, reportMs),
  }));
  return sortByName(engines, ({id}) => id);
}

function entryViews({lastSeen: heard, now}: FleetStatusInput): readonly EntryView[] {
  const entries = [...heard.entries.values()]
    .filter(({at, ready}) => ready && now - at < ENTRY_SILENT_MS)
    .map(({address, name, zone}) => ({address, name, zone}));
  return sortByName(entries, ({name}) => name);
}

function storeViews({lastSeen: heard, now, state}: FleetStatusInput): readonly StoreView[] {
  const stores = [...state.stores.values()].map((store) => ({
    ...store,
    heard: now - (heard.stores.get(store.replica)?.at ?? -Infinity) < ENTRY_SILENT_MS,
  }));
  return sortByName(stores, ({name}) => name);
}

/**
 * Replicas of the group that keeps batch jobs. While no leader of it was heard: those that were named before, or, after
 * a loss of all power, every store, for none of the founders may belong to it any more.
 */
function jobsReplicas({lastSeen: heard, lastKnownJobsReplicas: jobsBefore, state}: FleetStatusInput): readonly ReplicaId[] {
  const {jobsFounders, stores} = state;
  if (jobsFounders === null) {
    return [];
  }
  const known = heard.jobsReport?.voters ?? jobsBefore;
  const all = [...jobsFounders, ...[...stores.values()].map(({replica}) => replica)];
  return known.length > 0 ? known : [...new Set(all)];
}

function suspectViews({state}: FleetStatusInput): readonly SuspectView[] {
  return sortByName([...state.suspects.values()].map(suspectView), ({digest}) => digest);
}

/**
 * Makes the news.
 *
 * @param input what they are made from
 */
export function buildFleetStatus(input: FleetStatusInput): FleetStatus {
  const {lastSeen: heard, members, now, state} = input;
  const {jobsFounders} = state;
  return {
    controls: [...members.voters, ...members.learners],
    engines: engineViews(input),
    entries: entryViews(input),
    entriesComplete: now - heard.since > SETTLE_MS,
    jobsFounders,
    jobsReplicas: jobsReplicas(input),
    stores: storeViews(input),
    suspects: suspectViews(input),
  };
}
