/**
 * A VM's view of the engines as a pure state machine.
 */
import type {MonotonicMs, VmId} from 'stallpaddle';

import {unreachable} from 'stallpaddle';

import type {
  EngineLoad,
  EngineOutcome,
  EngineSetup,
  EngineView,
  RoutingEvent,
  RoutingState,
  StreamChange,
  WorkClass,
} from './RoutingTypes';

import {
  MAX_QUARANTINE_MS,
  MAX_RECENT_CHANGES,
  QUARANTINE_FAILURES,
  QUARANTINE_MS,
  REPORTED_STREAMS_TTL_MS,
  REQUEST_TRANSIT_MS,
  SMOOTHING,
} from './RoutingConstants';

const NO_LOAD: EngineLoad = {batch: 0, online: 0, queued: 0, tokenMs: 0, weights: []};

/** A view without engines. */
export const EMPTY_ROUTING: RoutingState = {engines: new Map()};

function newView(setup: EngineSetup): EngineView {
  return {
    failures: 0,
    load: NO_LOAD,
    loadAt: -Infinity,
    ownBatch: 0,
    ownOnline: 0,
    quarantinedUntil: -Infinity,
    recent: [],
    reported: new Map(),
    setup,
    tokenMs: 0,
  };
}

/**
 * Estimated number of online streams on an engine. The owner has exact counts reported by the other VMs. Without them,
 * the engine's load report is used, adjusted by the streams that this VM has started and ended since.
 *
 * @param view an engine
 */
export function onlineStreams(view: EngineView): number {
  const {load, ownOnline, recent, reported} = view;
  if (reported.size > 0) {
    const others = [...reported.values()].reduce((sum, {online}) => sum + online, 0);
    // Online requests queued behind batch work mean that some VM's report was lost.
    return ownOnline + others + (load.batch > 0 ? load.queued : 0);
  }
  const since = recent.reduce((sum, {delta}) => sum + delta, 0);
  return Math.max(ownOnline, load.online + load.queued + since, 0);
}

function configure(state: RoutingState, setups: readonly EngineSetup[]): RoutingState {
  const engines = new Map<string, EngineView>();
  for (const setup of setups) {
    const known = state.engines.get(setup.engine);
    engines.set(setup.engine, known === undefined ? newView(setup) : {...known, setup});
  }
  return {engines};
}

function withEngine(state: RoutingState, view: EngineView): RoutingState {
  return {engines: new Map(state.engines).set(view.setup.engine, view)};
}

function applyLoad(
  view: EngineView,
  load: EngineLoad,
  at: MonotonicMs,
  now: MonotonicMs,
): EngineView {
  // Load reports can arrive out of order.
  if (at <= view.loadAt) {
    return view;
  }
  // Requests sent just before the load was measured may not have reached the engine yet.
  const recent = view.recent.filter((change) => change.at > at - REQUEST_TRANSIT_MS);
  return {...view, load, loadAt: at, recent, reported: withoutExpired(view.reported, now)};
}

function withoutExpired(
  reported: EngineView['reported'],
  now: MonotonicMs,
): EngineView['reported'] {
  const valid = [...reported].filter(([, {at}]) => now - at < REPORTED_STREAMS_TTL_MS);
  return valid.length === reported.size ? reported : new Map(valid);
}

function applyReport(view: EngineView, vm: VmId, online: number, now: MonotonicMs): EngineView {
  return {...view, reported: new Map(view.reported).set(vm, {at: now, online})};
}

function withChange(view: EngineView, at: MonotonicMs, delta: StreamChange['delta']): EngineView {
  return {...view, recent: [...view.recent, {at, delta}].slice(-MAX_RECENT_CHANGES)};
}

function recordStart(view: EngineView, work: WorkClass, now: MonotonicMs): EngineView {
  return work === 'online'
    ? {...withChange(view, now, 1), ownOnline: view.ownOnline + 1}
    : {...view, ownBatch: view.ownBatch + 1};
}

function quarantineMs(failures: number): number {
  const doublings = failures - QUARANTINE_FAILURES;
  return doublings < 0 ? 0 : Math.min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2 ** doublings);
}

function recordFailure(view: EngineView, now: MonotonicMs): EngineView {
  const failures = view.failures + 1;
  return {...view, failures, quarantinedUntil: now + quarantineMs(failures)};
}

function recordEnd(
  view: EngineView,
  work: WorkClass,
  outcome: EngineOutcome,
  tokenMs: number,
  now: MonotonicMs,
): EngineView {
  const counted: EngineView =
    work === 'online'
      ? {...withChange(view, now, -1), ownOnline: Math.max(0, view.ownOnline - 1)}
      : {...view, ownBatch: Math.max(0, view.ownBatch - 1)};
  switch (outcome) {
    case 'cancelled':
      return counted;
    case 'failed':
      return recordFailure(counted, now);
    case 'succeeded': {
      const known = view.tokenMs === 0 ? tokenMs : view.tokenMs;
      const smoothed = tokenMs === 0 ? known : known + SMOOTHING * (tokenMs - known);
      return {...counted, failures: 0, quarantinedUntil: -Infinity, tokenMs: smoothed};
    }
    default:
      return unreachable(outcome);
  }
}

function updateEngine(
  view: EngineView,
  event: Exclude<RoutingEvent, {kind: 'configured'}>,
  now: MonotonicMs,
): EngineView {
  switch (event.kind) {
    case 'ended':
      return recordEnd(view, event.work, event.outcome, event.tokenMs, now);
    case 'loadHeard':
      return applyLoad(view, event.load, now - event.ageMs, now);
    case 'started':
      return recordStart(view, event.work, now);
    case 'told':
      return applyReport(view, event.vm, event.online, now);
    case 'unreachable':
      return recordFailure(view, now);
    default:
      return unreachable(event);
  }
}

/**
 * Applies one event to the view.
 *
 * @param state current view
 * @param event the event
 * @param now monotonic time
 */
export function stepRouting(
  state: RoutingState,
  event: RoutingEvent,
  now: MonotonicMs,
): RoutingState {
  if (event.kind === 'configured') {
    return configure(state, event.setups);
  }
  const view = state.engines.get(event.engine);
  if (view === undefined) {
    return state;
  }
  return withEngine(state, updateEngine(view, event, now));
}
