/**
 * Demand of requests that were rejected for their customer's share.
 */
import type {MonotonicMs} from 'stallpaddle';

/** Weight of the newest request in the mean duration (as for round trips in RFC 6298). */
const DURATION_GAIN = 1 / 8;

/** Duration assumed before any request has ended, in milliseconds. */
const FIRST_DURATION_MS = 500;

/** Count below which a customer is left out. */
const NEGLIGIBLE = 0.05;

/** Bounds memory; the customer whose request ended or was rejected least recently is dropped first. */
const MAX_CUSTOMERS = 1_024;

interface HeldCustomer {
  readonly at: MonotonicMs;
  readonly durationMs: number;
  readonly held: number;
}

function decayed({at, durationMs, held}: HeldCustomer, now: MonotonicMs): number {
  return held * Math.exp(-Math.max(0, now - at) / durationMs);
}

/**
 * Estimates how many rejected requests would still be open if they had gone on, from the mean duration of their
 * customer's requests. Without them a customer's demand would seem to fall to its share as soon as it is held back.
 */
export class AdmissionHeld {
  private readonly customers = new Map<string, HeldCustomer>();
  private meanMs = FIRST_DURATION_MS;

  /**
   * Records the duration of a request that was served.
   *
   * @param customer its customer
   * @param durationMs the time for which it was open, in milliseconds
   * @param now the current time
   */
  noteEnd(customer: string, durationMs: number, now: MonotonicMs): void {
    this.meanMs += DURATION_GAIN * (durationMs - this.meanMs);
    const before = this.customers.get(customer);
    const own = before?.durationMs ?? this.meanMs;
    this.put(customer, {
      at: now,
      durationMs: Math.max(1, own + DURATION_GAIN * (durationMs - own)),
      held: before === undefined ? 0 : decayed(before, now),
    });
  }

  /**
   * Records a rejected request.
   *
   * @param customer its customer
   * @param now the current time
   */
  noteRejected(customer: string, now: MonotonicMs): void {
    const before = this.customers.get(customer);
    this.put(customer, {
      at: now,
      durationMs: before?.durationMs ?? Math.max(1, this.meanMs),
      held: 1 + (before === undefined ? 0 : decayed(before, now)),
    });
  }

  /**
   * Requests that would be open, by customer.
   *
   * @param now the current time
   */
  held(now: MonotonicMs): Readonly<Record<string, number>> {
    const held: Record<string, number> = {};
    for (const [customer, state] of this.customers) {
      const count = state.held === 0 ? 0 : decayed(state, now);
      if (count >= NEGLIGIBLE) {
        held[customer] = Math.round(count * 100) / 100;
      }
    }
    return held;
  }

  private put(customer: string, state: HeldCustomer): void {
    this.customers.delete(customer);
    this.customers.set(customer, state);
    const [oldest] = this.customers.keys();
    if (oldest !== undefined && this.customers.size > MAX_CUSTOMERS) {
      this.customers.delete(oldest);
    }
  }
}
