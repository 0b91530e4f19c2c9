/**
 * What the control group keeps of a fleet whose engines register themselves and whose operator
 * sends whole configurations.
 */
import type {EngineId, ReplicaId, VmId, ZoneId} from 'stallpaddle';
import type {GroupMs} from 'stallpaddle-replication';

import type {FleetSuspects, NoteEngineEnd, ReleaseRequest} from './FleetSuspects';

/** What may happen to a request of a route when an attempt fails. */
export type RouteKind = 'batch' | 'nonRepeatable' | 'repeatable' | 'streaming';

/** Part of a route's requests that goes to one service. */
export interface RouteShare {
  readonly service: string;
  /** Relative to the route's other shares. */
  readonly weight: number;
}

/** Requests of one host whose path begins alike. */
export interface FleetRoute {
  /** Time after which a batch item may be given up, in milliseconds; 0 for other kinds. */
  readonly giveUpAfterMs: number;
  readonly host: string;
  /** Whether requests need no customer's key; they do where this is left out. */
  readonly isPublic?: boolean;
  readonly kind: RouteKind;
  /** Most engines that one request may be sent to. */
  readonly maxAttempts: number;
  /** Most tokens of batch items that may wait, of each customer where the fleet knows customers; 0 for no limit. */
  readonly maxWaitingTokens: number;
  readonly name: string;
  /** Time to the first byte of an answer that is worth most, in milliseconds. */
  readonly objectiveMs: number;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a stream may go on at another engine. */
  readonly resumable: boolean;
  readonly split: readonly RouteShare[];
  /** Time in which a batch job is due, in milliseconds; 0 for other kinds. */
  readonly targetMs: number;
  /** Longest time that a request may be held, in milliseconds. */
  readonly timeoutMs: number;
}

/** Engines that do the same work. */
export interface FleetService {
  /** Most connections that one engine accepts. */
  readonly maxConnections: number;
  readonly name: string;
  /** Requests that one engine works on at a time, where the configuration says so. */
  readonly slots: number | null;
}

/** What a caller may send. */
export interface FleetLimits {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
}

/** Who may send requests. */
export interface FleetCustomer {
  /** Requests that may come at once beyond the rate. */
  readonly burst: number;
  /** Digests of the customer's keys; the keys themselves are kept with the operator's own text only. */
  readonly keys: readonly string[];
  readonly name: string;
  /** Rank before that of the route, 0 the highest; null for the route's. */
  readonly priority: number | null;
  /** Requests a second over all VMs; 0 for no limit. */
  readonly ratePerSecond: number;
}

/** A whole configuration, as every process needs it. */
export interface FleetConfig {
  /** Left out where requests need no key at all. */
  readonly customers?: readonly FleetCustomer[];
  readonly limits: FleetLimits;
  readonly routes: readonly FleetRoute[];
  readonly services: readonly FleetService[];
  /** The highest holds. */
  readonly version: number;
}

/** A whole configuration, as the control group keeps it. */
export interface StoredConfig extends FleetConfig {
  /** The operator's own text, given back as it came. It holds the customers' keys, so it goes to nobody else. */
  readonly source: string;
}

/** What an engine says of itself. */
export interface EngineReport {
  /** IP number and port. */
  readonly address: string;
  readonly draining: boolean;
  readonly id: EngineId;
  /** Rises with each report of the same engine. */
  readonly sequence: number;
  readonly service: string;
  readonly slots: number;
  /**
   * When it started, in Unix milliseconds of its own time of day; {@link UNKNOWN_START} when it doesn't say. An engine that
   * starts again under its name holds nothing of before, and counts its reports anew.
   */
  readonly startedAtMs: number;
  readonly zone: ZoneId;
}

/** Start of an engine that doesn't say when it started: before all that do. */
export const UNKNOWN_START = 0;

/** An engine as the group knows it. */
export type FleetEngine = EngineReport;

/** A store process that has been seen, by its disk's name as a replica. */
export interface FleetStore {
  readonly name: VmId;
  readonly replica: ReplicaId;
  /** Whether the operator wants the VM emptied. */
  readonly retiring: boolean;
}

/** An engine says that it ends. */
export interface RemoveEngine {
  readonly id: EngineId;
  readonly kind: 'removeEngine';
  /** Which of its starts ends; null when it doesn't say: then the one that is known. */
  readonly startedAtMs: number | null;
}

/** What changes the state. */
export type FleetCommand =
  | {readonly config: StoredConfig; readonly kind: 'putConfig'}
  | {readonly founders: readonly ReplicaId[]; readonly kind: 'foundJobs'}
  | NoteEngineEnd
  | ReleaseRequest
  | RemoveEngine
  | {readonly kind: 'reportEngine'; readonly report: EngineReport}
  | {readonly kind: 'retireStore'; readonly name: VmId}
  | {readonly kind: 'seeStore'; readonly name: VmId; readonly replica: ReplicaId}
  /** Lets the group's clock run, so that suspects whose time is over are let go. */
  | {readonly kind: 'tick'};

/** Answer to a command. */
export type FleetAnswer =
  | {readonly kind: 'applied'}
  /** A configuration at or above the sent version holds; nothing was changed. */
  | {readonly kind: 'held'; readonly version: number}
  | {readonly kind: 'unknownStore'};

/** Everything that the group keeps. */
export interface FleetState {
  /** The group's own clock: time that its leaders have counted. */
  readonly clockMs: GroupMs;
  readonly config: StoredConfig | null;
  readonly engines: ReadonlyMap<EngineId, FleetEngine>;
  /** Rises with each change of the engines. */
  readonly enginesRevision: number;
  /** The last start that has ended of each engine that is gone, oldest first: only a later start comes back. */
  readonly goneEngines: ReadonlyMap<EngineId, number>;
  /** First members of the group that keeps batch jobs; null until it was founded. */
  readonly jobsFounders: readonly ReplicaId[] | null;
  readonly stores: ReadonlyMap<VmId, FleetStore>;
  /** Requests during whose runs engines ended. */
  readonly suspects: FleetSuspects;
}
