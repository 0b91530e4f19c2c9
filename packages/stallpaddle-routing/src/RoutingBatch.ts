import type {EngineId, MonotonicMs, VmId} from 'stallpaddle';

import {rendezvousOwner} from 'stallpaddle';

/**
 * How much batch work an engine's owner may run on it, and what gives way in a burst.
 */
import type {EngineView, RoutingState} from './RoutingTypes';

import {
  LOAD_STALE_MS,
  MAX_RESERVE_FRACTION,
  MIN_RESERVE_SLOTS,
  SURGE_HALF_LIFE_MS,
} from './RoutingConstants';
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

/**
 * Slots kept free for the next burst: the largest rise lately, within bounds.
 *
 * @param state this VM's view
 * @param view the engine
 * @param now monotonic time
 */
export function reserveSlots(state: RoutingState, view: EngineView, now: MonotonicMs): number {
  if (view.setup.role === 'batch') {
    return 0;
  }
  const surge = state.surges.get(view.setup.engine);
  const rise =
    surge === undefined ? 0 : surge.rise * 0.5 ** ((now - surge.at) / SURGE_HALF_LIFE_MS);
  const most = Math.floor(view.setup.slots * MAX_RESERVE_FRACTION);
  return Math.min(most, Math.max(MIN_RESERVE_SLOTS, Math.round(rise)));
}

/**
 * Batch streams that the owner may have on an engine now. Below what runs, it says how many must go.
 *
 * @param state the owner's view
 * @param engine the engine
 * @param now monotonic time
 */
export function batchAllowance(state: RoutingState, engine: EngineId, now: MonotonicMs): number {
  const view = state.engines.get(engine);
  if (view === undefined || view.setup.role === 'off' || view.setup.role === 'online') {
    return 0;
  }
  if (now < view.quarantinedUntil || now - view.loadAt > LOAD_STALE_MS) {
    return 0;
  }
  // An engine that fails gets one stream at a time until one succeeds.
  if (view.failures > 0) {
    return 1;
  }
  const online = onlineStreams(view);
  const unused = view.setup.slots - online;
  const reserve = reserveSlots(state, view, now);
  // The reserve is for what may come; what has come already uses it up.
  return Math.max(0, unused - Math.max(0, reserve - view.load.queued));
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
