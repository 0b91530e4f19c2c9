import type {MonotonicMs} from 'stallpaddle';

import {unreachable} from 'stallpaddle';

/**
 * A VM's view of the engines as a pure state machine.
 */
import type {
  EngineLoad,
  EngineOutcome,
  EngineSetup,
  EngineView,
  RoutingEvent,
  RoutingState,
  SurgeView,
  WorkClass,
} from './RoutingTypes';

import {
  ANNOUNCED_UNDER_WAY_MS,
  MAX_ANNOUNCED,
  MAX_QUARANTINE_MS,
  QUARANTINE_FAILURES,
  QUARANTINE_MS,
  SMOOTHING,
  SURGE_HALF_LIFE_MS,
  SURGE_WINDOW_MS,
} from './RoutingConstants';

const NO_LOAD: EngineLoad = {batch: 0, online: 0, queued: 0, tokenMs: 0, weights: []};

/** A view that knows no engine. */
export const EMPTY_ROUTING: RoutingState = {engines: new Map(), surges: new Map()};

function newView(setup: EngineSetup): EngineView {
  return {
    announcedAt: [],
    failures: 0,
    load: NO_LOAD,
    loadAt: -Infinity,
    ownBatch: 0,
    ownOnline: 0,
    ownOnlineAtLoad: 0,
    quarantinedUntil: -Infinity,
    setup,
    tokenMs: 0,
  };
}

/**
 * Online streams on an engine by the best estimate: the report, corrected by what this VM started
 * and ended since, and by what other VMs announced.
 *
 * @param view an engine
 */
export function onlineStreams(view: EngineView): number {
  const since = view.ownOnline - view.ownOnlineAtLoad + view.announcedAt.length;
  return Math.max(view.ownOnline, view.load.online + view.load.queued + since, 0);
}

function configure(state: RoutingState, setups: readonly EngineSetup[]): RoutingState {
  const engines = new Map<string, EngineView>();
  for (const setup of setups) {
    const known = state.engines.get(setup.engine);
    engines.set(setup.engine, known === undefined ? newView(setup) : {...known, setup});
  }
  return {...state, engines};
}

function withEngine(state: RoutingState, view: EngineView): RoutingState {
  return {...state, engines: new Map(state.engines).set(view.setup.engine, view)};
}

/** Follows the largest rise of online streams within a window, forgetting it slowly. */
function withSurge(state: RoutingState, view: EngineView, now: MonotonicMs): RoutingState {
  const {engine} = view.setup;
  const online = onlineStreams(view);
  const known: SurgeView = state.surges.get(engine) ?? {
    at: now,
    rise: 0,
    windowBase: online,
    windowFrom: now,
  };
  const opensWindow = now - known.windowFrom >= SURGE_WINDOW_MS;
  const windowBase = opensWindow ? online : Math.min(known.windowBase, online);
  const decayed = known.rise * 0.5 ** ((now - known.at) / SURGE_HALF_LIFE_MS);
  const next: SurgeView = {
    at: now,
    rise: Math.max(decayed, online - windowBase),
    windowBase,
    windowFrom: opensWindow ? now : known.windowFrom,
  };
  return {...state, surges: new Map(state.surges).set(engine, next)};
}

function hearLoad(view: EngineView, load: EngineLoad, at: MonotonicMs): EngineView {
  // An older report than the one known says nothing new.
  if (at <= view.loadAt) {
    return view;
  }
  // A request that was announced just before may have been under way when the load was taken.
  const announcedAt = view.announcedAt.filter((since) => since > at - ANNOUNCED_UNDER_WAY_MS);
  return {...view, announcedAt, load, loadAt: at, ownOnlineAtLoad: view.ownOnline};
}

function start(view: EngineView, work: WorkClass): EngineView {
  return work === 'online'
    ? {...view, ownOnline: view.ownOnline + 1}
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
      ? {...view, ownOnline: Math.max(0, view.ownOnline - 1)}
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
    case 'announced':
      return {...view, announcedAt: [...view.announcedAt, now].slice(-MAX_ANNOUNCED)};
    case 'ended':
      return end(view, event.work, event.outcome, event.tokenMs, now);
    case 'loadHeard':
      return hearLoad(view, event.load, now - event.ageMs);
    case 'started':
      return start(view, event.work);
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
  const next = stepEngine(view, event, now);
  const stepped = withEngine(state, next);
  return onlineStreams(next) === onlineStreams(view) ? stepped : withSurge(stepped, next, now);
}
