/**
 * What processes ask the control group's leader, and what they keep of its answers.
 */
import type {EngineId, MonotonicMs, ReplicaId, VmId, ZoneId} from 'stallpaddle';

import type {EngineReport, FleetConfig, FleetEngine, FleetStore} from './FleetTypes';

/** What a process says of itself each time it asks. */
export type Hello =
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
  readonly learners: readonly ReplicaId[];
  /** Whether every voter holds all that was committed. */
  readonly settled: boolean;
  readonly term: number;
  readonly voters: readonly ReplicaId[];
}

/** Versions that a process holds; what is newer is sent. */
export interface KnownVersions {
  readonly config: number | null;
  /** Leader that the other numbers belong to; they start anew with each. */
  readonly epoch: string;
  readonly fleet: number;
}

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
export interface FleetNews {
  readonly controls: readonly ReplicaId[];
  readonly engines: readonly EngineView[];
  readonly entries: readonly EntryView[];
  /** False while a new leader has not heard from all entry VMs yet. */
  readonly entriesComplete: boolean;
  readonly jobsFounders: readonly ReplicaId[] | null;
  /** Where batch jobs are kept, best known place first. */
  readonly jobsReplicas: readonly ReplicaId[];
  readonly stores: readonly StoreView[];
}

/** What any process may ask of the control group's leader. */
export type FleetRequest =
  | {
      /** One for each part of the process. */
      readonly hellos: readonly Hello[];
      readonly kind: 'watch';
      readonly known: KnownVersions;
      /** Longest time to hold the answer while there is nothing new, in milliseconds. */
      readonly waitMs: number;
    }
  | {readonly config: FleetConfig; readonly kind: 'putConfig'}
  | {readonly id: EngineId; readonly kind: 'removeEngine'}
  /** Tells a process without a replica where replicas are: it may know nobody, and be asked by others. */
  | {readonly kind: 'introduce'; readonly replicas: readonly ReplicaId[]}
  /** Asks any replica for what it holds, which may be old; for a process that knows nothing at all. */
  | {readonly kind: 'peek'}
  | {readonly kind: 'readConfig'}
  | {readonly kind: 'reportEngine'; readonly report: EngineReport}
  | {readonly kind: 'retireState'; readonly name: VmId}
  | {readonly kind: 'retireStore'; readonly name: VmId};

/** Answer to `watch` and `peek`. */
export interface WatchAnswer {
  /** Present when newer than what the process holds. */
  readonly config: FleetConfig | null;
  readonly epoch: string;
  /** Whether a leader has proved that nothing newer was accepted when it read its state. */
  readonly proven: boolean;
  /** Number of `news`, or of what the process holds. */
  readonly fleet: number;
  /** How long the question was held before the state was read, in milliseconds. */
  readonly heldMs: number;
  /** Present when newer than what the process holds. */
  readonly news: FleetNews | null;
}

/** Answer to `retireStore` and `retireState`. */
export type RetireAnswer = 'completed' | 'running' | 'tooFew' | 'unknown';

/** Everything that a process knows of the fleet. */
export interface FleetView {
  /** A moment at which all this was the latest, by this process's clock. */
  readonly asOf: MonotonicMs;
  readonly config: FleetConfig | null;
  readonly epoch: string;
  readonly fleet: number;
  readonly news: FleetNews;
}

/** What a process knows before the first answer. */
export const EMPTY_VIEW: FleetView = {
  asOf: -Infinity,
  config: null,
  epoch: '',
  fleet: 0,
  news: {
    controls: [],
    engines: [],
    entries: [],
    entriesComplete: false,
    jobsFounders: null,
    jobsReplicas: [],
    stores: [],
  },
};

function mergeEntries(before: FleetView, news: FleetNews): readonly EntryView[] {
  if (news.entriesComplete) {
    return news.entries;
  }
  const known = new Set(news.entries.map(({name}) => name));
  return [...news.entries, ...before.news.entries.filter(({name}) => !known.has(name))];
}

/**
 * Takes in an answer. The configuration never goes back, and neither does the moment.
 *
 * @param view what was known
 * @param answer the leader's answer
 * @param sentAt when it was asked for, by this process's clock
 */
export function takeAnswer(view: FleetView, answer: WatchAnswer, sentAt: MonotonicMs): FleetView {
  const {config, news} = answer;
  const isNewer = config !== null && config.version > (view.config?.version ?? -Infinity);
  return {
    asOf: answer.proven ? Math.max(view.asOf, sentAt + answer.heldMs) : view.asOf,
    config: isNewer ? config : view.config,
    epoch: answer.epoch,
    fleet: answer.fleet,
    news: news === null ? view.news : {...news, entries: mergeEntries(view, news)},
  };
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
