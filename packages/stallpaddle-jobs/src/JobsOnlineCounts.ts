/**
 * Online requests of all entry VMs, as they tell them. Sums are kept as words come: 165 entry VMs tell 560 times a second
 * at 280 requests a second, and adding up all of them with each word would cost more than the word.
 */
import type {Clock, EngineId, MonotonicMs} from 'stallpaddle';

import {ONLINE_COUNTS_TTL_MS} from './JobsConstants';

/** Online requests by engine; engines without one are left out. */
type Counts = Readonly<Record<EngineId, number>>;

/** Name under which requests that no entry VM tells are counted. */
const UNKNOWN = 'unknown';

interface Told {
  readonly at: MonotonicMs;
  readonly own: Counts;
  readonly sequence: number;
}

/** Engines at which two counts differ, with the difference. */
function differences(before: Counts, after: Counts): readonly (readonly [EngineId, number])[] {
  const engines = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...engines]
    .map((engine) => [engine, (after[engine] ?? 0) - (before[engine] ?? 0)] as const)
    .filter(([, by]) => by !== 0);
}

/** See the module's comment. */
export class JobsOnlineCounts {
  /** For each engine, the number of the last change of its counts. */
  private readonly changedAt = new Map<EngineId, number>();
  private changes = 0;
  /** The sender that spoke longest ago comes first. */
  private readonly senders = new Map<string, Told>();
  private readonly sums = new Map<EngineId, number>();

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /** Rises with each change of any sender's counts. */
  get version(): number {
    return this.changes;
  }

  /**
   * Takes in what an entry VM tells. Each tells all of its requests, so a lost word does no lasting harm.
   *
   * @param sender the VM's process
   * @param sequence number of the word
   * @param own its online requests by engine
   * @returns engines that have more requests now
   */
  update(sender: string, sequence: number, own: Counts): readonly EngineId[] {
    const known = this.senders.get(sender);
    if (known !== undefined && sequence <= known.sequence) {
      return [];
    }
    this.senders.delete(sender);
    this.senders.set(sender, {at: this.clock.monotonicMs(), own, sequence});
    return this.change(known?.own ?? {}, own);
  }

  /**
   * Takes in requests that no entry VM tells, in place of any before.
   *
   * @param counts the requests by engine
   */
  setUnreported(counts: Counts): void {
    this.update(UNKNOWN, (this.senders.get(UNKNOWN)?.sequence ?? 0) + 1, counts);
  }

  /** Online requests by engine that entry VMs tell. */
  reported(): Counts {
    return this.totals(UNKNOWN);
  }

  /**
   * Online requests at an engine.
   *
   * @param engine the engine
   */
  at(engine: EngineId): number {
    this.forgetSilent();
    return this.sums.get(engine) ?? 0;
  }

  /**
   * Engines whose counts have changed.
   *
   * @param version version after which the changes count
   */
  changedSince(version: number): readonly EngineId[] {
    return [...this.changedAt].filter(([, at]) => at > version).map(([engine]) => engine);
  }

  /**
   * Online requests by engine. Senders that have fallen silent no longer count.
   *
   * @param except a sender whose requests are left out
   */
  totals(except?: string): Counts {
    this.forgetSilent();
    const own = (except === undefined ? undefined : this.senders.get(except)?.own) ?? {};
    const totals: Record<EngineId, number> = {};
    for (const [engine, sum] of this.sums) {
      const others = sum - (own[engine] ?? 0);
      if (others > 0) {
        totals[engine] = others;
      }
    }
    return totals;
  }

  private forgetSilent(): void {
    const oldest = this.clock.monotonicMs() - ONLINE_COUNTS_TTL_MS;
    for (const [sender, {at, own}] of this.senders) {
      if (at >= oldest) {
        return;
      }
      this.senders.delete(sender);
      this.change(own, {});
    }
  }

  /** Replaces counts in the sums; returns the engines that have more now. */
  private change(before: Counts, after: Counts): readonly EngineId[] {
    const changed = differences(before, after);
    if (changed.length > 0) {
      this.changes++;
    }
    for (const [engine, by] of changed) {
      this.changedAt.set(engine, this.changes);
      const sum = (this.sums.get(engine) ?? 0) + by;
      if (sum > 0) {
        this.sums.set(engine, sum);
      } else {
        this.sums.delete(engine);
      }
    }
    return changed.filter(([, by]) => by > 0).map(([engine]) => engine);
  }
}
