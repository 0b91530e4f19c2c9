/**
 * How many online requests each engine has: exactly those of this VM, and those of all VMs as far as
 * the dispatcher of batch items has told.
 */
import type {EngineId} from 'stallpaddle';

/** Online requests by engine; engines without one are left out. */
export type OnlineCounts = Readonly<Record<EngineId, number>>;

/** See the module's comment. */
export class RelayOnline {
  private readonly listeners = new Set<() => void>();
  private readonly own = new Map<EngineId, number>();
  private ownWhenTold: OnlineCounts = {};
  private suspects: ReadonlySet<EngineId> = new Set();
  private totals: OnlineCounts = {};

  /**
   * Online requests of all VMs at an engine, as far as known.
   *
   * @param id the engine
   */
  at(id: EngineId): number {
    const own = this.own.get(id) ?? 0;
    const others = (this.totals[id] ?? 0) - (this.ownWhenTold[id] ?? 0);
    return own + Math.max(0, others);
  }

  /**
   * Whether an engine has fallen silent towards the dispatcher, whose items stream from it all the time.
   *
   * @param id the engine
   */
  isSuspect(id: EngineId): boolean {
    return this.suspects.has(id);
  }

  /** This VM's own requests. */
  ownCounts(): OnlineCounts {
    return Object.fromEntries(this.own);
  }

  /**
   * Notes that a request goes to an engine.
   *
   * @param id the engine
   * @returns notes that it has ended; further calls do nothing
   */
  registerRequest(id: EngineId): () => void {
    this.change(id, 1);
    let ended = false;
    return () => {
      if (!ended) {
        ended = true;
        this.change(id, -1);
      }
    };
  }

  /**
   * Takes in the counts of all VMs.
   *
   * @param totals online requests of all VMs
   * @param own this VM's part of them
   * @param suspects engines that have fallen silent towards the dispatcher
   */
  learn(totals: OnlineCounts, own: OnlineCounts, suspects: readonly EngineId[]): void {
    this.suspects = new Set(suspects);
    this.totals = totals;
    this.ownWhenTold = own;
  }

  /**
   * Calls back after each change of this VM's own counts.
   *
   * @param listener what to call
   * @returns ends the calls
   */
  registerListener(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private change(id: EngineId, by: number): void {
    const count = (this.own.get(id) ?? 0) + by;
    if (count > 0) {
      this.own.set(id, count);
    } else {
      this.own.delete(id);
    }
    this.listeners.forEach((listener) => listener());
  }
}
