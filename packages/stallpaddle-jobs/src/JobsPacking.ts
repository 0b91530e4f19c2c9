/**
 * Placement of batch items: one at each engine, the others packed on few, so that online requests find free slots elsewhere.
 * Pure functions.
 */
import type {EngineId} from 'stallpaddle';

import {SET_APART_SPEED} from 'stallpaddle-capacity';
import {mayContinue} from 'stallpaddle-fleet';

import {
  type ItemPlan,
  type PlannedEngine,
  type PlannedItem,
  type PlannedRun,
  preemptionsForUrgent,
} from './JobsPlan';

/**
 * Expected time to its end below which a run is not preempted, in milliseconds: its output would be delayed by far more
 * than an online request by waiting.
 */
const KEEP_ENDING_MS = 60;
/**
 * Expected time to its end below which a run's slot counts as free for a waiting online request, in milliseconds; small
 * against the objective of some 300 ms to the first event.
 */
const AWAIT_ENDING_MS = 40;
/**
 * Time until an item is due, as a multiple of its expected run time, below which it goes to fast engines. Leaves room
 * for an engine of half the usual speed, and for a preemption.
 */
const URGENT_FACTOR = 3;

/** An engine with its speed. */
export interface PackedEngine extends PlannedEngine {
  /** Speed as a factor of the service's median. */
  readonly speed: number;
}

/** Runs to preempt at an engine. */
export interface EngineExcess {
  /** Number of excess runs that are expected to end by themselves, or can't be preempted yet. */
  readonly deferred: number;
  readonly runs: readonly Omit<PlannedRun, 'late'>[];
}

/** Plan of packed items. */
export interface PackedPlan extends ItemPlan {
  /** Number of excess runs that the next pass must check again. */
  readonly deferred: number;
  /** Runs to preempt for items that can still be on time: the last preemptions. The others are for online requests. */
  readonly forUrgent: readonly string[];
  /** Runs to preempt because their engine is set apart and others have free slots: the preemptions before those. */
  readonly fromSetApart: readonly string[];
}

/** Input of a plan. */
export interface PackingInput {
  readonly engines: readonly PackedEngine[];
  /** Number of starts after which the plan ends; the next pass plans the others. */
  readonly maxStarts: number;
  /** Slots of each service that items leave free; 0 if missing. */
  readonly reserved: ReadonlyMap<string, number>;
  /** Waiting items, the most urgent first. */
  readonly waiting: readonly PlannedItem[];
}

/** Whether a run is expected to end within a time. A run that is past its expected end may go on for long. */
function endsWithin({endsInMs}: Pick<PlannedRun, 'endsInMs'>, ms: number): boolean {
  return endsInMs !== undefined && endsInMs > 0 && endsInMs <= ms;
}

/**
 * Order in which runs are preempted: those already preempted, as a repeated decision must not preempt others; then those
 * without an event, which have not read their whole prompt; then those that lose the fewest unrecorded events.
 */
function compareLoss(a: Omit<PlannedRun, 'late'>, b: Omit<PlannedRun, 'late'>): number {
  return (
    Number(b.isPreempted ?? false) - Number(a.isPreempted ?? false) ||
    Number(a.events > 0) - Number(b.events > 0) ||
    (a.unrecorded ?? 0) - (b.unrecorded ?? 0) ||
    a.events - b.events
  );
}

/**
 * Runs that exceed an engine's slots and are preempted: those that lose the least, without runs that are about to end.
 *
 * @param engine the engine
 */
export function packedExcess({
  online,
  runs,
  slots,
}: Pick<PlannedEngine, 'online' | 'slots'> & {
  readonly runs: EngineExcess['runs'];
}): EngineExcess {
  const excess = Math.min(runs.length, online + runs.length - slots);
  if (excess <= 0) {
    return {deferred: 0, runs: []};
  }
  const ending = runs.filter((run) => !run.isPreempted && endsWithin(run, AWAIT_ENDING_MS));
  const chosen = runs
    .filter((run) => run.isPreempted || !endsWithin(run, KEEP_ENDING_MS))
    .sort(compareLoss)
    .slice(0, Math.max(0, excess - ending.length));
  const starting = chosen.filter(({isStarting}) => isStarting);
  return {
    deferred: excess - chosen.length + starting.length,
    runs: chosen.filter(({isPreempted, isStarting}) => !isPreempted && !isStarting),
  };
}

/** Load of an engine while a plan is made. */
interface EnginePlan {
  readonly engine: PackedEngine;
  free: number;
  items: number;
}

function isSetApart({speed}: PackedEngine): boolean {
  return speed < SET_APART_SPEED;
}

/** Slots that items may use; an engine that is set apart takes a single item, while it is idle. */
function freeSlotsOf(engine: PackedEngine): number {
  const {online, runs, slots, usable} = engine;
  if (!usable) {
    return 0;
  }
  if (isSetApart(engine)) {
    return online + runs.length === 0 ? 1 : 0;
  }
  return Math.max(0, slots - online - runs.length);
}

/** Whether an item needs a fast engine to be on time. */
function isUrgent({late, remainingMs = 0, slackMs = Infinity}: PlannedItem): boolean {
  return !late && slackMs < remainingMs * URGENT_FACTOR;
}

/** -1 for engines slower than usual, 1 for faster ones. Speeds near 1 are told as 1. */
function speedClass({speed}: PackedEngine): number {
  return Math.sign(speed - 1);
}

/**
 * Whether an engine suits an item better: one without an item, then by speed, by the most items and by the most free slots.
 * VMs place online requests by counts that are some ten milliseconds old, so some engines get more than they have slots; an
 * item there gives up its slot at once, while the other online requests hold theirs for long.
 */
function isBetter(a: EnginePlan, b: EnginePlan, urgent: boolean): boolean {
  if ((a.items === 0) !== (b.items === 0)) {
    return a.items === 0;
  }
  const faster = speedClass(a.engine) - speedClass(b.engine);
  if (faster !== 0) {
    return urgent ? faster > 0 : faster < 0;
  }
  return a.items === b.items ? a.free > b.free : a.items > b.items;
}

function bestEngine(
  plans: readonly EnginePlan[],
  softwareVersion: string | undefined,
  urgent: boolean,
): EnginePlan | undefined {
  let best: EnginePlan | undefined;
  for (const plan of plans) {
    const isOpen = plan.free > 0 && mayContinue(plan.engine, softwareVersion);
    if (isOpen && (best === undefined || isBetter(plan, best, urgent))) {
      best = plan;
    }
  }
  return best;
}

/** Engines of one service, and the number of items that may still start there without using reserved slots. */
interface ServicePlan {
  /** Idle engines that are set apart. */
  readonly apart: EnginePlan[];
  budget: number;
  readonly plans: EnginePlan[];
}

function servicePlans({engines, reserved}: PackingInput): ReadonlyMap<string, ServicePlan> {
  const services = new Map<string, ServicePlan>();
  for (const engine of engines) {
    const {runs, service} = engine;
    const known = services.get(service) ?? {
      apart: [],
      budget: -(reserved.get(service) ?? 0),
      plans: [],
    };
    services.set(service, known);
    const plan = {engine, free: freeSlotsOf(engine), items: runs.length};
    if (isSetApart(engine)) {
      known.apart.push(...(plan.free > 0 ? [plan] : []));
    } else {
      known.budget += plan.free;
      known.plans.push(plan);
    }
  }
  return services;
}

/** Places an item; an idle engine that is set apart takes one that isn't urgent, so that its recovery is noticed. */
function placeItem(service: ServicePlan, item: PlannedItem): EngineId | undefined {
  const urgent = isUrgent(item);
  const {softwareVersion} = item;
  const at = urgent
    ? -1
    : service.apart.findLastIndex(({engine}) => mayContinue(engine, softwareVersion));
  if (at >= 0) {
    const [apart] = service.apart.splice(at, 1);
    return apart!.engine.id;
  }
  const best = service.budget > 0 ? bestEngine(service.plans, softwareVersion, urgent) : undefined;
  if (best === undefined) {
    return undefined;
  }
  service.budget--;
  best.free--;
  best.items++;
  return best.engine.id;
}

/**
 * Runs at engines that are set apart to preempt because other engines have slots for them. Each engine keeps a request or
 * a run, which shows when it is fast again. Runs that were preempted by earlier passes will use slots, too.
 */
function preemptionsFromSetApart(
  engines: readonly PackedEngine[],
  services: ReadonlyMap<string, ServicePlan>,
  excess: readonly string[],
  limit: number,
): readonly string[] {
  const preempted = new Set(excess);
  const preemptions: string[] = [];
  const free = new Map([...services].map(([service, {budget}]) => [service, budget]));
  for (const engine of engines.filter(isSetApart)) {
    const left = engine.runs.filter(({isPreempted, key}) => !isPreempted && !preempted.has(key));
    const room = free.get(engine.service)! - (engine.runs.length - left.length);
    const surplus = left.length - (engine.online > 0 ? 0 : 1);
    const most = Math.max(0, Math.min(surplus, room, limit - preemptions.length));
    const chosen = left
      .filter((run) => run.isStarting !== true && !endsWithin(run, KEEP_ENDING_MS))
      .sort(compareLoss)
      .slice(0, most);
    free.set(engine.service, room - chosen.length);
    preemptions.push(...chosen.map(({key}) => key));
  }
  return preemptions;
}

/**
 * Late runs to preempt for items that can still be on time. Only where the reserve leaves the slots to those items, and not
 * at engines that are set apart, which get no such items.
 */
function urgentPreemptions(
  engines: readonly PackedEngine[],
  services: ReadonlyMap<string, ServicePlan>,
  unplaced: readonly PlannedItem[],
  excess: readonly string[],
): readonly string[] {
  const candidates = unplaced.filter(({service}) => (services.get(service)?.budget ?? -1) >= 0);
  const kept = engines
    .flatMap(({runs}) => runs)
    .filter((run) => run.isPreempted || endsWithin(run, KEEP_ENDING_MS))
    .map(({key}) => key);
  const usual = engines.filter((engine) => !isSetApart(engine));
  return preemptionsForUrgent(usual, candidates, new Set([...excess, ...kept]));
}

/**
 * Plans which items start, on which engines, and which runs are preempted. Each engine gets an item, and the others
 * share as few engines as possible. Items never use more slots of an engine than online requests leave free, and leave the
 * reserved slots of the service free.
 *
 * @param input engines with their load, and waiting items
 */
export function planPackedItems(input: PackingInput): PackedPlan {
  const {engines, maxStarts, waiting} = input;
  const excess = engines.map(packedExcess);
  const excessKeys = excess.flatMap(({runs}) => runs.map(({key}) => key));
  const services = servicePlans(input);
  const starts: {engine: EngineId; key: string}[] = [];
  const unplaced: PlannedItem[] = [];
  for (const item of waiting) {
    if (starts.length >= maxStarts) {
      break;
    }
    const service = services.get(item.service);
    const best = service === undefined ? undefined : placeItem(service, item);
    if (best === undefined) {
      unplaced.push(item);
    } else {
      starts.push({engine: best, key: item.key});
    }
  }
  const limit = maxStarts - starts.length;
  const fromSetApart = preemptionsFromSetApart(engines, services, excessKeys, limit);
  const others = [...excessKeys, ...fromSetApart];
  const forUrgent = urgentPreemptions(engines, services, unplaced, others);
  return {
    deferred: excess.reduce((sum, {deferred}) => sum + deferred, 0),
    forUrgent,
    fromSetApart,
    preemptions: [...others, ...forUrgent],
    starts,
  };
}
