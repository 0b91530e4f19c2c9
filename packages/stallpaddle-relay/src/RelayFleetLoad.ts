/**
 * What the dispatcher of batch items last told this VM of the fleet, for optional features.
 */
import type {Clock, EngineId, MonotonicMs} from 'stallpaddle';
import type {RoomReport, SharesReport} from 'stallpaddle-admission';

/**
 * Age up to which a report is used, in milliseconds; longer than the interval of the reports. Beyond it a VM decides by
 * what it observes itself.
 */
const MAX_REPORT_AGE_MS = 2_000;

/** Details of the dispatcher's answer to a report of online requests; absent ones are of features that are off. */
export interface FleetLoadDetails {
  readonly items?: Readonly<Record<EngineId, number>>;
  readonly room?: RoomReport;
  readonly shares?: SharesReport;
  readonly speeds?: Readonly<Record<EngineId, number>>;
}

/** Applies changed values; usual ones are dropped, so that removed engines don't accumulate. */
function merged(
  before: ReadonlyMap<EngineId, number>,
  changed: Readonly<Record<EngineId, number>> | undefined,
  isComplete: boolean,
  usual: number,
): ReadonlyMap<EngineId, number> {
  if (changed === undefined) {
    return new Map();
  }
  // Most answers change nothing, and small VMs get up to 200 a second.
  if (!isComplete && Object.keys(changed).length === 0) {
    return before;
  }
  const values = new Map([...(isComplete ? [] : before), ...Object.entries(changed)]);
  return new Map([...values].filter(([, value]) => value !== usual));
}

/** Holds the latest report of the dispatcher with its age. */
export class RelayFleetLoad {
  private items: ReadonlyMap<EngineId, number> = new Map();
  private latest: FleetLoadDetails = {};
  private reportedAt: MonotonicMs = -Infinity;
  private speeds: ReadonlyMap<EngineId, number> = new Map();

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /** Age of the latest report, in milliseconds; infinite without one. */
  get ageMs(): number {
    return this.clock.monotonicMs() - this.reportedAt;
  }

  /** Whether the latest report is recent enough to be used. */
  get isCurrent(): boolean {
    return this.ageMs < MAX_REPORT_AGE_MS;
  }

  /** Free capacity of all engines; undefined while no recent report tells it. */
  get room(): RoomReport | undefined {
    return this.isCurrent ? this.latest.room : undefined;
  }

  /** Fair shares of customers; undefined while no recent report tells them. */
  get shares(): SharesReport | undefined {
    return this.isCurrent ? this.latest.shares : undefined;
  }

  /** Whether the runs of batch items are known. */
  get knowsItems(): boolean {
    return this.isCurrent && this.latest.items !== undefined;
  }

  /**
   * Runs of batch items at an engine; 0 while they are unknown.
   *
   * @param id the engine
   */
  itemsAt(id: EngineId): number {
    return this.knowsItems ? (this.items.get(id) ?? 0) : 0;
  }

  /**
   * Speed of an engine as a factor of its service's median; 1 while it is unknown.
   *
   * @param id the engine
   */
  speedOf(id: EngineId): number {
    return this.isCurrent ? (this.speeds.get(id) ?? 1) : 1;
  }

  /**
   * Applies a report.
   *
   * @param details the report
   * @param isComplete whether engines that it doesn't list have no runs and the usual speed
   */
  apply(details: FleetLoadDetails, isComplete: boolean): void {
    this.items = merged(this.items, details.items, isComplete, 0);
    this.speeds = merged(this.speeds, details.speeds, isComplete, 1);
    this.latest = details;
    this.reportedAt = this.clock.monotonicMs();
  }
}
