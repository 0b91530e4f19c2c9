/**
 * Counts of online requests at each engine.
 */
import type {Clock, EngineId, MonotonicMs} from 'stallpaddle';

/** Number of online requests per engine; engines with none are omitted. */
export type OnlineCounts = Readonly<Record<EngineId, number>>;

/**
 * Age up to which a report on the other VMs' requests is used, in milliseconds. Longer than the interval of the
 * reports.
 */
const MAX_REPORT_AGE_MS = 2_000;

/** Weight of the newest report in the moving average of new requests (as for round trips in RFC 6298). */
const MEAN_GAIN = 1 / 8;

/** Number of requests that started between two reports. */
function startedBetween(before: OnlineCounts, after: OnlineCounts): number {
  return Object.entries(after).reduce(
    (sum, [id, count]) => sum + Math.max(0, count - (before[id] ?? 0)),
    0,
  );
}

/** Applies changed counts; engines with none are dropped, so that removed engines don't accumulate. */
function merged(before: OnlineCounts, changed: OnlineCounts): OnlineCounts {
  const counts = Object.entries({...before, ...changed});
  return Object.fromEntries(counts.filter(([, count]) => count > 0));
}

/**
 * Counts the online requests of this VM at each engine, and adds the counts of the other VMs that the batch
 * dispatcher last reported.
 */
export class RelayOnlineLoad {
  private readonly listeners = new Set<() => void>();
  private readonly reportListeners = new Set<() => void>();
  private readonly own = new Map<EngineId, number>();
  private otherVms: OnlineCounts = {};
  private meanNewRequests = 0;
  private unresponsive: ReadonlySet<EngineId> = new Set();
  private reportedAt: MonotonicMs = -Infinity;

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Number of online requests of all VMs at an engine, as far as known.
   *
   * @param id the engine
   */
  requestsAt(id: EngineId): number {
    const others = this.isCurrent ? (this.otherVms[id] ?? 0) : 0;
    return (this.own.get(id) ?? 0) + others;
  }

  /**
   * Whether the dispatcher has reported an engine as unresponsive: its batch items have stopped streaming.
   *
   * @param id the engine
   */
  isUnresponsive(id: EngineId): boolean {
    return this.isCurrent && this.unresponsive.has(id);
  }

  /**
   * Whether the report on the other VMs' requests is recent; otherwise engines may have fewer free slots than the
   * counts show.
   */
  get hasCurrentReport(): boolean {
    return this.isCurrent;
  }

  /** Whether any report on the other VMs' requests was received, so that a low count can be taken for a free slot. */
  get hasReceivedReport(): boolean {
    return this.reportedAt > -Infinity;
  }

  /**
   * Average number of requests that other VMs start between two reports, unknown to this VM when it selects an
   * engine.
   */
  get unreported(): number {
    return this.meanNewRequests;
  }

  /** Number of this VM's own requests per engine. */
  ownCounts(): OnlineCounts {
    return Object.fromEntries(this.own);
  }

  /**
   * Counts a request that is sent to an engine.
   *
   * @param id the engine
   * @returns removes the request from the count; further calls do nothing
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
   * Applies a report on the other VMs' requests.
   *
   * @param counts online requests of all other VMs per engine, 0 for none
   * @param isComplete whether engines that are not listed have none; otherwise their counts are unchanged
   * @param unresponsive engines that the dispatcher found unresponsive
   */
  applyReport(counts: OnlineCounts, isComplete: boolean, unresponsive: readonly EngineId[]): void {
    if (!isComplete) {
      this.meanNewRequests +=
        MEAN_GAIN * (startedBetween(this.otherVms, counts) - this.meanNewRequests);
    }
    this.otherVms = isComplete ? counts : merged(this.otherVms, counts);
    this.unresponsive = new Set(unresponsive);
    this.reportedAt = this.clock.monotonicMs();
    this.reportListeners.forEach((listener) => listener());
  }

  /**
   * Registers a listener that is called after each change of this VM's own counts.
   *
   * @param listener called without arguments
   * @returns removes the listener
   */
  registerListener(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Registers a listener that is called after each report on the other VMs' requests.
   *
   * @param listener called without arguments
   * @returns removes the listener
   */
  registerReportListener(listener: () => void): () => void {
    this.reportListeners.add(listener);
    return () => this.reportListeners.delete(listener);
  }

  private get isCurrent(): boolean {
    return this.clock.monotonicMs() - this.reportedAt < MAX_REPORT_AGE_MS;
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
