/**
 * What a VM knows of the engines. Advisory: rebuilt within seconds, never persisted.
 */
import type {CustomerId, EngineId, MonotonicMs, VmId, ZoneId} from 'stallpaddle';

/** Two kinds of work; online goes first everywhere. */
export type WorkClass = 'batch' | 'online';

/** What an engine is set up for, from the configuration. */
export interface EngineSetup {
  readonly engine: EngineId;
  readonly role: 'all' | 'batch' | 'off' | 'online';
  readonly slots: number;
  readonly zone: ZoneId;
}

/** Load that an engine reported; it is old by the time it is read. */
export interface EngineLoad {
  readonly batch: number;
  readonly online: number;
  /** Online requests that wait inside the engine. */
  readonly queued: number;
  /** Mean time between tokens of a stream, in milliseconds; 0 when unknown. */
  readonly tokenMs: number;
  readonly weights: readonly string[];
}

/** A change in the number of this VM's online streams on an engine. */
export interface StreamChange {
  readonly at: MonotonicMs;
  readonly delta: -1 | 1;
}

/** Online streams that another VM has on an engine, as it told the engine's owner. */
export interface ReportedStreams {
  readonly at: MonotonicMs;
  readonly online: number;
}

/** Everything known of one engine. */
export interface EngineView {
  /** Failures in a row; a success ends the row. */
  readonly failures: number;
  readonly load: EngineLoad;
  /** When the load was true, on this VM's clock; -Infinity before the first report. */
  readonly loadAt: MonotonicMs;
  /** Batch streams of this VM that run on the engine. */
  readonly ownBatch: number;
  readonly ownOnline: number;
  /** Until then the engine gets at most one request at a time. */
  readonly quarantinedUntil: MonotonicMs;
  /** Online streams that this VM started or ended since the load was true. */
  readonly recent: readonly StreamChange[];
  readonly setup: EngineSetup;
  /** What other VMs told this one, as the engine's owner, by VM. */
  readonly reported: ReadonlyMap<VmId, ReportedStreams>;
  /** Mean time between tokens as this VM measured, in milliseconds; 0 when unknown. */
  readonly tokenMs: number;
}

/** A VM's view of all engines. */
export interface RoutingState {
  readonly engines: ReadonlyMap<EngineId, EngineView>;
}

/** How a request at an engine ended. */
export type EngineOutcome = 'cancelled' | 'failed' | 'succeeded';

/** What changes a view. */
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
      /** Measured time between tokens, in milliseconds; 0 when unknown. */
      readonly tokenMs: number;
      readonly work: WorkClass;
    };

/** An online request as far as placement needs it. */
export interface PlacementRequest {
  /** Same for requests that share a prompt prefix and a customer. */
  readonly affinity: string;
  readonly customer: CustomerId;
  /** Engines that this request has failed on. */
  readonly excluded: readonly EngineId[];
  /** Engines that the configuration names for the model version. */
  readonly serving: readonly EngineId[];
  readonly weights: string;
  readonly zone: ZoneId;
}

/** Where a request goes, or when to come back. */
export type Placement =
  | {readonly engine: EngineId; readonly kind: 'engine'}
  | {readonly kind: 'full'; readonly retryAfterMs: number}
  | {readonly kind: 'noEngine'; readonly retryAfterMs: number};
