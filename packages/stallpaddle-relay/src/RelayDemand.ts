/**
 * Requests of this VM by customer, as they are reported to the dispatcher.
 */
import type {Clock} from 'stallpaddle';

import {AdmissionHeld, type DemandReport} from 'stallpaddle-admission';

import type {RelayCaller} from './RelayTypes';

/** Bounds a report; customers with the most requests come first. */
const MAX_CUSTOMERS = 256;

/**
 * Name under which a caller's requests are counted; empty for callers that are no customers.
 *
 * @param caller the caller
 */
export function demandName(caller: RelayCaller): string {
  return caller.kind === 'customer' ? caller.name : '';
}

function largest(counts: readonly (readonly [string, number])[]): Record<string, number> {
  const positive = counts.filter(([, count]) => count > 0);
  if (positive.length > MAX_CUSTOMERS) {
    positive.sort(([, a], [, b]) => b - a);
  }
  return Object.fromEntries(positive.slice(0, MAX_CUSTOMERS));
}

/** Customers may be named like an inherited property. */
function countIn(counts: Readonly<Record<string, number>>, customer: string): number {
  return Object.hasOwn(counts, customer) ? counts[customer]! : 0;
}

/** Counts the open requests of this VM by customer. */
export class RelayDemand {
  private readonly held = new AdmissionHeld();
  private readonly open = new Map<string, number>();

  /**
   * @param clock this process's clock
   * @param waiting requests that wait for a slot on this VM, by customer
   */
  constructor(
    private readonly clock: Clock,
    private readonly waiting: () => Readonly<Record<string, number>> = () => ({}),
  ) {}

  /**
   * Counts a request that is to be served.
   *
   * @param customer its customer; empty for none
   * @returns removes the request from the count, and learns its duration if an engine has run it; further calls do
   * nothing
   */
  register(customer: string): (hasRun?: boolean) => void {
    this.change(customer, 1);
    const startedAt = this.clock.monotonicMs();
    let ended = false;
    return (hasRun = true) => {
      if (!ended) {
        ended = true;
        this.change(customer, -1);
        if (hasRun) {
          const now = this.clock.monotonicMs();
          this.held.noteEnd(customer, now - startedAt, now);
        }
      }
    };
  }

  /**
   * Counts a request that was rejected because its customer is above its share.
   *
   * @param customer its customer; empty for none
   */
  noteRejected(customer: string): void {
    this.held.noteRejected(customer, this.clock.monotonicMs());
  }

  /** Requests at this moment. Those that are not known to wait count as running. */
  report(): DemandReport {
    const waiting = this.waiting();
    const running = [...this.open].map(
      ([customer, count]) => [customer, count - countIn(waiting, customer)] as const,
    );
    const held = largest(Object.entries(this.held.held(this.clock.monotonicMs())));
    const report = {running: largest(running), waiting: largest(Object.entries(waiting))};
    return Object.keys(held).length === 0 ? report : {held, ...report};
  }

  private change(customer: string, by: number): void {
    const count = (this.open.get(customer) ?? 0) + by;
    if (count > 0) {
      this.open.set(customer, count);
    } else {
      this.open.delete(customer);
    }
  }
}
