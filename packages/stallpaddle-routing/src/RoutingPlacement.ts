/**
 * Chooses the engine for an online request: affinity bounded by load, else the better of two.
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
  /** Time that one more stream costs, relative to the other candidates. */
  readonly cost: number;
  readonly fill: number;
  readonly view: EngineView;
}

function canServe(view: EngineView, req: PlacementRequest): boolean {
  const {engine, role} = view.setup;
  const answersOnline = role === 'all' || role === 'online';
  return answersOnline && !req.excluded.includes(engine) && view.load.weights.includes(req.weights);
}

function isUsable(view: EngineView, now: MonotonicMs): boolean {
  // While quarantined, one request at a time tries whether the engine is back.
  return now >= view.quarantinedUntil && (view.failures === 0 || view.ownOnline === 0);
}

/** Online streams that an engine takes at most: its slots and a short queue. */
function streamLimit(view: EngineView): number {
  return Math.ceil(view.setup.slots * (1 + ENGINE_QUEUE_FRACTION));
}

/**
 * Median of the engines' time between tokens, in milliseconds; 0 when none is known.
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
 * How many times slower an engine is than the median; at least 1.
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

function better(a: Candidate, b: Candidate): Candidate {
  return a.cost <= b.cost ? a : b;
}

function affineCandidate(all: readonly Candidate[], affinity: string): Candidate | undefined {
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

function ofTwo(all: readonly Candidate[], random: Random): Candidate {
  const first = all[Math.floor(random() * all.length)]!;
  const second = all[Math.floor(random() * all.length)]!;
  return better(first, second);
}

/**
 * Places an online request.
 *
 * @param state this VM's view of the engines
 * @param req the request
 * @param now monotonic time
 * @param random source of the second choice
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
    const back = Math.min(...serving.map((view) => view.quarantinedUntil - now));
    const retryAfterMs = Number.isFinite(back) ? Math.max(back, 100) : NO_ENGINE_RETRY_MS;
    return {kind: 'noEngine', retryAfterMs};
  }
  const free = usable.filter((view) => onlineStreams(view) < streamLimit(view));
  if (free.length === 0) {
    return {kind: 'full', retryAfterMs: FULL_RETRY_MS};
  }
  const all = candidates(free);
  const chosen = affineCandidate(all, req.affinity) ?? ofTwo(all, random);
  return {engine: chosen.view.setup.engine, kind: 'engine'};
}
