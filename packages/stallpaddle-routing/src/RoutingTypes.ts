/**
 * A VM's view of the engines and the events that change it. It is approximate, kept in memory only and rebuilt after a
 * restart.
 */
import type {CustomerId, EngineId, MonotonicMs, VmId, ZoneId} from 'stallpaddle';

/** Kind of work; online takes precedence over batch. */
export type WorkClass = 'batch' | 'online';

/** An engine's settings from the configuration. */
export interface EngineSetup {
  readonly engine: EngineId;
  readonly role: 'all' | 'batch' | 'off' | 'online';
  readonly slots: number;
  readonly zone: ZoneId;
}

/** Load that an engine reported; possibly outdated. */
export interface EngineLoad {
  readonly batch: number;
  readonly online: number;
  /** Online requests that are queued in the engine. */
  readonly queued: number;
  /** Mean time between tokens of a stream, in milliseconds; 0 if unknown. */
  readonly tokenMs: number;
  readonly weights: readonly string[];
}

/** A change in the number of this VM's online streams on an engine. */
export interface StreamChange {
  readonly at: MonotonicMs;
  readonly delta: -1 | 1;
}

/** Number of online streams on an engine that another VM reported to the engine's owner. */
export interface ReportedStreams {
  readonly at: MonotonicMs;
  readonly online: number;
}

/** A VM's view of one engine. */
export interface EngineView {
  /** Consecutive failures; a success resets it. */
  readonly failures: number;
  readonly load: EngineLoad;
  /** When the load was measured, on this VM's clock; -Infinity before the first report. */
  readonly loadAt: MonotonicMs;
  /** Batch streams that this VM runs on the engine. */
  readonly ownBatch: number;
  /** Online streams that this VM runs on the engine. */
  readonly ownOnline: number;
  /** Until then no online requests and no new batch streams are placed on the engine. */
  readonly quarantinedUntil: MonotonicMs;
  /** Online streams that this VM started or ended since the load was measured. */
  readonly recent: readonly StreamChange[];
  readonly setup: EngineSetup;
  /** Online streams that other VMs reported to this one as the engine's owner, by VM. */
  readonly reported: ReadonlyMap<VmId, ReportedStreams>;
  /** Mean time between tokens as measured by this VM, in milliseconds; 0 if unknown. */
  readonly tokenMs: number;
}

/** A VM's view of all engines. */
export interface RoutingState {
  readonly engines: ReadonlyMap<EngineId, EngineView>;
}

/** How a request at an engine ended. */
export type EngineOutcome = 'cancelled' | 'failed' | 'succeeded';

/** An event that changes a VM's view. */
export type RoutingEvent =
  | {readonly kind: 'configured'; readonly setups: readonly EngineSetup[]}
  | {
      readonly engine: EngineId;
      readonly kind: 'loadHeard';
      readonly ageMs: number;
      readonly load: EngineLoad;
    }
  | {readonly engine: EngineId; readonly kind: 'started'; readonly work: WorkClass}
  | {readonly engine: EngineId; readonly kind: 'told'; readonly online: number; readonly vm: VmId}
  | {readonly engine: EngineId; readonly kind: 'unreachable'}
  | {
      readonly engine: EngineId;
      readonly kind: 'ended';
      readonly outcome: EngineOutcome;
      /** Measured time between tokens, in milliseconds; 0 if unknown. */
      readonly tokenMs: number;
      readonly work: WorkClass;
    };

/** The properties of an online request that decide its placement. */
export interface PlacementRequest {
  /** Equal for requests of one customer with the same prompt prefix. */
  readonly affinity: string;
  readonly customer: CustomerId;
  /** Engines on which this request has failed. */
  readonly excluded: readonly EngineId[];
  /** Engines that the configuration assigns to the model version. */
  readonly serving: readonly EngineId[];
  readonly weights: string;
  readonly zone: ZoneId;
}

/** The engine for a request, or when to retry. */
export type Placement =
  | {readonly engine: EngineId; readonly kind: 'engine'}
  | {readonly kind: 'full'; readonly retryAfterMs: number}
  | {readonly kind: 'noEngine'; readonly retryAfterMs: number};
