/**
 * Which items start where, and which give way: pure, from what the dispatcher knows.
 */
import type {EngineId} from 'stallpaddle';

/** An item under way. */
export interface PlannedRun {
  /** Events that have arrived; what a cut costs grows with them. */
  readonly events: number;
  readonly key: string;
  /** Its time is over: it gives way to an item that can still be in time. */
  readonly late: boolean;
}

/** What an engine has to do, as far as slots go. */
interface EngineRuns {
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
  /** False while it leaves, fails or can't be reached: it starts nothing. */
  readonly usable: boolean;
}

/** An item that waits. */
export interface PlannedItem {
  readonly key: string;
  /** It can't be in time any more. */
  readonly late: boolean;
  readonly service: string;
}

/** What to do now. */
export interface ItemPlan {
  readonly preemptions: readonly string[];
  readonly starts: readonly {readonly engine: EngineId; readonly key: string}[];
}

/**
 * Runs beyond an engine's slots: those with the fewest events give way.
 *
 * @param engine the engine
 */
export function excessRuns({online, runs, slots}: EngineRuns): readonly Omit<PlannedRun, 'late'>[] {
  const excess = online + runs.length - slots;
  return excess <= 0 ? [] : [...runs].sort((a, b) => a.events - b.events).slice(0, excess);
}

function roomiest(
  engines: readonly PlannedEngine[],
  room: ReadonlyMap<EngineId, number>,
  service: string,
): PlannedEngine | undefined {
  let best: PlannedEngine | undefined;
  for (const engine of engines) {
    const more = room.get(engine.id)! > (best === undefined ? 0 : room.get(best.id)!);
    if (engine.service === service && more) {
      best = engine;
    }
  }
  return best;
}

/** Runs that are late give way to waiting items that can still be in time. */
function cutsForUrgent(
  engines: readonly PlannedEngine[],
  left: readonly PlannedItem[],
  cut: ReadonlySet<string>,
): readonly string[] {
  const cuts: string[] = [];
  const urgent = new Map<string, number>();
  for (const {late, service} of left) {
    urgent.set(service, (urgent.get(service) ?? 0) + (late ? 0 : 1));
  }
  for (const {runs, service, usable} of engines) {
    for (const {key, late} of usable ? runs : []) {
      const wanted = urgent.get(service) ?? 0;
      if (late && wanted > 0 && !cut.has(key)) {
        urgent.set(service, wanted - 1);
        cuts.push(key);
      }
    }
  }
  return cuts;
}

/**
 * Plans the next step.
 *
 * @param engines engines with what they have to do
 * @param waiting items that wait, the most urgent first
 * @param spareSlots slots of each engine that items never get
 */
export function planItems(
  engines: readonly PlannedEngine[],
  waiting: readonly PlannedItem[],
  spareSlots: number,
): ItemPlan {
  const cuts = engines.flatMap((engine) => excessRuns(engine).map(({key}) => key));
  const room = new Map<EngineId, number>();
  for (const {id, online, runs, slots, usable} of engines) {
    room.set(id, usable ? slots - spareSlots - online - runs.length : 0);
  }
  const starts: {engine: EngineId; key: string}[] = [];
  const left: PlannedItem[] = [];
  const services = new Set(engines.filter(({id}) => room.get(id)! > 0).map(({service}) => service));
  for (const item of waiting) {
    const best = services.has(item.service) ? roomiest(engines, room, item.service) : undefined;
    if (best === undefined) {
      services.delete(item.service);
      left.push(item);
    } else {
      room.set(best.id, room.get(best.id)! - 1);
      starts.push({engine: best.id, key: item.key});
    }
  }
  return {preemptions: [...cuts, ...cutsForUrgent(engines, left, new Set(cuts))], starts};
}
