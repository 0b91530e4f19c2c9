/**
 * Requests to the control group, and the view of the fleet that a process builds from the answers.
 */
import type {EngineId, MonotonicMs, ReplicaId, VmId, ZoneId} from 'stallpaddle';
import type {VmCapacity} from 'stallpaddle-capacity';

import {unreachable} from 'stallpaddle';

import type {SoftwareReading} from './FleetSoftware';
import type {ReleaseParts, SuspectPartView, TryParts} from './FleetSuspectParts';
import type {NoteEngineEnd, ReleaseRequest, SuspectView} from './FleetSuspects';
import type {
  EngineReport,
  FleetConfig,
  FleetEngine,
  FleetStore,
  RemoveEngine,
  StoredConfig,
} from './FleetTypes';

import {applyStatusDelta, type StatusUpdate} from './FleetDelta';

/** What a process reports about itself with each watch request. */
export type FleetHeartbeat =
  | {
      /** IP address and port at which callers reach the VM. */
      readonly callerAddress: string;
      /** Size and utilization of the VM; absent from VMs of earlier releases. */
      readonly capacity?: VmCapacity;
      readonly kind: 'entry';
      readonly name: VmId;
      /** Whether it accepts new connections from callers. */
      readonly ready: boolean;
      readonly zone: ZoneId;
    }
  | {
      readonly kind: 'store';
      /** Set while the process leads the group that stores batch jobs, else null. */
      readonly leads: JobsGroupReport | null;
      readonly name: VmId;
      readonly replica: ReplicaId;
      readonly zone: ZoneId;
    }
  | {readonly kind: 'control'; readonly replica: ReplicaId};

/** Members of the group that stores batch jobs, as known to its leader. */
export interface JobsGroupReport {
  /**
   * Replicas that the leader knows are being retired and no longer admits as members. Leaders of earlier releases don't
   * send it; no store counts as emptied by their reports.
   */
  readonly emptying?: readonly ReplicaId[];
  readonly learners: readonly ReplicaId[];
  /** Whether every voter has replicated all committed entries. */
  readonly settled: boolean;
  readonly term: number;
  readonly voters: readonly ReplicaId[];
}

/** A heartbeat that a replica received and forwards to the leader. */
export interface ForwardedHeartbeat {
  /** Time since the heartbeat was received, in milliseconds. */
  readonly ageMs: number;
  readonly hello: FleetHeartbeat;
}

/** Versions that a process holds; only newer data is sent. */
export interface KnownVersions {
  readonly config: number | null;
  readonly fleet: number;
  /** Term of the leader that published the status; status numbers restart with each term. */
  readonly term: number;
}

/** Term of a status that no leader has confirmed as the latest. */
export const UNPROVEN_TERM = -1;

/** An engine with its liveness as judged by the leader. */
export interface EngineView extends FleetEngine {
  /** Whether no report has been received for some time. */
  readonly silent: boolean;
}

/** A store process with its liveness as judged by the leader. */
export interface StoreView extends FleetStore {
  /** Whether a heartbeat was received recently. */
  readonly heard: boolean;
}

/**
 * An entry VM that accepts callers. Its size and utilization are plain fields, because deltas compare fields by identity.
 */
export interface EntryView extends VmCapacity {
  readonly address: string;
  readonly name: VmId;
  readonly zone: ZoneId;
}

/** Everything that a process needs to know about the fleet, except the configuration. */
export interface FleetStatus {
  readonly controls: readonly ReplicaId[];
  readonly engines: readonly EngineView[];
  readonly entries: readonly EntryView[];
  /** False while a new leader is still collecting heartbeats of entry VMs. */
  readonly entriesComplete: boolean;
  /** Software versions without engines that may have begun streams which can still come back, by `softwareKey`. */
  readonly formerSoftware: readonly string[];
  readonly jobsFounders: readonly ReplicaId[] | null;
  /** Replicas of the group that stores batch jobs; without a known member, the founders followed by all stores. */
  readonly jobsReplicas: readonly ReplicaId[];
  readonly stores: readonly StoreView[];
  /** Shared parts of the prompts of such requests. */
  readonly suspectParts: readonly SuspectPartView[];
  /** Requests that were starting on engines when these exited. */
  readonly suspects: readonly SuspectView[];
}

/** Requests to the control group. */
export type FleetRequest =
  | {
      /** One for each role of the process. */
      readonly hellos: readonly FleetHeartbeat[];
      readonly kind: 'watch';
      readonly known: KnownVersions;
      /** Whether a follower may answer with the status it received from the leader. */
      readonly mayRelay: boolean;
      /** Heartbeats of other processes received since the last forwarding. */
      readonly relayed: readonly ForwardedHeartbeat[];
      /** Maximum time to hold the answer while there is nothing new, in milliseconds. */
      readonly waitMs: number;
    }
  | {readonly config: StoredConfig; readonly kind: 'putConfig'}
  | NoteEngineEnd
  | ReleaseParts
  | ReleaseRequest
  | RemoveEngine
  /** Sends replica addresses to a process that has no replica and may know none. */
  | {
      readonly kind: 'introduce';
      readonly replicas: readonly ReplicaId[];
      /** The status that the sender holds, possibly outdated; null to send only the addresses. */
      readonly told: null | WatchAnswer;
    }
  /** Reads the possibly outdated status of any replica, for a process that has none. */
  | {readonly kind: 'peek'}
  | {readonly kind: 'listSuspects'}
  | {readonly kind: 'readConfig'}
  /** Reads what one replica knows, with or without a leader; answered with a {@link ReplicaReading}. */
  | {
      /** Version of the configuration that the process holds; only a newer one is returned. */
      readonly configAfter: number;
      readonly kind: 'readReplica';
    }
  | {readonly kind: 'reportEngine'; readonly report: EngineReport}
  | {readonly kind: 'retireState'; readonly name: VmId}
  | {readonly kind: 'retireStore'; readonly name: VmId}
  | TryParts;

/** Answer to `watch` and `peek`. */
export interface WatchAnswer {
  /** Age of the status, in milliseconds: 0 from the leader, more from a follower. */
  readonly ageMs: number;
  /** Set when newer than what the process holds, else null. */
  readonly config: FleetConfig | null;
  /** Number of the status after `update`. */
  readonly fleet: number;
  /** How long the request was held before the state was read, in milliseconds. */
  readonly heldMs: number;
  /** Whether a leader confirmed that its state was the latest when it read it. */
  readonly proven: boolean;
  /** Term of the leader that published the status. */
  readonly term: number;
  /** Changes since the status that the process holds. */
  readonly update: StatusUpdate;
}

/** Answer to `retireStore` and `retireState`. */
export type RetireAnswer = 'completed' | 'running' | 'tooFew' | 'unknown';

/** Position of the last entry of a log; the later one of two logs has every committed entry that the other one has. */
export interface LogEnd {
  readonly index: number;
  readonly term: number;
}

/** What one replica suspects, by its whole log. */
export interface SuspectReading {
  readonly end: LogEnd;
  readonly parts: readonly SuspectPartView[];
  readonly requests: readonly SuspectView[];
}

/** What one replica of the control group knows while there may be no leader. */
export interface ReplicaReading extends SoftwareReading {
  /** The newest configuration that it has applied, if newer than the process's, else null. */
  readonly config: FleetConfig | null;
  /** Number of entry VMs that it has recorded on its disk; absent in answers of earlier releases. */
  readonly entries?: number;
  /** Engines that drain or have left, also by entries that may not be committed. */
  readonly leaving: readonly EngineId[];
  /** Version of a newer configuration in its log that it has not applied, as it may not be committed; null for none. */
  readonly pendingConfig: null | number;
  /** Absent in answers of earlier releases. */
  readonly suspects?: SuspectReading;
}

/** A configuration that may have been confirmed, but is known only by its version. */
export interface PendingConfig {
  /** When the process learned of it. */
  readonly since: MonotonicMs;
  readonly version: number;
}

/** Everything that a process knows about the fleet. */
export interface FleetView {
  /** Latest time, by this process's clock, at which the view was confirmed to be up to date. */
  readonly asOf: MonotonicMs;
  readonly config: FleetConfig | null;
  readonly fleet: number;
  readonly news: FleetStatus;
  /** A newer configuration that may have been confirmed; null when none is known. */
  readonly pendingConfig: null | PendingConfig;
  /** Number of entry VMs that replicas have recorded, for the time before the first answer of a leader; 0 if unknown. */
  readonly recordedEntries: number;
  /** End of the log by which a replica told the suspects, before a leader has answered; null for none. */
  readonly suspectsEnd: LogEnd | null;
  readonly term: number;
  /** The status as received; `news` may also list entry VMs whose heartbeats a new leader still awaits. */
  readonly told: FleetStatus;
}

const EMPTY_STATUS: FleetStatus = {
  controls: [],
  engines: [],
  entries: [],
  entriesComplete: false,
  formerSoftware: [],
  jobsFounders: null,
  jobsReplicas: [],
  stores: [],
  suspectParts: [],
  suspects: [],
};

/** View before the first answer. */
export const EMPTY_VIEW: FleetView = {
  asOf: -Infinity,
  config: null,
  fleet: 0,
  news: EMPTY_STATUS,
  pendingConfig: null,
  recordedEntries: 0,
  suspectsEnd: null,
  term: UNPROVEN_TERM,
  told: EMPTY_STATUS,
};

function mergeEntries(before: FleetView, status: FleetStatus): readonly EntryView[] {
  if (status.entriesComplete) {
    return status.entries;
  }
  const known = new Set(status.entries.map(({name}) => name));
  return [...status.entries, ...before.news.entries.filter(({name}) => !known.has(name))];
}

/** Whether an answer is older than the view, as from a lagging replica. */
function isOlder(view: FleetView, {fleet, term}: WatchAnswer): boolean {
  return term < view.term || (term === view.term && fleet < view.fleet);
}

/** Status after an update; undefined when the update is based on a status that the view doesn't hold. */
function statusAfterUpdate(view: FleetView, {term, update}: WatchAnswer): FleetStatus | undefined {
  switch (update.kind) {
    case 'delta': {
      const fits = term === view.term && update.from === view.fleet;
      return fits ? applyStatusDelta(view.told, update.delta) : undefined;
    }
    case 'same':
      return view.told;
    case 'whole':
      // Leaders of earlier releases send no suspects.
      return {...EMPTY_STATUS, ...update.news};
    default:
      return unreachable(update);
  }
}

function withStatus(view: FleetView, answer: WatchAnswer, told: FleetStatus): FleetView {
  const {fleet, term} = answer;
  const news = told === view.told ? view.news : {...told, entries: mergeEntries(view, told)};
  return {...view, fleet, news, term, told};
}

/**
 * Applies an answer to a view. The configuration, status and time of confirmation never go back, because answers of
 * replicas that lag behind each other may arrive in any order.
 *
 * @param view the view before
 * @param answer the answer of the leader or of a follower
 * @param sentAt when the request was sent, by this process's clock
 */
export function applyWatchAnswer(
  view: FleetView,
  answer: WatchAnswer,
  sentAt: MonotonicMs,
): FleetView {
  const {ageMs, config, heldMs, proven} = answer;
  const isNewer = config !== null && config.version > (view.config?.version ?? -Infinity);
  const known = isNewer ? {...view, config} : view;
  // A leader has applied every configuration that was confirmed.
  const configured =
    proven && known.pendingConfig !== null ? {...known, pendingConfig: null} : known;
  const status = isOlder(view, answer) ? undefined : statusAfterUpdate(view, answer);
  if (status === undefined && !isOlder(view, answer)) {
    // The next request sends the known versions again.
    return configured;
  }
  const asOf = proven ? Math.max(view.asOf, sentAt + heldMs - ageMs) : view.asOf;
  const next = status === undefined ? configured : withStatus(configured, answer, status);
  return {...next, asOf};
}

function withLeaving(view: FleetView, leaving: ReadonlySet<EngineId>): FleetView {
  const isNew = ({draining, id}: EngineView): boolean => !draining && leaving.has(id);
  if (!view.news.engines.some(isNew)) {
    return view;
  }
  const engines = view.news.engines.map((engine) =>
    isNew(engine) ? {...engine, draining: true} : engine,
  );
  return {...view, news: {...view.news, engines}};
}

function isEarlier(a: LogEnd, b: LogEnd): boolean {
  return a.term < b.term || (a.term === b.term && a.index < b.index);
}

function withSuspects(view: FleetView, reading: SuspectReading | undefined): FleetView {
  const {suspectsEnd} = view;
  if (reading === undefined || (suspectsEnd !== null && isEarlier(reading.end, suspectsEnd))) {
    return view;
  }
  const {end, parts: suspectParts, requests: suspects} = reading;
  return {...view, news: {...view.news, suspectParts, suspects}, suspectsEnd: end};
}

/**
 * Applies what a replica knows to a view while no leader answers: a configuration that it has applied is committed. By a
 * status that no leader has confirmed, an engine that the replica knows to leave gets nothing more, and what the most recent
 * log quarantines is not run.
 *
 * @param view the view before
 * @param reading the replica's answer
 * @param now the present moment
 */
export function applyReplicaReading(
  view: FleetView,
  {config, entries = 0, leaving, pendingConfig, suspects}: ReplicaReading,
  now: MonotonicMs,
): FleetView {
  const held = view.config?.version ?? -Infinity;
  const isUnconfirmed = view.asOf === -Infinity;
  const recordedEntries = Math.max(view.recordedEntries, entries);
  const told = isUnconfirmed ? withSuspects(withLeaving(view, new Set(leaving)), suspects) : view;
  const known = recordedEntries === view.recordedEntries ? told : {...told, recordedEntries};
  const configured = config !== null && config.version > held ? {...known, config} : known;
  const newest = Math.max(
    configured.config?.version ?? -Infinity,
    view.pendingConfig?.version ?? -Infinity,
  );
  if (pendingConfig === null || pendingConfig <= newest) {
    return configured;
  }
  const since = view.pendingConfig?.since ?? now;
  return {...configured, pendingConfig: {since, version: pendingConfig}};
}

/**
 * Returns an engine by its ID, if it is registered.
 *
 * @param view the view
 * @param id the engine
 */
export function engineOf(view: FleetView, id: EngineId): EngineView | undefined {
  return view.news.engines.find((engine) => engine.id === id);
}
