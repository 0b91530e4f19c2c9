/**
 * Online requests of all entry VMs, as they tell them.
 */
import type {Clock, EngineId, MonotonicMs} from 'stallpaddle';

import {TOLD_COUNTS_MS} from './JobsConstants';

interface Told {
  readonly at: MonotonicMs;
  readonly own: Readonly<Record<EngineId, number>>;
  readonly sequence: number;
}

/** See the module's comment. */
export class JobsOnline {
  private readonly senders = new Map<string, Told>();

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Takes in what an entry VM tells. Each tells all of its requests, so a lost word does no lasting harm.
   *
   * @param sender the VM's process
   * @param sequence number of the word
   * @param own its online requests by engine
   */
  learn(sender: string, sequence: number, own: Readonly<Record<EngineId, number>>): void {
    const known = this.senders.get(sender);
    if (known === undefined || sequence > known.sequence) {
      this.senders.set(sender, {at: this.clock.monotonicMs(), own, sequence});
    }
  }

  /** Online requests by engine. Senders that have fallen silent no longer count. */
  totals(): Readonly<Record<EngineId, number>> {
    const oldest = this.clock.monotonicMs() - TOLD_COUNTS_MS;
    const totals: Record<EngineId, number> = {};
    for (const [sender, {at, own}] of this.senders) {
      if (at < oldest) {
        this.senders.delete(sender);
        continue;
      }
      for (const [engine, count] of Object.entries(own)) {
        totals[engine] = (totals[engine] ?? 0) + count;
      }
    }
    return totals;
  }
}
