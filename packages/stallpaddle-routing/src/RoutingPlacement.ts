/**
 * Chooses the engine for an online request: by prefix affinity if load permits, else the cheaper of two random engines.
 */
import type {MonotonicMs, Random} from 'stallpaddle';

import {rendezvousOrder} from 'stallpaddle';

import type {EngineView, Placement, PlacementRequest, RoutingState} from './RoutingTypes';

import {
  AFFINITY_ENGINES,
  AFFINITY_LOAD_FACTOR,
  ENGINE_QUEUE_FRACTION,
  FULL_RETRY_MS,
  NO_ENGINE_RETRY_MS,
  SLOW_FACTOR,
} from './RoutingConstants';
import {onlineStreams} from './RoutingView';

interface Candidate {
  /** Relative cost of one more stream: the fill level, scaled by the engine's slowness. */
  readonly cost: number;
  /** Fraction of the slots in use with one more stream. */
  readonly fill: number;
  readonly view: EngineView;
}

function canServe(view: EngineView, req: PlacementRequest): boolean {
  const {engine, role} = view.setup;
  const servesOnline = role === 'all' || role === 'online';
  return servesOnline && !req.excluded.includes(engine) && view.load.weights.includes(req.weights);
}

function isUsable(view: EngineView, now: MonotonicMs): boolean {
  // After a failure, one request at a time probes the engine until one succeeds.
  return now >= view.quarantinedUntil && (view.failures === 0 || view.ownOnline === 0);
}

/** Maximum number of online streams on an engine: its slots and a short queue. */
function streamLimit(view: EngineView): number {
  return Math.ceil(view.setup.slots * (1 + ENGINE_QUEUE_FRACTION));
}

/**
 * Median time between tokens over the engines, in milliseconds; 0 when none is known.
 *
 * @param views engines to compare
 */
export function medianTokenMs(views: readonly EngineView[]): number {
  const known = views
    .map((view) => view.tokenMs || view.load.tokenMs)
    .filter((tokenMs) => tokenMs > 0)
    .sort((a, b) => a - b);
  return known[Math.floor(known.length / 2)] ?? 0;
}

/**
 * Ratio of an engine's time between tokens to the median; at least 1.
 *
 * @param view the engine
 * @param median median time between tokens, in milliseconds
 */
export function slowness(view: EngineView, median: number): number {
  const measured = Math.max(view.tokenMs, view.load.tokenMs);
  return median > 0 && measured > median ? measured / median : 1;
}

function candidates(views: readonly EngineView[]): readonly Candidate[] {
  const median = medianTokenMs(views);
  return views.map((view) => {
    const fill = (onlineStreams(view) + 1) / view.setup.slots;
    const slow = slowness(view, median);
    return {cost: fill * (slow > SLOW_FACTOR ? slow * slow : slow), fill, view};
  });
}

function cheaper(a: Candidate, b: Candidate): Candidate {
  return a.cost <= b.cost ? a : b;
}

function affinityCandidate(all: readonly Candidate[], affinity: string): Candidate | undefined {
  const mean = all.reduce((sum, {cost}) => sum + cost, 0) / all.length;
  const order = rendezvousOrder(
    affinity,
    all.map(({view}) => view.setup.engine),
  );
  return order
    .slice(0, AFFINITY_ENGINES)
    .map((engine) => all.find(({view}) => view.setup.engine === engine)!)
    .find(({cost, fill}) => fill <= 1 && cost <= mean * AFFINITY_LOAD_FACTOR);
}

function cheaperOfTwo(all: readonly Candidate[], random: Random): Candidate {
  const first = all[Math.floor(random() * all.length)]!;
  const second = all[Math.floor(random() * all.length)]!;
  return cheaper(first, second);
}

/**
 * Selects an engine for an online request.
 *
 * @param state this VM's view of the engines
 * @param req the request
 * @param now monotonic time
 * @param random random source for choosing two engines
 */
export function placeOnline(
  state: RoutingState,
  req: PlacementRequest,
  now: MonotonicMs,
  random: Random,
): Placement {
  const serving = req.serving
    .map((engine) => state.engines.get(engine))
    .filter((view) => view !== undefined)
    .filter((view) => canServe(view, req));
  const usable = serving.filter((view) => isUsable(view, now));
  if (usable.length === 0) {
    const soonestMs = Math.min(...serving.map((view) => view.quarantinedUntil - now));
    const retryAfterMs = Number.isFinite(soonestMs) ? Math.max(soonestMs, 100) : NO_ENGINE_RETRY_MS;
    return {kind: 'noEngine', retryAfterMs};
  }
  const free = usable.filter((view) => onlineStreams(view) < streamLimit(view));
  if (free.length === 0) {
    return {kind: 'full', retryAfterMs: FULL_RETRY_MS};
  }
  const all = candidates(free);
  const chosen = affinityCandidate(all, req.affinity) ?? cheaperOfTwo(all, random);
  return {engine: chosen.view.setup.engine, kind: 'engine'};
}
