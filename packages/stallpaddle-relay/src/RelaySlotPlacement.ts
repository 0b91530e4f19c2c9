/**
 * Selects an engine by the expected time to the first event, where the runs of batch items at each engine are known:
 * pure functions of this VM's view.
 */
import type {EngineId, Random, ZoneId} from 'stallpaddle';
import type {EngineView} from 'stallpaddle-fleet';

import {SET_APART_SPEED} from 'stallpaddle-capacity';

/** What the dispatcher tells of engines. */
export interface EngineLoads {
  /** Runs of batch items at an engine. */
  readonly itemsAt: (id: EngineId) => number;
  /** Speed of an engine as a factor of its service's median. */
  readonly speedOf: (id: EngineId) => number;
}

/** Input of the selection. */
export interface SlotPlacementInput {
  readonly loads: EngineLoads;
  /** Number of online requests of all VMs at an engine, as far as known. */
  readonly onlineAt: (id: EngineId) => number;
  readonly random: Random;
  /** Engines that the request was already sent to. */
  readonly tried: ReadonlySet<EngineId>;
  /** Estimated number of requests that other VMs have placed since their last report. */
  readonly unreported: number;
  /** Availability zone of this VM. */
  readonly zone: ZoneId;
}

/** Number of requests by which an engine of the own availability zone may exceed others and still be preferred. */
const LOCAL_ZONE_BONUS = 1;
/** Load, as a fraction of its slots, from which on an engine gets no preference for its zone. */
const LOCAL_ZONE_MAX_LOAD = 0.5;
/**
 * Slots to choose from for each unreported request. With random choices among fewer slots, many of the unreported
 * requests would meet at the same engine and queue there.
 */
const SLOTS_PER_UNREPORTED = 4;
/**
 * Chance that a request goes to an idle engine that is set apart. A fleet with some hundred requests a second thereby
 * observes such an engine several times a second, while nearly all requests avoid it.
 */
const TRICKLE_CHANCE = 0.02;
/**
 * Free slots for each unreported request below which some requests go to engines whose items are preempted. Other VMs
 * are about to take the last free slots, and a request that finds its slot taken waits longer than a preemption lasts.
 */
const SCARCE_PER_UNREPORTED = 1.5;
/** Minimum number of queues to choose from: the better of two random ones is nearly as good as the best of all. */
const MIN_QUEUES = 2;
/** Scores from this one on are not distinguished, which bounds the table of scores. */
const MAX_SCORE = 255;

/** An engine with slots that a request can take. */
interface Candidate {
  readonly engine: EngineView;
  /** Whether it is preferred for its zone. */
  readonly isLocal: boolean;
  /** The larger, the better. */
  readonly score: number;
  /** Number of slots. */
  readonly slots: number;
  /** Weight in a random draw: its slots, scaled by speed. */
  readonly weight: number;
}

/** Load of an engine, read once for each selection. */
interface EngineLoad {
  readonly engine: EngineView;
  readonly items: number;
  readonly online: number;
  readonly speed: number;
}

/** Lowest score of the best candidates that offer at least a number of slots together. */
function lowestScore(candidates: readonly Candidate[], wantedSlots: number): number {
  const slotsByScore: number[] = [];
  for (const {score, slots} of candidates) {
    const at = Math.min(MAX_SCORE, Math.floor(score));
    slotsByScore[at] = (slotsByScore[at] ?? 0) + slots;
  }
  let lowest = slotsByScore.length;
  for (let offered = 0; lowest > 0 && offered < wantedSlots;) {
    lowest--;
    offered += slotsByScore[lowest] ?? 0;
  }
  return lowest;
}

/** Draws a candidate at random by weight. */
function drawByWeight(candidates: readonly Candidate[], random: Random): Candidate | undefined {
  let at = random() * candidates.reduce((sum, {weight}) => sum + weight, 0);
  return candidates.find(({weight}) => (at -= weight) < 0) ?? candidates.at(-1);
}

/**
 * Draws one of the best candidates at random by their slots: VMs with the same counts would otherwise
 * all select the same engine. A second draw makes the preference for the own zone as likely to apply as it is where
 * engines are compared by online requests alone.
 */
function selectCandidate(
  candidates: readonly Candidate[],
  {random, unreported}: SlotPlacementInput,
): EngineView | undefined {
  const lowest = lowestScore(candidates, Math.max(1, unreported * SLOTS_PER_UNREPORTED));
  const best = candidates.filter(({score}) => score >= lowest);
  const first = drawByWeight(best, random);
  if (first === undefined || first.isLocal) {
    return first?.engine;
  }
  const second = drawByWeight(best, random);
  return second?.isLocal && second.score >= first.score + LOCAL_ZONE_BONUS
    ? second.engine
    : first.engine;
}

/** Decides at random whether a free slot is likely to be taken before the request arrives there. */
function isFreeSlotTaken(
  free: readonly Candidate[],
  {random, unreported}: SlotPlacementInput,
): boolean {
  const freeSlots = free.reduce((sum, {slots}) => sum + slots, 0);
  const safeSlots = unreported * SCARCE_PER_UNREPORTED;
  return freeSlots < safeSlots && random() * safeSlots >= freeSlots;
}

/** Expected wait at an engine without slots: queued requests for each slot, by speed. */
function waitOf({engine, online, speed}: EngineLoad, {random, zone}: SlotPlacementInput): number {
  // The random fraction and the preference for the own zone never outweigh a whole request.
  const localBonus = engine.zone === zone ? 0.5 : 0;
  return (online - engine.slots + 1 + random() / 2 - localBonus) / (engine.slots * speed);
}

/**
 * The engine with the shortest queue among some drawn at random: the more requests are unreported, the fewer, as VMs
 * with the same counts would all select the same engine.
 */
function selectQueue(
  loads: readonly EngineLoad[],
  input: SlotPlacementInput,
): EngineView | undefined {
  const {random, unreported} = input;
  let best: EngineLoad | undefined;
  let bestWait = Infinity;
  const draws = Math.max(MIN_QUEUES, Math.ceil(loads.length / Math.max(1, unreported)));
  const isAll = draws >= loads.length;
  for (let left = Math.min(draws, loads.length); left > 0; left--) {
    const load = loads[isAll ? left - 1 : Math.floor(random() * loads.length)]!;
    const wait = waitOf(load, input);
    if (wait < bestWait) {
      best = load;
      bestWait = wait;
    }
  }
  return best?.engine;
}

/** Whether an engine is fast enough for normal use. */
function isUsual({speed}: EngineLoad): boolean {
  return speed >= SET_APART_SPEED;
}

/** Selects at random whether an engine that is set apart and idle gets the request, and which one. */
function selectTrickle(loads: readonly EngineLoad[], random: Random): EngineView | undefined {
  const idle = loads.filter((load) => !isUsual(load) && load.items === 0 && load.online === 0);
  return idle.length > 0 && random() < TRICKLE_CHANCE
    ? idle[Math.floor(random() * idle.length)]!.engine
    : undefined;
}

/** Engines with slots, with their scores: slots scaled by speed, with the preference for the own zone. */
function toCandidates(
  loads: readonly EngineLoad[],
  slotsOf: (load: EngineLoad) => number,
  zone: ZoneId,
): readonly Candidate[] {
  const candidates: Candidate[] = [];
  for (const load of loads) {
    const {engine, online, speed} = load;
    const slots = slotsOf(load);
    if (slots > 0) {
      const isLocal = engine.zone === zone && online < engine.slots * LOCAL_ZONE_MAX_LOAD;
      const weight = slots * speed;
      const score = weight + (isLocal ? LOCAL_ZONE_BONUS : 0);
      candidates.push({engine, isLocal, score, slots, weight});
    }
  }
  return candidates;
}

/**
 * Selects an engine with a slot that neither online requests nor batch items hold, else one whose item is preempted for
 * the request, else the one with the shortest queue. An engine that is set apart gets a request only when it is idle,
 * and then seldom.
 *
 * @param engines engines that may get the request
 * @param input the state to select from
 */
export function selectBySlots(
  engines: readonly EngineView[],
  input: SlotPlacementInput,
): EngineView | undefined {
  const {loads: reported, onlineAt, random, tried, zone} = input;
  const all = engines.map((engine) => ({
    engine,
    items: reported.itemsAt(engine.id),
    online: onlineAt(engine.id),
    speed: reported.speedOf(engine.id),
  }));
  const usual = all.filter(isUsual);
  const loads = usual.length > 0 ? usual : all;
  // A request that has lost time at another engine is not sent to a slow one.
  const mayTrickle = loads.length < all.length && tried.size === 0;
  const trickle = mayTrickle ? selectTrickle(all, random) : undefined;
  if (trickle !== undefined) {
    return trickle;
  }
  const free = toCandidates(
    loads,
    ({engine, items, online}) => engine.slots - online - items,
    zone,
  );
  const givenUp = (): readonly Candidate[] =>
    toCandidates(loads, ({engine, items, online}) => Math.min(items, engine.slots - online), zone);
  return (
    (isFreeSlotTaken(free, input) ? selectCandidate(givenUp(), input) : undefined) ??
    selectCandidate(free, input) ??
    selectCandidate(givenUp(), input) ??
    selectQueue(loads, input)
  );
}
