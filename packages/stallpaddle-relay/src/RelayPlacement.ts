/**
 * Which engine an online request goes to: pure, from what this VM knows.
 */
import type {EngineId, MonotonicMs, Random, ZoneId} from 'stallpaddle';
import type {EngineView, FleetRoute} from 'stallpaddle-fleet';

import {rendezvousOwner} from 'stallpaddle';

/** What a sender has seen of an engine itself. */
export interface EngineHealth {
  /** Failures in a row. */
  readonly failures: number;
  readonly lastSuccessAt: MonotonicMs;
  /** Until then the engine gets a request only when no other may have it. */
  readonly suspectUntil: MonotonicMs;
}

/** Longest time for which an engine's silence towards the control group is outweighed by an answer. */
const SUCCESS_COUNTS_MS = 2_000;
/** First time for which a sender keeps off an engine that failed; doubled with each failure in a row. */
const SUSPECT_FIRST_MS = 500;
/** Longest such time, in milliseconds: an engine that is back should not idle for longer. */
const SUSPECT_MOST_MS = 4_000;

/** Experience with an engine that was never called. */
export const INITIAL_HEALTH: EngineHealth = {
  failures: 0,
  lastSuccessAt: -Infinity,
  suspectUntil: -Infinity,
};

/**
 * Experience after an attempt.
 *
 * @param before experience so far
 * @param ok whether the engine answered
 * @param now present time
 */
export function healthAfterAttempt(
  before: EngineHealth,
  ok: boolean,
  now: MonotonicMs,
): EngineHealth {
  if (ok) {
    return {failures: 0, lastSuccessAt: now, suspectUntil: -Infinity};
  }
  const failures = before.failures + 1;
  const pause = Math.min(SUSPECT_MOST_MS, SUSPECT_FIRST_MS * 2 ** (failures - 1));
  return {...before, failures, suspectUntil: now + pause};
}

/**
 * Whether an engine may be sent work without a second thought.
 *
 * @param engine as the control group knows it
 * @param seen this sender's experience
 * @param now present time
 */
export function isHealthy(engine: EngineView, seen: EngineHealth, now: MonotonicMs): boolean {
  if (now < seen.suspectUntil) {
    return false;
  }
  return !engine.silent || now - seen.lastSuccessAt < SUCCESS_COUNTS_MS;
}

/**
 * Draws the service for a request by the route's weights.
 *
 * @param route the request's route
 * @param random source of the draw
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

/** What placement looks at. */
export interface PlacementInput {
  /** Digest of a suspect, which is kept apart from other suspects; null for any other request. */
  readonly apart: null | string;
  readonly engines: readonly EngineView[];
  readonly experienceOf: (engine: EngineView) => EngineHealth;
  /** Whether others have found an engine silent. */
  readonly isSuspect: (id: EngineId) => boolean;
  readonly now: MonotonicMs;
  /** Online requests at an engine, of all senders, as far as known. */
  readonly onlineAt: (id: EngineId) => number;
  readonly random: Random;
  readonly service: string;
  /** Engines that this request was already sent to. */
  readonly tried: ReadonlySet<EngineId>;
  /** Requests that others have likely placed since they told their counts. */
  readonly unseen: number;
  /** Availability zone of this VM. */
  readonly zone: ZoneId;
}

/**
 * Requests that an engine of the sender's own availability zone may have more than others and still be taken:
 * bytes between zones are paid for, and one request in some slots delays none.
 */
const NEAR_BONUS = 1;
/** Part of its slots from which on an engine's zone counts no more: then every free slot counts alike. */
const NEAR_COUNTS_BELOW = 0.5;

/** Fewest engines among which the best is taken: two random ones spread requests nearly as well as all. */
const FEWEST_CHOICES = 2;

/**
 * Engines among which the best is taken. All VMs that know the same counts would choose the same engine, so with more
 * unseen requests each chooses among fewer, drawn by chance.
 */
function drawChoices(
  engines: readonly EngineView[],
  {random, unseen}: PlacementInput,
): readonly EngineView[] {
  const count = Math.max(FEWEST_CHOICES, Math.ceil(engines.length / Math.max(1, unseen)));
  if (count >= engines.length) {
    return engines;
  }
  const drawn = engines.map((engine) => ({engine, lot: random()}));
  return drawn
    .sort((a, b) => a.lot - b.lot)
    .slice(0, count)
    .map(({engine}) => engine);
}

/** Online requests at an engine, less what its nearness is worth, for each of its slots. */
function loadOf({id, slots, zone}: EngineView, input: PlacementInput): number {
  const online = input.onlineAt(id);
  const isNear = zone === input.zone && online < slots * NEAR_COUNTS_BELOW;
  return (online + input.random() / 2 - (isNear ? NEAR_BONUS : 0)) / slots;
}

/**
 * An engine for a suspect. What one engine's end cut off comes again at the same moment, from many VMs that know the same
 * counts; drawn by their digests they part, so that the next end takes two of them along with one chance in as many as there
 * are engines.
 */
function placeApart(
  engines: readonly EngineView[],
  digest: string,
  {onlineAt}: PlacementInput,
): EngineView | undefined {
  const free = engines.filter(({id, slots}) => onlineAt(id) < slots);
  const choice = free.length > 0 ? free : engines;
  const owner = rendezvousOwner(
    digest,
    choice.map(({id, startedAtMs}) => `${id}@${startedAtMs}`),
  );
  return choice.find(({id, startedAtMs}) => `${id}@${startedAtMs}` === owner);
}

/**
 * The engine with the fewest online requests for its slots, the sender's own availability zone before others
 * while there is room; chance decides between equals. Engines that leave get nothing, suspects only when there is no other.
 *
 * @param input what is known
 */
export function selectEngine(input: PlacementInput): EngineView | undefined {
  const {apart, engines, experienceOf, isSuspect, now, service, tried} = input;
  const open = engines.filter(
    (engine) => engine.service === service && !engine.draining && !tried.has(engine.id),
  );
  const sound = open.filter(
    (engine) => isHealthy(engine, experienceOf(engine), now) && !isSuspect(engine.id),
  );
  const choice = sound.length > 0 ? sound : open;
  if (apart !== null) {
    return placeApart(choice, apart, input);
  }
  let best: EngineView | undefined;
  let bestLoad = Infinity;
  for (const engine of drawChoices(choice, input)) {
    const load = loadOf(engine, input);
    if (load < bestLoad) {
      best = engine;
      bestLoad = load;
    }
  }
  return best;
}
