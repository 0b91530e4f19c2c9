/**
 * A request on its way through the relay, and what the relay needs of its process.
 */
import type {Clock, LogFields, MonotonicMs, Random, ZoneId} from 'stallpaddle';
import type {EngineView, FleetRoute} from 'stallpaddle-fleet';

import type {RelayEngineHealth} from './RelayEngineHealth';
import type {RelayOnlineLoad} from './RelayOnlineLoad';
import type {RelayLatencies} from './RelayLatencies';
import type {RelaySuspects} from './RelaySuspects';
import type {CallerMetadata, RelayWire} from './RelayWire';

/** Who sends a request. */
export type RelayCaller =
  /** Nobody in particular, where the fleet knows customers: its own words on who it is go nowhere. */
  | {readonly kind: 'anybody'}
  | {readonly kind: 'customer'; readonly name: string}
  /** The fleet knows no customers: what a caller says of itself is passed on. */
  | {readonly kind: 'untold'};

/** A caller's request, read whole. */
export interface RelayRequest {
  readonly arrivedAt: MonotonicMs;
  readonly body: Uint8Array;
  readonly caller: RelayCaller;
  readonly metadata: CallerMetadata;
  /** Name that the caller gave the server. */
  readonly host: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly route: FleetRoute;
  /** Time that the caller has spent on earlier attempts, in milliseconds. */
  readonly spentMs: number;
}

/** How a request ended, for counters and logs. */
export type RelayEnd =
  /** Broken off midway: the caller can see that its answer isn't whole. */
  | 'broken'
  /** The caller left. */
  | 'left'
  | 'refused'
  | 'served'
  /** Answered with an engine's own failure. */
  | 'serverFailure'
  /** Ended by its deadline or the route's time limit. */
  | 'timedOut';

/** One decision on a request. */
export type RelayDecision =
  'declined' | 'ended' | 'held' | 'placed' | 'resumed' | 'silent' | 'suspected' | 'taken';

/** What the relay needs of its process. */
export interface RelayContext {
  readonly clock: Clock;
  /** Writes one line for a decision. */
  readonly decide: (decision: RelayDecision, requestId: string, fields: LogFields) => void;
  readonly engines: () => readonly EngineView[];
  readonly engineHealth: RelayEngineHealth;
  readonly online: RelayOnlineLoad;
  readonly latencies: RelayLatencies;
  readonly random: Random;
  readonly suspects: RelaySuspects;
  /** Age of what is known of the fleet, in milliseconds. */
  readonly viewAgeMs: () => number;
  readonly wire: RelayWire;
  /** Availability zone of this VM. */
  readonly zone: ZoneId;
}
