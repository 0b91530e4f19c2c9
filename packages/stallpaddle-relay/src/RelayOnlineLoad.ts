/**
 * How many online requests each engine has: exactly those of this VM, and those of the others as far as
 * the dispatcher of batch items has told.
 */
import type {Clock, EngineId, MonotonicMs} from 'stallpaddle';

/** Online requests by engine; engines without one are left out. */
export type OnlineCounts = Readonly<Record<EngineId, number>>;

/**
 * Age up to which the others' counts say anything, in milliseconds: online requests last about a second, and the
 * dispatcher is told, and tells, after a second at most.
 */
const OTHERS_COUNT_MS = 2_000;

/** Weight of the newest answer in the mean of what answers bring (RFC 6298 weighs round trips so). */
const MEAN_GAIN = 1 / 8;

/** Requests that have begun between two counts. */
function begunBetween(before: OnlineCounts, after: OnlineCounts): number {
  return Object.entries(after).reduce(
    (sum, [id, count]) => sum + Math.max(0, count - (before[id] ?? 0)),
    0,
  );
}

/** Counts with some of them replaced; engines without any are left out, so that those that are gone are forgotten. */
function merged(before: OnlineCounts, changed: OnlineCounts): OnlineCounts {
  const counts = Object.entries({...before, ...changed});
  return Object.fromEntries(counts.filter(([, count]) => count > 0));
}

/** See the module's comment. */
export class RelayOnlineLoad {
  private readonly listeners = new Set<() => void>();
  private readonly own = new Map<EngineId, number>();
  private others: OnlineCounts = {};
  private newOnes = 0;
  private suspects: ReadonlySet<EngineId> = new Set();
  private toldAt: MonotonicMs = -Infinity;

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Online requests of all VMs at an engine, as far as known.
   *
   * @param id the engine
   */
  requestsAt(id: EngineId): number {
    const others = this.isTold ? (this.others[id] ?? 0) : 0;
    return (this.own.get(id) ?? 0) + others;
  }

  /**
   * Whether an engine has fallen silent towards the dispatcher, whose items stream from it all the time.
   *
   * @param id the engine
   */
  isSuspect(id: EngineId): boolean {
    return this.isTold && this.suspects.has(id);
  }

  /** Whether the others' requests are known; else engines may be fuller than they seem. */
  get knowsOthers(): boolean {
    return this.isTold;
  }

  /** Whether the others' requests were ever known, so that an engine with few of this VM's own may be taken for a free one. */
  get hasKnownOthers(): boolean {
    return this.toldAt > -Infinity;
  }

  /** Requests that other VMs begin between two answers on average, so that nobody knows of them when it chooses. */
  get unseen(): number {
    return this.newOnes;
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
   * Takes in the others' counts.
   *
   * @param others online requests of all other VMs, 0 for none
   * @param isAll whether engines that are not named have none; else they have as many as before
   * @param suspects engines that have fallen silent towards the dispatcher
   */
  applyReport(others: OnlineCounts, isAll: boolean, suspects: readonly EngineId[]): void {
    if (!isAll) {
      this.newOnes += MEAN_GAIN * (begunBetween(this.others, others) - this.newOnes);
    }
    this.others = isAll ? others : merged(this.others, others);
    this.suspects = new Set(suspects);
    this.toldAt = this.clock.monotonicMs();
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

  private get isTold(): boolean {
    return this.clock.monotonicMs() - this.toldAt < OTHERS_COUNT_MS;
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
