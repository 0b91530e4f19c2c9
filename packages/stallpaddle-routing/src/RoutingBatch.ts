/**
 * Limits on the batch work of an engine, and which batch streams are preempted for online requests.
 */
import type {EngineId, MonotonicMs, VmId} from 'stallpaddle';

import {rendezvousOwner} from 'stallpaddle';

import type {RoutingState} from './RoutingTypes';

import {LOAD_STALE_MS} from './RoutingConstants';
import {onlineStreams} from './RoutingView';

/**
 * The VM that places all batch work on an engine. When a VM leaves, only its own engines get a new owner.
 *
 * @param engine the engine
 * @param vms live VMs that are not leaving
 */
export function ownerOf(engine: EngineId, vms: readonly VmId[]): VmId | undefined {
  return rendezvousOwner(engine, vms);
}

/** Limits on the batch streams that an engine's owner runs there. */
export interface BatchAllowance {
  /** Streams above this number are cancelled. */
  readonly keep: number;
  /** New streams are started up to this number; at most `keep`. */
  readonly start: number;
}

const NO_BATCH: BatchAllowance = {keep: 0, start: 0};

/**
 * Batch streams that the owner may run on an engine: one for every slot without an online request. No slots are
 * reserved, because each online request is reported to the owner as it is sent, and the owner cancels a batch stream
 * for it.
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
  // A failing engine gets one stream at a time until one succeeds.
  if (view.failures > 0) {
    return {keep, start: Math.min(1, keep)};
  }
  return {keep, start: keep};
}

/** A batch stream running on an engine. */
export interface BatchStream {
  readonly id: string;
  /** Whether the stream may be cancelled and run again. */
  readonly repeatable: boolean;
  readonly startedAt: MonotonicMs;
}

/**
 * Selects the streams to cancel to meet the allowance: the latest started first, because repeating them costs least.
 * Non-repeatable streams are never cancelled.
 *
 * @param streams batch streams on one engine
 * @param allowance maximum number of streams
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
