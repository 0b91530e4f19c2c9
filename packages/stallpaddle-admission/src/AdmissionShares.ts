/**
 * Fair shares of customers by their demand over time.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {DemandReport, SharesReport} from './AdmissionTypes';

import {fairLevel} from './AdmissionLevel';

/** Most customers above their share that are named; those with the largest excess come first. */
const MAX_OVER = 64;

/** Use of the slots from which they count as scarce: in the mean, or at once while requests wait. */
const SCARCE_USE = 0.95;

/**
 * Requests for which shares are computed, for each slot. The excess over 1 waits for about 5 in 100 of a request's
 * duration and keeps the slots in use while the VMs' reports are late. With 1.1, calm customers were served within 150 ms
 * in 97 of 100 cases instead of 98 while the dispatcher was replaced.
 */
const REQUESTS_PER_SLOT = 1.05;

/**
 * Time constant of the mean demand, in milliseconds. With 300 ms, up to 0.3 s more passed in the model until other
 * customers were served as before; less than two report intervals would follow single requests.
 */
const DEMAND_MEAN_MS = 100;

/** Time constant of the mean use of the slots, in milliseconds; three of them weigh 95 in 100 of a second. */
const USE_MEAN_MS = 333;

/** Smallest fraction of a customer's requests that may go on, so that none is shut out. */
const MIN_FRACTION = 0.02;

/**
 * Period after the first report in which demand counts at once, in milliseconds. A new dispatcher would otherwise take
 * a high demand for a low one until the means have risen.
 */
const FIRST_REPORTS_MS = 500;

/** Mean demand below which a customer without requests is forgotten, in slots. */
const NEGLIGIBLE_SLOTS = 0.01;

/** Largest number of requests that one VM may report for a customer. */
const MAX_REPORTED = 100_000;

/** A value that changes in steps, with its exponential mean. */
interface Mean {
  readonly at: MonotonicMs;
  readonly mean: number;
  readonly value: number;
}

interface CustomerState {
  /** Requests that wait, run, or would do so if they had not been rejected. */
  readonly demand: Mean;
  readonly running: number;
}

/** Slots of the customers with the largest demand, for logs and metrics. */
export interface ShareUse {
  readonly customer: string;
  /** Slots that the customer would occupy if nothing held it back. */
  readonly demand: number;
  readonly running: number;
}

function meanAt({at, mean, value}: Mean, timeMs: number, now: MonotonicMs): number {
  return value + (mean - value) * Math.exp(-Math.max(0, now - at) / timeMs);
}

function stepped(before: Mean, value: number, timeMs: number, now: MonotonicMs): Mean {
  return {at: now, mean: meanAt(before, timeMs, now), value};
}

function countIn(counts: Readonly<Record<string, number>>, customer: string): number {
  const count = Object.hasOwn(counts, customer) ? counts[customer]! : 0;
  return count > 0 ? Math.min(MAX_REPORTED, count) : 0;
}

const NONE: Readonly<Record<string, number>> = {};
const NO_DEMAND: DemandReport = {running: NONE, waiting: NONE};

/**
 * Learns the customers' demand for slots and computes their shares while slots are scarce. Demand is counted in
 * requests that wait or run, averaged over time, hence in slot-time; requests that VMs rejected count for as long as
 * they would have been open, so the demand doesn't depend on the shares that were told before.
 */
export class AdmissionShares {
  private readonly customers = new Map<string, CustomerState>();
  private firstAt: MonotonicMs | undefined;
  private use: Mean = {at: 0, mean: 0, value: 0};
  private waitingNow = 0;

  /** Requests that wait. */
  get waiting(): number {
    return this.waitingNow;
  }

  /** Requests that run. */
  get running(): number {
    return this.use.value;
  }

  /**
   * Replaces one sender's part of the demand.
   *
   * @param before what the sender reported before; undefined for nothing
   * @param after what it reports now; undefined for nothing
   * @param now the current time
   */
  replace(
    before: DemandReport = NO_DEMAND,
    after: DemandReport = NO_DEMAND,
    now: MonotonicMs,
  ): void {
    const parts = [before.running, before.waiting, before.held, after.running, after.waiting];
    const names = [...parts, after.held].flatMap((counts) => Object.keys(counts ?? NONE));
    for (const customer of new Set(names)) {
      const runs = countIn(after.running, customer) - countIn(before.running, customer);
      const waits = countIn(after.waiting, customer) - countIn(before.waiting, customer);
      const held = countIn(after.held ?? NONE, customer) - countIn(before.held ?? NONE, customer);
      if (runs !== 0 || waits !== 0 || held !== 0) {
        this.change(customer, runs, runs + waits + held, now);
        this.waitingNow += waits;
      }
    }
  }

  /**
   * Computes the shares.
   *
   * @param slots slots of all usable engines
   * @param weightOf weight of a customer
   * @param now the current time
   */
  report(slots: number, weightOf: (customer: string) => number, now: MonotonicMs): SharesReport {
    const isScarce =
      meanAt(this.use, USE_MEAN_MS, now) > SCARCE_USE * slots ||
      // Reports are late, so the sum seldom reaches all slots.
      (this.waitingNow > 0 && this.use.value > SCARCE_USE * slots);
    const demands = isScarce ? this.demands(weightOf, now) : [];
    const level = fairLevel(demands, slots * REQUESTS_PER_SLOT);
    const over: Record<string, number> = {};
    if (level !== null) {
      const above = demands.filter((demand) => demand.slots > level * demand.weight);
      above.sort((a, b) => b.slots - b.weight * level - (a.slots - a.weight * level));
      for (const demand of above.slice(0, MAX_OVER)) {
        over[demand.customer] = Math.max(MIN_FRACTION, (level * demand.weight) / demand.slots);
      }
    }
    this.dropIdle(now);
    return {level, over};
  }

  /**
   * Customers with the largest demand.
   *
   * @param count their number
   * @param now the current time
   */
  largest(count: number, now: MonotonicMs): readonly ShareUse[] {
    const uses = [...this.customers].map(([customer, {demand, running}]) => ({
      customer,
      demand: meanAt(demand, DEMAND_MEAN_MS, now),
      running,
    }));
    return uses.sort((a, b) => b.demand - a.demand).slice(0, count);
  }

  /**
   * Forgets customers without demand; `report` does so too.
   *
   * @param now the current time
   */
  dropIdle(now: MonotonicMs): void {
    for (const [customer, {demand}] of this.customers) {
      // Sums of fractions keep rounding errors.
      if (
        demand.value < NEGLIGIBLE_SLOTS &&
        meanAt(demand, DEMAND_MEAN_MS, now) < NEGLIGIBLE_SLOTS
      ) {
        this.customers.delete(customer);
      }
    }
  }

  private change(customer: string, runs: number, demand: number, now: MonotonicMs): void {
    this.firstAt ??= now;
    const isFirst = now - this.firstAt < FIRST_REPORTS_MS;
    const state = this.customers.get(customer);
    const before = state?.demand ?? {at: now, mean: 0, value: 0};
    const after = stepped(before, before.value + demand, DEMAND_MEAN_MS, now);
    this.customers.set(customer, {
      demand: isFirst ? {...after, mean: after.value} : after,
      running: (state?.running ?? 0) + runs,
    });
    const use = stepped(this.use, this.use.value + runs, USE_MEAN_MS, now);
    this.use = isFirst ? {...use, mean: use.value} : use;
  }

  private demands(
    weightOf: (customer: string) => number,
    now: MonotonicMs,
  ): readonly {readonly customer: string; readonly slots: number; readonly weight: number}[] {
    return [...this.customers].map(([customer, {demand}]) => ({
      customer,
      slots: meanAt(demand, DEMAND_MEAN_MS, now),
      weight: weightOf(customer),
    }));
  }
}
