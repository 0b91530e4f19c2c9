/** Placement and preemption of batch items: pure functions. */
import type {EngineId} from 'stallpaddle';

import {mayContinue} from 'stallpaddle-fleet';

/** A running item. */
export interface PlannedRun {
  /** Expected time to its end, in milliseconds; undefined while it is unknown. */
  readonly endsInMs?: number | undefined;
  /** Events that this run has brought; the cost of a preemption grows with them. */
  readonly events: number;
  /** It was preempted and is about to end. */
  readonly isPreempted?: boolean;
  /** Its body is still being read, so it can't be preempted yet. */
  readonly isStarting?: boolean;
  readonly key: string;
  /** Its due time has passed, so it may be preempted for an item that can still be on time. */
  readonly late: boolean;
  /** Events of its item that are not recorded yet. */
  readonly unrecorded?: number;
}

/** Slots of an engine and what occupies them. */
interface EngineLoad {
  readonly online: number;
  readonly runs: readonly Omit<PlannedRun, 'late'>[];
  readonly slots: number;
}

/** An engine that may run items. */
export interface PlannedEngine {
  readonly id: EngineId;
  /** Online requests of all entry VMs. */
  readonly online: number;
  readonly runs: readonly PlannedRun[];
  readonly service: string;
  readonly slots: number;
  readonly softwareVersion: string;
  /** False while the engine is draining, failing or unreachable: no items start there. */
  readonly usable: boolean;
}

/** A waiting item. */
export interface PlannedItem {
  readonly key: string;
  /** It can no longer be on time. */
  readonly late: boolean;
  /** Expected remaining run time, in milliseconds; 0 while it is unknown. */
  readonly remainingMs?: number;
  readonly service: string;
  /** Time until the item is due, in milliseconds. */
  readonly slackMs?: number;
  /** Software version that the item's engine must have; undefined for any. */
  readonly softwareVersion?: string | undefined;
}

/** Items to preempt and to start. */
export interface ItemPlan {
  readonly preemptions: readonly string[];
  readonly starts: readonly {readonly engine: EngineId; readonly key: string}[];
}

/**
 * Runs that exceed an engine's slots: those with the fewest events are preempted.
 *
 * @param engine the engine
 */
export function excessRuns({online, runs, slots}: EngineLoad): readonly Omit<PlannedRun, 'late'>[] {
  const excess = online + runs.length - slots;
  return excess <= 0 ? [] : [...runs].sort((a, b) => a.events - b.events).slice(0, excess);
}

function freestEngine(
  engines: readonly PlannedEngine[],
  freeSlots: ReadonlyMap<EngineId, number>,
  {service, softwareVersion}: PlannedItem,
): PlannedEngine | undefined {
  let best: PlannedEngine | undefined;
  for (const engine of engines) {
    const isFreer = freeSlots.get(engine.id)! > (best === undefined ? 0 : freeSlots.get(best.id)!);
    if (engine.service === service && isFreer && mayContinue(engine, softwareVersion)) {
      best = engine;
    }
  }
  return best;
}

/**
 * Late runs to preempt for waiting items that can still be on time.
 *
 * @param engines engines with their load
 * @param unplaced items that no engine has a slot for
 * @param preempted runs that are not considered
 */
export function preemptionsForUrgent(
  engines: readonly PlannedEngine[],
  unplaced: readonly PlannedItem[],
  preempted: ReadonlySet<string>,
): readonly string[] {
  const preemptions: string[] = [];
  const urgent = unplaced.filter(({late}) => !late);
  for (const engine of engines) {
    for (const {key, late} of engine.usable ? engine.runs : []) {
      if (urgent.length === 0) {
        return preemptions;
      }
      const at =
        late && !preempted.has(key)
          ? urgent.findIndex(
              ({service, softwareVersion}) =>
                service === engine.service && mayContinue(engine, softwareVersion),
            )
          : -1;
      if (at >= 0) {
        urgent.splice(at, 1);
        preemptions.push(key);
      }
    }
  }
  return preemptions;
}

/**
 * Plans which items start, on which engines, and which runs are preempted.
 *
 * @param engines engines with their load
 * @param waiting waiting items, the most urgent first
 * @param reservedSlots slots of each engine that items never use
 */
export function planItems(
  engines: readonly PlannedEngine[],
  waiting: readonly PlannedItem[],
  reservedSlots: number,
): ItemPlan {
  const excess = engines.flatMap((engine) => excessRuns(engine).map(({key}) => key));
  const freeSlots = new Map<EngineId, number>();
  for (const {id, online, runs, slots, usable} of engines) {
    freeSlots.set(id, usable ? slots - reservedSlots - online - runs.length : 0);
  }
  const starts: {engine: EngineId; key: string}[] = [];
  const unplaced: PlannedItem[] = [];
  const services = new Set(
    engines.filter(({id}) => freeSlots.get(id)! > 0).map(({service}) => service),
  );
  for (const item of waiting) {
    const best = services.has(item.service) ? freestEngine(engines, freeSlots, item) : undefined;
    if (best === undefined) {
      // Without a slot at one software version there may be slots at others.
      if (item.softwareVersion === undefined) {
        services.delete(item.service);
      }
      unplaced.push(item);
    } else {
      freeSlots.set(best.id, freeSlots.get(best.id)! - 1);
      starts.push({engine: best.id, key: item.key});
    }
  }
  return {
    preemptions: [...excess, ...preemptionsForUrgent(engines, unplaced, new Set(excess))],
    starts,
  };
}
