/**
 * How much batch work an engine's owner may run on it, and what gives way in a burst.
 */
import type {EngineId, MonotonicMs, VmId} from 'stallpaddle';

import {rendezvousOwner} from 'stallpaddle';

import type {RoutingState} from './RoutingTypes';

import {LOAD_STALE_MS} from './RoutingConstants';
import {onlineStreams} from './RoutingView';

/**
 * The VM that places all batch work on an engine. When a VM goes, only its engines change hands.
 *
 * @param engine the engine
 * @param vms VMs that are live and stay
 */
export function ownerOf(engine: EngineId, vms: readonly VmId[]): VmId | undefined {
  return rendezvousOwner(engine, vms);
}

/** How many batch streams an engine's owner may have there. */
export interface BatchAllowance {
  /** More than these must go. */
  readonly keep: number;
  /** New ones are started up to here; at most `keep`. */
  readonly start: number;
}

const NO_BATCH: BatchAllowance = {keep: 0, start: 0};

/**
 * Batch streams that the owner may have on an engine now: every slot that online requests leave. No
 * slot is held in reserve, for the owner is told of each online request as it is sent and cancels
 * a batch stream for it.
 *
 * @param state the owner's view
 * @param engine the engine
 * @param now monotonic time
 */
export function batchAllowance(
  state: RoutingState,
  engine: EngineId,
  now: MonotonicMs,
): BatchAllowance {
  const view = state.engines.get(engine);
  if (view === undefined || view.setup.role === 'off' || view.setup.role === 'online') {
    return NO_BATCH;
  }
  const keep = Math.max(0, view.setup.slots - onlineStreams(view));
  if (now < view.quarantinedUntil || now - view.loadAt > LOAD_STALE_MS) {
    return {keep, start: 0};
  }
  // An engine that fails gets one stream at a time until one succeeds.
  if (view.failures > 0) {
    return {keep, start: Math.min(1, keep)};
  }
  return {keep, start: keep};
}

/** A batch stream that runs on an engine. */
export interface BatchStream {
  readonly id: string;
  /** Whether it may be cancelled and repeated. */
  readonly repeatable: boolean;
  readonly startedAt: MonotonicMs;
}

/**
 * The streams to cancel so that no more than the allowance run: latest started first, as they are
 * the cheapest to repeat. Streams that must not repeat stay.
 *
 * @param streams batch streams on one engine
 * @param allowance streams that may stay
 */
export function streamsToCancel(
  streams: readonly BatchStream[],
  allowance: number,
): readonly BatchStream[] {
  const excess = streams.length - allowance;
  if (excess <= 0) {
    return [];
  }
  return streams
    .filter((stream) => stream.repeatable)
    .sort((a, b) => b.startedAt - a.startedAt)
    .slice(0, excess);
}
