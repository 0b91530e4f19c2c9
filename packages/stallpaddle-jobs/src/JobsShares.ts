/**
 * Fair shares of customers at the dispatcher.
 */
import type {Clock, LogFields, MonotonicMs} from 'stallpaddle';
import type {FleetView} from 'stallpaddle-fleet';

import {
  AdmissionShares,
  type DemandReport,
  type SharesReport,
  type ShareUse,
  shareWeight,
} from 'stallpaddle-admission';

import {ONLINE_COUNTS_TTL_MS} from './JobsConstants';

/** Shortest time between two computations, in milliseconds; bounds their cost whatever the number of reports. */
const COMPUTE_INTERVAL_MS = 50;

/**
 * Time after the first report in which no shares are told, in milliseconds. Within it, each VM that serves requests has
 * reported at least once; the VMs keep the shares of the previous dispatcher meanwhile.
 */
const FIRST_REPORTS_MS = 250;

/** Interval of the log line while slots are scarce, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;

/** Customers that log lines and metrics name; the others are summed up. */
const NAMED_CUSTOMERS = 8;

/** Name of the sum of all other customers in log lines and metrics. */
const OTHERS = 'other';

/** Shares while there is room for all. */
const NO_SHARES: SharesReport = {level: null, over: {}};

/** Dependencies of `JobsShares`. */
export interface JobsSharesOptions {
  readonly clock: Clock;
  /** Whether the feature is on. */
  readonly isOn: () => boolean;
  /** Logs the shares in force. */
  readonly note: (message: string, fields: LogFields) => void;
  readonly view: () => FleetView;
}

interface SenderDemand {
  readonly at: MonotonicMs;
  readonly demand: DemandReport;
}

function rounded(value: number): number {
  return Math.round(value * 100) / 100;
}

function usableSlots({news}: FleetView): number {
  const usable = news.engines.filter(({draining, silent}) => !draining && !silent);
  return usable.reduce((sum, {slots}) => sum + slots, 0);
}

/** Sums the demand that entry VMs report, and computes the customers' shares while slots are scarce. */
export class JobsShares {
  private computedAt: MonotonicMs = -Infinity;
  private latest: SharesReport = NO_SHARES;
  private firstAt: MonotonicMs = Infinity;
  private isScarceLogged = false;
  private loggedAt: MonotonicMs = -Infinity;
  private options: JobsSharesOptions | undefined;
  /** Ordered by time of the latest report, oldest first. */
  private readonly senders = new Map<string, SenderDemand>();
  private readonly shares = new AdmissionShares();
  private weights: {readonly of: ReadonlyMap<string, number>; readonly version: number} = {
    of: new Map(),
    version: -1,
  };

  /** Requests that wait on all VMs. */
  get waiting(): number {
    this.removeExpired();
    return this.shares.waiting;
  }

  /** Slots per unit of weight; 0 while there is room for all. */
  get level(): number {
    return this.latest.level ?? 0;
  }

  /** Number of customers above their share, of those that VMs are told. */
  get customersOver(): number {
    return Object.keys(this.latest.over).length;
  }

  /**
   * Connects the shares with their process; before that, nothing is counted.
   *
   * @param options dependencies on the process
   */
  connect(options: JobsSharesOptions): void {
    this.options = options;
  }

  /**
   * Replaces the demand of an entry VM.
   *
   * @param sender the reporting process
   * @param demand its requests
   */
  update(sender: string, demand: DemandReport): void {
    if (this.options === undefined) {
      return;
    }
    const now = this.options.clock.monotonicMs();
    if (this.senders.size === 0) {
      this.firstAt = now;
    }
    this.shares.replace(this.senders.get(sender)?.demand, demand, now);
    this.senders.delete(sender);
    this.senders.set(sender, {at: now, demand});
    this.removeExpired();
  }

  /** Shares for entry VMs; undefined while the feature is off. */
  report(): SharesReport | undefined {
    if (this.options === undefined) {
      return undefined;
    }
    const now = this.options.clock.monotonicMs();
    const isDue = now - this.computedAt >= COMPUTE_INTERVAL_MS;
    if (!this.options.isOn()) {
      if (isDue) {
        // Demand is also counted for the admission queues alone, so customers without requests are forgotten here too.
        this.computedAt = now;
        this.latest = NO_SHARES;
        this.shares.dropIdle(now);
      }
      return undefined;
    }
    if (now - this.firstAt < FIRST_REPORTS_MS) {
      return undefined;
    }
    if (isDue) {
      this.computedAt = now;
      this.removeExpired();
      const view = this.options.view();
      const weights = this.weightsOf(view);
      this.latest = this.shares.report(
        usableSlots(view),
        (customer) => weights.get(customer) ?? 1,
        now,
      );
      this.log(now);
    }
    return this.latest;
  }

  /** Requests on engines by customer: the largest customers, and the sum of the others. */
  runningByCustomer(): Readonly<Record<string, number>> {
    const largest = this.largest();
    const named = largest.map(({customer, running}) => [customer, running] as const);
    const sum = named.reduce((total, [, running]) => total + running, 0);
    return {...Object.fromEntries(named), [OTHERS]: Math.max(0, this.shares.running - sum)};
  }

  private largest(): readonly ShareUse[] {
    const now = this.options?.clock.monotonicMs() ?? 0;
    return this.shares.largest(NAMED_CUSTOMERS, now);
  }

  /** Logs the shares periodically while slots are scarce, and once when they no longer are. */
  private log(now: MonotonicMs): void {
    const {level, over} = this.latest;
    if (level === null ? !this.isScarceLogged : now - this.loggedAt < LOG_INTERVAL_MS) {
      return;
    }
    this.isScarceLogged = level !== null;
    const {running, waiting} = this.shares;
    if (level === null) {
      this.options?.note('There is room for all customers again.', {running, waiting});
      return;
    }
    this.loggedAt = now;
    const customers = this.largest().map(
      ({customer, demand, running: own}) => `${customer}:${own}/${rounded(demand)}`,
    );
    this.options?.note('Slots are scarce, so customers get their fair shares.', {
      customers: customers.join(' '),
      level: rounded(level),
      other: this.runningByCustomer()[OTHERS],
      over: Object.keys(over).length,
      running,
      waiting,
    });
  }

  private removeExpired(): void {
    const now = this.options?.clock.monotonicMs() ?? 0;
    for (const [sender, {at, demand}] of this.senders) {
      if (now - at <= ONLINE_COUNTS_TTL_MS) {
        return;
      }
      this.senders.delete(sender);
      this.shares.replace(demand, undefined, now);
    }
  }

  private weightsOf({config}: FleetView): ReadonlyMap<string, number> {
    if (config !== null && config.version !== this.weights.version) {
      const customers = config.customers ?? [];
      const of = new Map(customers.map((customer) => [customer.name, shareWeight(customer)]));
      this.weights = {of, version: config.version};
    }
    return this.weights.of;
  }
}
