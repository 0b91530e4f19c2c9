/**
 * What processes ask the control group's leader, and what they keep of its answers.
 */
import type {EngineId, MonotonicMs, ReplicaId, VmId, ZoneId} from 'stallpaddle';

import {unreachable} from 'stallpaddle';

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

/** What a process says of itself each time it asks. */
export type FleetHeartbeat =
  | {
      /** Where callers reach the VM, IP number and port. */
      readonly callerAddress: string;
      readonly kind: 'entry';
      readonly name: VmId;
      /** Whether it takes new callers. */
      readonly ready: boolean;
      readonly zone: ZoneId;
    }
  | {
      readonly kind: 'store';
      /** Present while the process leads the group that keeps batch jobs. */
      readonly leads: JobsGroupReport | null;
      readonly name: VmId;
      readonly replica: ReplicaId;
      readonly zone: ZoneId;
    }
  | {readonly kind: 'control'; readonly replica: ReplicaId};

/** Members of the group that keeps batch jobs, as its leader knows them. */
export interface JobsGroupReport {
  /**
   * Replicas that the leader knows are to be emptied: it takes none of them in any more. Leaders of releases before it
   * don't tell, and no store is empty by their word.
   */
  readonly emptying?: readonly ReplicaId[];
  readonly learners: readonly ReplicaId[];
  /** Whether every voter holds all that was committed. */
  readonly settled: boolean;
  readonly term: number;
  readonly voters: readonly ReplicaId[];
}

/** What a process said of itself to a replica that passes it on. */
export interface ForwardedHeartbeat {
  /** Time since it said so, in milliseconds. */
  readonly ageMs: number;
  readonly hello: FleetHeartbeat;
}

/** Versions that a process holds; what is newer is sent. */
export interface KnownVersions {
  readonly config: number | null;
  readonly fleet: number;
  /** Term of the leader whose news these are; the numbers of news start anew with each. */
  readonly term: number;
}

/** Term of news that no leader has proved to be the latest. */
export const UNPROVEN_TERM = -1;

/** An engine with what the leader believes of it at present. */
export interface EngineView extends FleetEngine {
  /** No report has come for some time. */
  readonly silent: boolean;
}

/** A store process with what the leader believes of it at present. */
export interface StoreView extends FleetStore {
  /** Whether it has been heard lately. */
  readonly heard: boolean;
}

/** An entry VM that callers may be sent to. */
export interface EntryView {
  readonly address: string;
  readonly name: VmId;
  readonly zone: ZoneId;
}

/** Everything but the configuration. */
export interface FleetStatus {
  readonly controls: readonly ReplicaId[];
  readonly engines: readonly EngineView[];
  readonly entries: readonly EntryView[];
  /** False while a new leader has not heard from all entry VMs yet. */
  readonly entriesComplete: boolean;
  readonly jobsFounders: readonly ReplicaId[] | null;
  /** Where batch jobs are kept, best known place first. */
  readonly jobsReplicas: readonly ReplicaId[];
  readonly stores: readonly StoreView[];
  /** Requests during whose runs engines ended. */
  readonly suspects: readonly SuspectView[];
}

/** What any process may ask of the control group's leader. */
export type FleetRequest =
  | {
      /** One for each part of the process. */
      readonly hellos: readonly FleetHeartbeat[];
      readonly kind: 'watch';
      readonly known: KnownVersions;
      /** Whether a replica that doesn't lead may answer, with what the leader told it. */
      readonly mayRelay: boolean;
      /** What other processes have said to this one since it last passed it on. */
      readonly relayed: readonly ForwardedHeartbeat[];
      /** Longest time to hold the answer while there is nothing new, in milliseconds. */
      readonly waitMs: number;
    }
  | {readonly config: StoredConfig; readonly kind: 'putConfig'}
  | NoteEngineEnd
  | ReleaseRequest
  | RemoveEngine
  /** Tells a process without a replica where replicas are: it may know nobody, and be asked by others. */
  | {
      readonly kind: 'introduce';
      readonly replicas: readonly ReplicaId[];
      /** What the sender holds, which may be old; null when it tells no more than where replicas are. */
      readonly told: null | WatchAnswer;
    }
  /** Asks any replica for what it holds, which may be old; for a process that knows nothing at all. */
  | {readonly kind: 'peek'}
  | {readonly kind: 'listSuspects'}
  | {readonly kind: 'readConfig'}
  | {readonly kind: 'reportEngine'; readonly report: EngineReport}
  | {readonly kind: 'retireState'; readonly name: VmId}
  | {readonly kind: 'retireStore'; readonly name: VmId};

/** Answer to `watch` and `peek`. */
export interface WatchAnswer {
  /** Age of what is told, in milliseconds: 0 from the leader, more from a replica that it told. */
  readonly ageMs: number;
  /** Present when newer than what the process holds. */
  readonly config: FleetConfig | null;
  /** Number of the news after `update`. */
  readonly fleet: number;
  /** How long the question was held before the state was read, in milliseconds. */
  readonly heldMs: number;
  /** Whether a leader has proved that nothing newer was accepted when it read its state. */
  readonly proven: boolean;
  /** Term of the leader whose news these are. */
  readonly term: number;
  /** What is newer than what the process holds. */
  readonly update: StatusUpdate;
}

/** Answer to `retireStore` and `retireState`. */
export type RetireAnswer = 'completed' | 'running' | 'tooFew' | 'unknown';

/** Everything that a process knows of the fleet. */
export interface FleetView {
  /** A moment at which all this was the latest, by this process's clock. */
  readonly asOf: MonotonicMs;
  readonly config: FleetConfig | null;
  readonly fleet: number;
  readonly news: FleetStatus;
  readonly term: number;
  /** The news as the leader told them: `news` may name entry VMs besides that a new leader has not heard yet. */
  readonly told: FleetStatus;
}

const EMPTY_STATUS: FleetStatus = {
  controls: [],
  engines: [],
  entries: [],
  entriesComplete: false,
  jobsFounders: null,
  jobsReplicas: [],
  stores: [],
  suspects: [],
};

/** What a process knows before the first answer. */
export const EMPTY_VIEW: FleetView = {
  asOf: -Infinity,
  config: null,
  fleet: 0,
  news: EMPTY_STATUS,
  term: UNPROVEN_TERM,
  told: EMPTY_STATUS,
};

function mergeEntries(before: FleetView, news: FleetStatus): readonly EntryView[] {
  if (news.entriesComplete) {
    return news.entries;
  }
  const known = new Set(news.entries.map(({name}) => name));
  return [...news.entries, ...before.news.entries.filter(({name}) => !known.has(name))];
}

/** Whether the news of an answer are older than what is known, as those of a replica that lags may be. */
function isOlder(view: FleetView, {fleet, term}: WatchAnswer): boolean {
  return term < view.term || (term === view.term && fleet < view.fleet);
}

/** News after an update; undefined when the update belongs to news that are not held here. */
function updated(view: FleetView, {term, update}: WatchAnswer): FleetStatus | undefined {
  switch (update.kind) {
    case 'delta': {
      const fits = term === view.term && update.from === view.fleet;
      return fits ? applyStatusDelta(view.told, update.delta) : undefined;
    }
    case 'same':
      return view.told;
    case 'whole':
      // Leaders of releases before tell of no suspects.
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
 * Takes in an answer. Neither the configuration nor the news nor the moment go back, whoever answers: a replica that
 * passes on what the leader told it may lag behind another one that was asked before.
 *
 * @param view what was known
 * @param answer the answer of the leader or of a replica that it told
 * @param sentAt when it was asked for, by this process's clock
 */
export function applyWatchAnswer(
  view: FleetView,
  answer: WatchAnswer,
  sentAt: MonotonicMs,
): FleetView {
  const {ageMs, config, heldMs, proven} = answer;
  const isNewer = config !== null && config.version > (view.config?.version ?? -Infinity);
  const configured = isNewer ? {...view, config} : view;
  const told = isOlder(view, answer) ? undefined : updated(view, answer);
  if (told === undefined && !isOlder(view, answer)) {
    // The next question says again what is held here.
    return configured;
  }
  const asOf = proven ? Math.max(view.asOf, sentAt + heldMs - ageMs) : view.asOf;
  const next = told === undefined ? configured : withStatus(configured, answer, told);
  return {...next, asOf};
}

/**
 * An engine by its name, while it is in the list.
 *
 * @param view what is known
 * @param id the engine
 */
export function engineOf(view: FleetView, id: EngineId): EngineView | undefined {
  return view.news.engines.find((engine) => engine.id === id);
}
