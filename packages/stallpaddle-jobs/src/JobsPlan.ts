/**
 * Which items start where, and which give way: pure, from what the dispatcher knows.
 */
import type {EngineId} from 'stallpaddle';

/** An item under way. */
export interface PlannedRun {
  /** Events that have arrived; what a cut costs grows with them. */
  readonly events: number;
  readonly key: string;
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
  readonly service: string;
}

/** What to do now. */
export interface ItemPlan {
  readonly cuts: readonly string[];
  readonly starts: readonly {readonly engine: EngineId; readonly key: string}[];
}

/** Runs beyond an engine's slots: those with the fewest events give way. */
function cutsAt({online, runs, slots}: PlannedEngine): readonly PlannedRun[] {
  const excess = online + runs.length - slots;
  return excess <= 0 ? [] : [...runs].sort((a, b) => a.events - b.events).slice(0, excess);
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
  const cuts = engines.flatMap((engine) => cutsAt(engine).map(({key}) => key));
  const room = new Map<EngineId, number>();
  for (const {id, online, runs, slots, usable} of engines) {
    room.set(id, usable ? slots - spareSlots - online - runs.length : 0);
  }
  const starts: {engine: EngineId; key: string}[] = [];
  for (const {key, service} of waiting) {
    const best = engines
      .filter((engine) => engine.service === service && (room.get(engine.id) ?? 0) > 0)
      .sort((a, b) => room.get(b.id)! - room.get(a.id)!)[0];
    if (best !== undefined) {
      room.set(best.id, room.get(best.id)! - 1);
      starts.push({engine: best.id, key});
    }
  }
  return {cuts, starts};
}
