/** What the dispatcher learns of the rhythm of online demand, by service. */
import type {MonotonicMs} from 'stallpaddle';

import {type BurstEstimate, CapacityBursts, CapacityReserve} from 'stallpaddle-capacity';

import type {PlannedEngine} from './JobsPlan';

/** Use of a service's slots, and what was learned from it. */
interface ServiceUse {
  readonly bursts: CapacityBursts;
  inUse: number;
  readonly reserve: CapacityReserve;
  slots: number;
}

function initialUse(): ServiceUse {
  return {bursts: new CapacityBursts(), inUse: 0, reserve: new CapacityReserve(), slots: 0};
}

/** Learns bursts from the counts of online requests, and how many slots items must leave free for them. */
export class JobsBursts {
  private readonly services = new Map<string, ServiceUse>();

  /**
   * Adds an observation.
   *
   * @param engines all engines with their load
   * @param now the current time
   */
  observe(
    engines: readonly Pick<PlannedEngine, 'online' | 'service' | 'slots' | 'usable'>[],
    now: MonotonicMs,
  ): void {
    for (const use of this.services.values()) {
      use.inUse = 0;
      use.slots = 0;
    }
    for (const {online, service, slots, usable} of engines) {
      const use = this.services.get(service) ?? initialUse();
      this.services.set(service, use);
      use.inUse += online;
      use.slots += usable ? slots : 0;
    }
    for (const [service, {bursts, inUse, reserve, slots}] of this.services) {
      if (slots === 0 && inUse === 0) {
        this.services.delete(service);
      } else {
        bursts.observe(now, inUse);
        reserve.observe(now, inUse);
      }
    }
  }

  /** Slots of each service that items leave free. */
  reserved(): ReadonlyMap<string, number> {
    return new Map(
      [...this.services].map(([service, {reserve, slots}]) => [service, reserve.slotsOf(slots)]),
    );
  }

  /** The learned bursts of the service with the most slots; null while there are none. */
  get estimate(): BurstEstimate | null {
    const uses = [...this.services.values()].sort((a, b) => b.slots - a.slots);
    return uses[0]?.bursts.estimate ?? null;
  }

  /**
   * Time until the bursts of all services end, in milliseconds; null when no end is known.
   *
   * @param now the current time
   */
  burstEndsInMs(now: MonotonicMs): null | number {
    const ends = [...this.services.values()]
      .map(({bursts}) => bursts.burstEndsInMs(now))
      .filter((end) => end !== null);
    return ends.length === 0 ? null : Math.round(Math.max(...ends));
  }

  /** Forgets everything. */
  clear(): void {
    this.services.clear();
  }
}
