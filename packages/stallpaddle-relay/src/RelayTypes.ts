/**
 * Types of a request in the relay, and the dependencies of the relay.
 */
import type {Clock, LogFields, MonotonicMs, Random, ZoneId} from 'stallpaddle';
import type {EngineView, Feature, FleetRoute} from 'stallpaddle-fleet';

import type {RelayAdmission} from './RelayAdmission';
import type {RelayEngineHealth} from './RelayEngineHealth';
import type {RelayFleetLoad} from './RelayFleetLoad';
import type {RelayHeldBytes} from './RelayHeldBytes';
import type {RelayLatencies} from './RelayLatencies';
import type {RelayOnlineLoad} from './RelayOnlineLoad';
import type {RelaySpeeds} from './RelaySpeeds';
import type {RelayStarts} from './RelayStarts';
import type {RelayStreams} from './RelayStreams';
import type {RelaySuspects} from './RelaySuspects';
import type {CallerMetadata, RelayWire} from './RelayWire';

/** Identity of the caller that sends a request. */
export type RelayCaller =
  /** Anonymous caller of a fleet that has customers: headers in which it identifies itself are not forwarded. */
  | {readonly kind: 'anybody'}
  | {readonly kind: 'customer'; readonly name: string}
  /** The fleet has no customers: headers in which the caller identifies itself are forwarded. */
  | {readonly kind: 'untold'};

/** A caller's request with its complete body. */
export interface RelayRequest {
  readonly arrivedAt: MonotonicMs;
  readonly body: Uint8Array;
  readonly caller: RelayCaller;
  /** Host to which the caller addressed the request. */
  readonly host: string;
  readonly metadata: CallerMetadata;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly route: FleetRoute;
  /** Estimated time that the caller has spent on earlier attempts, in milliseconds. */
  readonly spentMs: number;
}

/** Outcome of a request, for metrics and logs. */
export type RelayEnd =
  /** The response was aborted after its head was sent; the caller can see that it is incomplete. */
  | 'broken'
  /** The caller closed the connection. */
  | 'left'
  | 'refused'
  | 'served'
  /** The engine's own 5xx response was forwarded. */
  | 'serverFailure'
  /** Ended by the caller's deadline or the route's time limit. */
  | 'timedOut';

/** Decision on a request, as it is named in the log. */
export type RelayDecision =
  | 'declined'
  | 'ended'
  /** The engine failed the request, or its response can't continue the stream. */
  | 'failed'
  | 'held'
  /** A stream can't go on for its software version: it is unknown, or no engine has it any more. */
  | 'notResumed'
  | 'placed'
  /** Not sent to an engine for lack of slots; only with admission. */
  | 'rejected'
  | 'resumed'
  | 'silent'
  | 'suspected'
  | 'taken'
  /** The request is the trial of quarantined parts of its prompt. */
  | 'trial'
  /** The engine of a response is not the start that was selected, or doesn't say so. */
  | 'unconfirmed'
  /** A wait for a slot ended without a rejection; only with admission. */
  | 'waited';

/** Dependencies of the relay. */
export interface RelayContext {
  /** Queues of requests that wait for a slot; used where the feature is on. */
  readonly admission: RelayAdmission;
  readonly clock: Clock;
  /** Logs one decision. */
  readonly decide: (decision: RelayDecision, requestId: string, fields: LogFields) => void;
  readonly engineHealth: RelayEngineHealth;
  readonly engines: () => readonly EngineView[];
  /** What the dispatcher last told of the fleet. */
  readonly fleetLoad: RelayFleetLoad;
  /** Counts the bytes that are held for callers. */
  readonly held: Pick<RelayHeldBytes, 'noteWrite'>;
  /** Whether an optional feature is on. */
  readonly isOn: (feature: Feature) => boolean;
  readonly latencies: RelayLatencies;
  readonly online: RelayOnlineLoad;
  readonly random: Random;
  /** What this VM observes of the speeds of engines; left out where nobody is told. */
  readonly speeds?: RelaySpeeds;
  /** Confirms which starts of engines have written responses. */
  readonly starts: Pick<RelayStarts, 'confirm'>;
  /** Software that began the streams that callers take up again. */
  readonly streams: RelayStreams;
  readonly suspects: RelaySuspects;
  /** Age of this process's fleet view, in milliseconds. */
  readonly viewAgeMs: () => number;
  readonly wire: RelayWire;
  /** Availability zone of this VM. */
  readonly zone: ZoneId;
}
