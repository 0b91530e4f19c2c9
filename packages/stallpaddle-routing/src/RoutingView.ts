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

/** A view that knows no engine. */
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
 * Online streams on an engine by the best estimate. Other VMs tell an engine's owner their exact
 * counts; without such word, the report counts, corrected by what this VM started and ended since.
 *
 * @param view an engine
 */
export function onlineStreams(view: EngineView): number {
  const {load, ownOnline, recent, reported: told} = view;
  if (told.size > 0) {
    const others = [...told.values()].reduce((sum, {online}) => sum + online, 0);
    // Online requests that wait beside batch work show that some count was lost.
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

function hearLoad(
  view: EngineView,
  load: EngineLoad,
  at: MonotonicMs,
  now: MonotonicMs,
): EngineView {
  // An older report than the one known says nothing new.
  if (at <= view.loadAt) {
    return view;
  }
  // What was sent just before may have been under way when the load was taken.
  const recent = view.recent.filter((change) => change.at > at - REQUEST_TRANSIT_MS);
  return {...view, load, loadAt: at, recent, reported: withoutOld(view.reported, now)};
}

function withoutOld(told: EngineView['reported'], now: MonotonicMs): EngineView['reported'] {
  const kept = [...told].filter(([, {at}]) => now - at < REPORTED_STREAMS_TTL_MS);
  return kept.length === told.size ? told : new Map(kept);
}

function hearTold(view: EngineView, vm: VmId, online: number, now: MonotonicMs): EngineView {
  return {...view, reported: new Map(view.reported).set(vm, {at: now, online})};
}

function withChange(view: EngineView, at: MonotonicMs, delta: StreamChange['delta']): EngineView {
  return {...view, recent: [...view.recent, {at, delta}].slice(-MAX_RECENT_CHANGES)};
}

function start(view: EngineView, work: WorkClass, now: MonotonicMs): EngineView {
  return work === 'online'
    ? {...withChange(view, now, 1), ownOnline: view.ownOnline + 1}
    : {...view, ownBatch: view.ownBatch + 1};
}

function quarantineMs(failures: number): number {
  const doublings = failures - QUARANTINE_FAILURES;
  return doublings < 0 ? 0 : Math.min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2 ** doublings);
}

function fail(view: EngineView, now: MonotonicMs): EngineView {
  const failures = view.failures + 1;
  return {...view, failures, quarantinedUntil: now + quarantineMs(failures)};
}

function end(
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
      return fail(counted, now);
    case 'succeeded': {
      const known = view.tokenMs === 0 ? tokenMs : view.tokenMs;
      const smoothed = tokenMs === 0 ? known : known + SMOOTHING * (tokenMs - known);
      return {...counted, failures: 0, quarantinedUntil: -Infinity, tokenMs: smoothed};
    }
    default:
      return unreachable(outcome);
  }
}

function stepEngine(
  view: EngineView,
  event: Exclude<RoutingEvent, {kind: 'configured'}>,
  now: MonotonicMs,
): EngineView {
  switch (event.kind) {
    case 'ended':
      return end(view, event.work, event.outcome, event.tokenMs, now);
    case 'loadHeard':
      return hearLoad(view, event.load, now - event.ageMs, now);
    case 'started':
      return start(view, event.work, now);
    case 'told':
      return hearTold(view, event.vm, event.online, now);
    case 'unreachable':
      return fail(view, now);
    default:
      return unreachable(event);
  }
}

/**
 * Takes in one event.
 *
 * @param state current view
 * @param event what happened
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
  return withEngine(state, stepEngine(view, event, now));
}
