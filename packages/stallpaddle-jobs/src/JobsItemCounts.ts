/**
 * Runs of batch items by engine, as they are told to entry VMs.
 */
import type {EngineId} from 'stallpaddle';

import {JobsChangeLog} from './JobsChangeLog';

/**
 * Number of engines whose changes are kept. Beyond it, half of them are forgotten where they have no run: engines that
 * register under new ids would otherwise accumulate. Far above the number of engines of a fleet, so that all VMs have
 * heard of the forgotten changes.
 */
const MAX_CHANGES = 8_192;

/** Runs of batch items by engine, with the number of each change. */
export class JobsItemCounts {
  private readonly changes = new JobsChangeLog();
  private counts: ReadonlyMap<EngineId, number> = new Map();

  /** Rises with each change. */
  get version(): number {
    return this.changes.version;
  }

  /**
   * Replaces all counts. The same object as before costs nothing, as this is called for each report of an entry VM.
   *
   * @param counts runs by engine, never changed later; engines without one are left out
   */
  replace(counts: ReadonlyMap<EngineId, number>): void {
    const before = this.counts;
    if (counts === before) {
      return;
    }
    this.counts = counts;
    for (const engine of new Set([...before.keys(), ...counts.keys()])) {
      if ((before.get(engine) ?? 0) !== (counts.get(engine) ?? 0)) {
        this.changes.note(engine);
      }
    }
    if (this.changes.size > MAX_CHANGES) {
      this.forgetOldest();
    }
  }

  /**
   * Counts that have changed, 0 for engines without a run.
   *
   * @param version only changes after this version count; null for all counts
   */
  since(version: null | number): Readonly<Record<EngineId, number>> {
    const engines = version === null ? this.counts.keys() : this.changes.changedSince(version);
    return Object.fromEntries([...engines].map((engine) => [engine, this.counts.get(engine) ?? 0]));
  }

  private forgetOldest(): void {
    for (const engine of this.changes.names().slice(0, MAX_CHANGES / 2)) {
      if (!this.counts.has(engine)) {
        this.changes.forget(engine);
      }
    }
  }
}
