/**
 * Online requests of all entry VMs, as they tell them.
 */
import type {Clock, EngineId, MonotonicMs} from 'stallpaddle';

import {TOLD_COUNTS_MS} from './JobsConstants';

/** Online requests by engine; engines without one are left out. */
type Counts = Readonly<Record<EngineId, number>>;

/** Name under which requests that no entry VM tells are counted. */
const UNKNOWN = 'unknown';

interface Told {
  readonly at: MonotonicMs;
  readonly own: Counts;
  readonly sequence: number;
}

/** Engines at which two counts differ. */
function differences(a: Counts, b: Counts): readonly EngineId[] {
  const engines = new Set([...Object.keys(a), ...Object.keys(b)]);
  return [...engines].filter((engine) => a[engine] !== b[engine]);
}

/** See the module's comment. */
export class JobsOnline {
  /** For each engine, the number of the last change of its counts. */
  private readonly changedAt = new Map<EngineId, number>();
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
    this.noteChange(differences(known?.own ?? {}, own));
  }

  /**
   * Takes in requests that no entry VM tells, in place of any before.
   *
   * @param counts the requests by engine
   */
  learnUnknown(counts: Counts): void {
    this.learn(UNKNOWN, (this.senders.get(UNKNOWN)?.sequence ?? 0) + 1, counts);
  }

  /** Online requests by engine that entry VMs tell. */
  told(): Counts {
    return this.totals(UNKNOWN);
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
    for (const [sender, {at, own}] of this.senders) {
      if (at < oldest) {
        this.senders.delete(sender);
        this.noteChange(Object.keys(own));
      }
    }
  }

  private noteChange(engines: readonly EngineId[]): void {
    if (engines.length > 0) {
      this.changes++;
      engines.forEach((engine) => this.changedAt.set(engine, this.changes));
    }
  }
}
