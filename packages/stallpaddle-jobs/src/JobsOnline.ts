/**
 * Online requests of all entry VMs, as they tell them.
 */
import type {Clock, EngineId, MonotonicMs} from 'stallpaddle';

import {TOLD_COUNTS_MS} from './JobsConstants';

/** Online requests by engine; engines without one are left out. */
type Counts = Readonly<Record<EngineId, number>>;

interface Told {
  readonly at: MonotonicMs;
  readonly own: Counts;
  readonly sequence: number;
}

function isSame(a: Counts, b: Counts): boolean {
  const engines = Object.keys(a);
  return (
    engines.length === Object.keys(b).length && engines.every((engine) => a[engine] === b[engine])
  );
}

/** See the module's comment. */
export class JobsOnline {
  private changes = 0;
  private readonly senders = new Map<string, Told>();

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /** Number of senders that have told their counts lately. */
  get senderCount(): number {
    return this.senders.size;
  }

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
   */
  learn(sender: string, sequence: number, own: Counts): void {
    const known = this.senders.get(sender);
    if (known !== undefined && sequence <= known.sequence) {
      return;
    }
    this.senders.set(sender, {at: this.clock.monotonicMs(), own, sequence});
    if (!isSame(known?.own ?? {}, own)) {
      this.changes++;
    }
  }

  /**
   * Online requests by engine. Senders that have fallen silent no longer count.
   *
   * @param except a sender whose requests are left out
   */
  totals(except?: string): Counts {
    this.forgetSilent();
    const totals: Record<EngineId, number> = {};
    for (const [sender, {own}] of this.senders) {
      for (const [engine, count] of sender === except ? [] : Object.entries(own)) {
        totals[engine] = (totals[engine] ?? 0) + count;
      }
    }
    return totals;
  }

  private forgetSilent(): void {
    const oldest = this.clock.monotonicMs() - TOLD_COUNTS_MS;
    for (const [sender, {at}] of this.senders) {
      if (at < oldest) {
        this.senders.delete(sender);
        this.changes++;
      }
    }
  }
}
