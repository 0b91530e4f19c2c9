/**
 * Types of the control group's state: the configuration, registered engines, stores and suspect requests.
 */
import type {EngineId, ReplicaId, VmId, ZoneId} from 'stallpaddle';
import type {GroupMs} from 'stallpaddle-replication';

import type {FormerSoftware} from './FleetSoftware';
import type {FleetSuspectParts, ReleaseParts, TryParts} from './FleetSuspectParts';
import type {FleetSuspects, NoteEngineEnd, ReleaseRequest} from './FleetSuspects';

/** How the requests of a route are retried when an attempt fails. */
export type RouteKind = 'batch' | 'nonRepeatable' | 'repeatable' | 'streaming';

/** Fraction of a route's requests that one service receives. */
export interface RouteShare {
  readonly service: string;
  /** Relative to the route's other shares. */
  readonly weight: number;
}

/** Settings for the requests of one host that share a path prefix. */
export interface FleetRoute {
  /** Time after which a batch item may be given up, in milliseconds; infinite if it may not, and for other kinds. */
  readonly giveUpAfterMs: number;
  readonly host: string;
  /** Whether requests need no customer key; defaults to false. */
  readonly isPublic?: boolean;
  readonly kind: RouteKind;
  /** Maximum number of engines that one request may be sent to. */
  readonly maxAttempts: number;
  /** Maximum tokens of waiting batch items, per customer where customers are configured; 0 for no limit. */
  readonly maxWaitingTokens: number;
  readonly name: string;
  /** Target time to the first byte of a response, in milliseconds. */
  readonly objectiveMs: number;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Priority of the requests of customers that have none, 0 being the highest; defaults to 0. */
  readonly priority?: number;
  /** Whether an interrupted stream may be resumed on another engine. */
  readonly resumable: boolean;
  readonly split: readonly RouteShare[];
  /** Time within which a batch job should complete, in milliseconds; 0 for other kinds. */
  readonly targetMs: number;
  /** Maximum duration of a request, in milliseconds. */
  readonly timeoutMs: number;
}

/** A group of interchangeable engines. */
export interface FleetService {
  /** Maximum number of connections that one engine accepts. */
  readonly maxConnections: number;
  readonly name: string;
  /** Requests that one engine processes concurrently; null when not configured. */
  readonly slots: number | null;
}

/** Size and time limits for requests of callers. */
export interface FleetLimits {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
}

/** A customer with its keys and limits. */
export interface FleetCustomer {
  /** Requests allowed at once beyond the rate. */
  readonly burst: number;
  /** Digests of the customer's keys; the keys themselves are stored only in the operator's source text. */
  readonly keys: readonly string[];
  readonly name: string;
  /** Priority that overrides the route's, 0 being the highest; null to use the route's. */
  readonly priority: number | null;
  /** Requests per second over all VMs; 0 for no limit. */
  readonly ratePerSecond: number;
}

/** A complete configuration, as distributed to every process. */
export interface FleetConfig {
  /** Absent when requests need no key. */
  readonly customers?: readonly FleetCustomer[];
  readonly limits: FleetLimits;
  readonly routes: readonly FleetRoute[];
  readonly services: readonly FleetService[];
  /** The configuration with the highest version is in effect. */
  readonly version: number;
}

/** A complete configuration, as the control group stores it. */
export interface StoredConfig extends FleetConfig {
  /** The operator's text, returned verbatim. It contains customers' keys, so it is not sent to other processes. */
  readonly source: string;
}

/** Registration that an engine sends periodically. */
export interface EngineReport {
  /** IP address and port. */
  readonly address: string;
  readonly draining: boolean;
  readonly id: EngineId;
  /** Increases with each report of one engine incarnation. */
  readonly sequence: number;
  readonly service: string;
  readonly slots: number;
  /** Version of the engine's software, not of its weights; {@link UNKNOWN_SOFTWARE} when not reported. */
  readonly softwareVersion: string;
  /**
   * Start time by the engine's own wall clock, in Unix milliseconds; {@link UNKNOWN_START} when not reported. It
   * identifies the incarnation: an engine that restarts under its name has lost its state and restarts its sequence.
   */
  readonly startedAtMs: number;
  readonly zone: ZoneId;
}

/** Start time of an engine that doesn't report one; earlier than every reported start time. */
export const UNKNOWN_START = 0;

/** Software version of an engine that doesn't report one. */
export const UNKNOWN_SOFTWARE = '';

/** The latest accepted report of an engine. */
export type FleetEngine = EngineReport;

/** A registered store process; its replica ID identifies its disk. */
export interface FleetStore {
  readonly name: VmId;
  readonly replica: ReplicaId;
  /** Whether the operator asked to move all data off the VM. */
  readonly retiring: boolean;
}

/** Deregisters an engine that is shutting down. */
export interface RemoveEngine {
  readonly id: EngineId;
  readonly kind: 'removeEngine';
  /** The incarnation that ends; null when not given, which means the known one. */
  readonly startedAtMs: number | null;
}

/** Commands of the state machine. */
export type FleetCommand =
  | {readonly config: StoredConfig; readonly kind: 'putConfig'}
  | {readonly founders: readonly ReplicaId[]; readonly kind: 'foundJobs'}
  | NoteEngineEnd
  | ReleaseParts
  | ReleaseRequest
  | RemoveEngine
  | {readonly kind: 'reportEngine'; readonly report: EngineReport}
  | {readonly kind: 'retireStore'; readonly name: VmId}
  | {readonly kind: 'seeStore'; readonly name: VmId; readonly replica: ReplicaId}
  /** Advances the group's clock, so that suspects expire. */
  | {readonly kind: 'tick'}
  | TryParts;

/** Result of a command. */
export type FleetAnswer =
  | {readonly kind: 'applied'}
  /** The stored configuration has the sent version or a higher one; nothing was changed. */
  | {readonly kind: 'held'; readonly version: number}
  /** A trial of quarantined parts is not due, or another sender got it. */
  | {readonly kind: 'trialDenied'}
  | {readonly kind: 'unknownStore'};

/** Replicated state of the control group. */
export interface FleetState {
  /** The group's logical clock: the sum of the elapsed times that its leaders recorded. */
  readonly clockMs: GroupMs;
  readonly config: StoredConfig | null;
  readonly engines: ReadonlyMap<EngineId, FleetEngine>;
  /** Increases with each change of the engines. */
  readonly enginesRevision: number;
  /** Software versions that may have begun streams which can still come back, though no engine has them any more. */
  readonly formerSoftware: FormerSoftware;
  /** Latest ended incarnation of each removed engine, oldest first; only a later incarnation may register again. */
  readonly goneEngines: ReadonlyMap<EngineId, number>;
  /** Initial members of the group that stores batch jobs; null until it is created. */
  readonly jobsFounders: readonly ReplicaId[] | null;
  readonly stores: ReadonlyMap<VmId, FleetStore>;
  /** Shared parts of the prompts of such requests. */
  readonly suspectParts: FleetSuspectParts;
  /** Requests that were starting on engines when these exited. */
  readonly suspects: FleetSuspects;
}
