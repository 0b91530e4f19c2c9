/**
 * Selects the engine for an online request: pure functions of this VM's view.
 */
import type {EngineId, MonotonicMs, Random, ZoneId} from 'stallpaddle';
import type {EngineView, FleetRoute} from 'stallpaddle-fleet';

import {rendezvousOwner} from 'stallpaddle';
import {mayContinue} from 'stallpaddle-fleet';

import {type EngineLoads, selectBySlots} from './RelaySlotPlacement';

/** Health of an engine, as one sender has observed it. */
export interface EngineHealth {
  /** Until then the engine is used only when no other engine is available. */
  readonly avoidUntil: MonotonicMs;
  /** Number of consecutive failures. */
  readonly failures: number;
  readonly lastSuccessAt: MonotonicMs;
}

/** Time for which a successful attempt outweighs a report that the engine sends no heartbeat, in milliseconds. */
const SUCCESS_VALID_MS = 2_000;
/**
 * Time for which an engine is avoided after its first failure, in milliseconds; doubled with each consecutive
 * failure.
 */
const INITIAL_BACKOFF_MS = 500;
/** Upper limit of that time, in milliseconds, so that a recovered engine gets requests again soon. */
const MAX_BACKOFF_MS = 4_000;

/** Health of an engine that was never called. */
export const INITIAL_HEALTH: EngineHealth = {
  avoidUntil: -Infinity,
  failures: 0,
  lastSuccessAt: -Infinity,
};

/**
 * Returns the health of an engine after one more attempt.
 *
 * @param before health before the attempt
 * @param ok whether the engine responded
 * @param now current time
 */
export function healthAfterAttempt(
  before: EngineHealth,
  ok: boolean,
  now: MonotonicMs,
): EngineHealth {
  if (ok) {
    return {avoidUntil: -Infinity, failures: 0, lastSuccessAt: now};
  }
  const failures = before.failures + 1;
  const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failures - 1));
  return {...before, avoidUntil: now + backoffMs, failures};
}

/**
 * Whether an engine is considered healthy.
 *
 * @param engine the engine in the fleet view
 * @param health its health as this sender has observed it
 * @param now current time
 */
export function isHealthy(engine: EngineView, health: EngineHealth, now: MonotonicMs): boolean {
  if (now < health.avoidUntil) {
    return false;
  }
  return !engine.silent || now - health.lastSuccessAt < SUCCESS_VALID_MS;
}

/**
 * Selects the service for a request at random by the route's weights.
 *
 * @param route the request's route
 * @param random source of randomness
 */
export function selectService(route: FleetRoute, random: Random): string | undefined {
  const total = route.split.reduce((sum, {weight}) => sum + weight, 0);
  let at = random() * total;
  for (const {service, weight} of route.split) {
    at -= weight;
    if (weight > 0 && at < 0) {
      return service;
    }
  }
  return route.split.find(({weight}) => weight > 0)?.service;
}

/** Input of the selection. */
export interface PlacementInput {
  readonly engines: readonly EngineView[];
  readonly healthOf: (engine: EngineView) => EngineHealth;
  /** Whether the dispatcher has reported an engine as unresponsive. */
  readonly isUnresponsive: (id: EngineId) => boolean;
  /** What the dispatcher tells of engines; absent while it is unknown or the placement doesn't use it. */
  readonly loads?: EngineLoads | undefined;
  readonly now: MonotonicMs;
  /** Number of online requests of all VMs at an engine, as far as known. */
  readonly onlineAt: (id: EngineId) => number;
  readonly random: Random;
  readonly service: string;
  /** Software version that began the stream; undefined before its first event, when any version may begin it. */
  readonly softwareVersion: string | undefined;
  /** Digest of a suspect request, which is placed apart from other suspects; null for any other request. */
  readonly suspectDigest: null | string;
  /** Engines that the request was already sent to; they are excluded. */
  readonly tried: ReadonlySet<EngineId>;
  /** Estimated number of requests that other VMs have placed since their last report. */
  readonly unreported: number;
  /** Availability zone of this VM. */
  readonly zone: ZoneId;
}

/**
 * Number of requests by which an engine of the own availability zone may exceed others and still be preferred, to
 * avoid the cost of traffic between zones.
 */
const LOCAL_ZONE_BONUS = 1;
/** Load, as a fraction of its slots, from which on an engine gets no preference for its zone. */
const LOCAL_ZONE_MAX_LOAD = 0.5;

/** Minimum number of candidates: the better of two random ones balances load nearly as well as the best of all. */
const MIN_CANDIDATES = 2;

/**
 * Draws the candidates for a request. VMs with the same counts would all select the same engine, so the more requests
 * are unreported, the fewer random candidates each VM considers.
 */
function drawCandidates(
  engines: readonly EngineView[],
  {random, unreported}: PlacementInput,
): readonly EngineView[] {
  const count = Math.max(MIN_CANDIDATES, Math.ceil(engines.length / Math.max(1, unreported)));
  if (count >= engines.length) {
    return engines;
  }
  const drawn = engines.map((engine) => ({engine, rank: random()}));
  return drawn
    .sort((a, b) => a.rank - b.rank)
    .slice(0, count)
    .map(({engine}) => engine);
}

/** Online requests per slot, reduced by the preference for the own zone; a random fraction breaks ties. */
function loadOf({id, slots, zone}: EngineView, input: PlacementInput): number {
  const online = input.onlineAt(id);
  const isLocal = zone === input.zone && online < slots * LOCAL_ZONE_MAX_LOAD;
  return (online + input.random() / 2 - (isLocal ? LOCAL_ZONE_BONUS : 0)) / slots;
}

/**
 * Selects an engine for a suspect request. Many VMs retry at once the requests that one engine's exit interrupted;
 * rendezvous hashing of their digests spreads them over the engines, so that two of them rarely share an engine that
 * crashes next.
 */
function selectForSuspect(
  engines: readonly EngineView[],
  digest: string,
  {onlineAt}: PlacementInput,
): EngineView | undefined {
  const free = engines.filter(({id, slots}) => onlineAt(id) < slots);
  const candidates = free.length > 0 ? free : engines;
  const owner = rendezvousOwner(
    digest,
    candidates.map(({id, startedAtMs}) => `${id}@${startedAtMs}`),
  );
  return candidates.find(({id, startedAtMs}) => `${id}@${startedAtMs}` === owner);
}

/**
 * Selects the engine with the lowest load per slot, preferring the own availability zone at low load; ties are broken
 * at random. Where the runs of batch items are known, {@link selectBySlots} selects instead. Draining engines, and those of
 * another software version than the stream's, are never selected, unhealthy or unresponsive ones only when there is no other.
 *
 * @param input the state to select from
 */
export function selectEngine(input: PlacementInput): EngineView | undefined {
  const {engines, healthOf, isUnresponsive, now, service, softwareVersion, suspectDigest, tried} =
    input;
  const open = engines.filter(
    (engine) =>
      engine.service === service &&
      mayContinue(engine, softwareVersion) &&
      !engine.draining &&
      !tried.has(engine.id),
  );
  const healthy = open.filter(
    (engine) => isHealthy(engine, healthOf(engine), now) && !isUnresponsive(engine.id),
  );
  const candidates = healthy.length > 0 ? healthy : open;
  if (suspectDigest !== null) {
    return selectForSuspect(candidates, suspectDigest, input);
  }
  if (input.loads !== undefined) {
    return selectBySlots(candidates, {...input, loads: input.loads});
  }
  let best: EngineView | undefined;
  let bestLoad = Infinity;
  for (const engine of drawCandidates(candidates, input)) {
    const load = loadOf(engine, input);
    if (load < bestLoad) {
      best = engine;
      bestLoad = load;
    }
  }
  return best;
}
