/**
 * Owner's side of pauses: bounds how often the VMs ask about a customer that is above its limit.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {LimitOwnerBuckets} from './LimitOwnerBuckets';
import type {AskLimit, LimitDecision, LimitPause, RateLimit} from './LimitTypes';

/** Most requests that one ask is granted. */
export const MAX_ASK_COUNT = 64;

/**
 * Asks that end above the limit, for each request that the limit allows. The bound is 4 asks for each allowed request;
 * at 0.5 an owner of a third of a core stays near the load of a customer within its limit.
 */
const OVERS_PER_REQUEST = 0.5;

/**
 * Period whose asks above the limit may come at once, in milliseconds. A customer that is above its limit for a moment
 * gets only the pause until a token is free.
 */
const TOLERANCE_MS = 1_000;

/** Longest pause, in milliseconds. It bounds how long a pause outlasts the loss of the owner. */
const MAX_PAUSE_MS = 1_000;

/** Longest retry-after time, in milliseconds: a third of a deadline of 5 s, above which callers don't honour it. */
const MAX_RETRY_AFTER_MS = 1_600;

/** Time constant of the mean demand, in milliseconds. */
const DEMAND_MS = 1_000;

/** Largest number of requests that a VM may state as rejected, so that one message can't distort the mean for long. */
const MAX_REJECTED = 10_000;

/** Bounds memory; the least recently used customer is dropped first. */
const MAX_CUSTOMERS = 65_536;

/** Fraction of the golden ratio; its multiples modulo 1 spread evenly. */
const GOLDEN = 0.618_033_988_749_895;

const SECOND_MS = 1_000;

interface CustomerDemand {
  readonly at: MonotonicMs;
  /** Time up to which asks above the limit are booked. */
  readonly bookedUntil: MonotonicMs;
  /** Asks above the limit so far. */
  readonly overs: number;
  /** Requests per second, admitted or not. */
  readonly perSecond: number;
}

function clamp(value: number, low: number, high: number): number {
  return Math.max(low, Math.min(high, value));
}

/** Number of requests of an ask, within its bounds. */
function countOf({count}: Pick<AskLimit, 'count'>): number {
  return clamp(Math.floor(count ?? 1), 1, MAX_ASK_COUNT);
}

/**
 * Answers asks within the customers' limits and tells VMs how long they reject a customer's requests by themselves. The
 * ends of the pauses are booked one after the other, so that the asks of any number of VMs stay proportional to the
 * limit and each freed token finds a VM that asks for it. Only customers without a token get pauses.
 */
export class LimitPauses {
  private readonly customers = new Map<string, CustomerDemand>();

  /**
   * Answers an ask.
   *
   * @param buckets the buckets of the owned limits
   * @param limit the customer's limit
   * @param ask the ask
   * @param now the current time
   */
  answer(
    buckets: LimitOwnerBuckets,
    limit: RateLimit,
    ask: Pick<AskLimit, 'count' | 'rejected'>,
    now: MonotonicMs,
  ): LimitDecision {
    const wanted = countOf(ask);
    this.noteDemand(limit.customer, wanted + clamp(ask.rejected ?? 0, 0, MAX_REJECTED), now);
    let granted: Extract<LimitDecision, {kind: 'granted'}> | undefined;
    for (let count = 1; count <= wanted; count++) {
      const answer = buckets.ask(limit, now);
      if (answer.kind === 'over') {
        const rest = this.pause(limit, answer.retryAfterMs, now);
        return granted === undefined ? {kind: 'over', ...rest} : {...granted, rest};
      }
      granted = {...answer, count};
    }
    return granted!;
  }

  /** Pause of a VM that found no token. */
  private pause(limit: RateLimit, tokenMs: number, now: MonotonicMs): LimitPause {
    const {customer, ratePerSecond} = limit;
    const demand = this.customers.get(customer)!;
    const spacingMs = SECOND_MS / (ratePerSecond * OVERS_PER_REQUEST);
    const bookedUntil = Math.max(demand.bookedUntil, now - TOLERANCE_MS) + spacingMs;
    const overs = demand.overs + 1;
    // Beyond the longest pause no more is booked, or the backlog would outlast the excess.
    const booked = Math.min(bookedUntil, now + MAX_PAUSE_MS);
    this.customers.set(customer, {...demand, bookedUntil: booked, overs});
    const excess = Math.max(0, demand.perSecond - ratePerSecond);
    const drainedMs = tokenMs + (excess / ratePerSecond) * SECOND_MS;
    const spread = 0.5 + ((overs * GOLDEN) % 1) / 2;
    return {
      pauseMs: clamp(booked - now, Math.min(tokenMs, MAX_PAUSE_MS), MAX_PAUSE_MS),
      retryAfterMs: Math.round(
        Math.min(
          MAX_RETRY_AFTER_MS,
          Math.max(tokenMs, Math.min(drainedMs, MAX_RETRY_AFTER_MS) * spread),
        ),
      ),
    };
  }

  private noteDemand(customer: string, requests: number, now: MonotonicMs): void {
    const before = this.customers.get(customer) ?? {
      at: now,
      bookedUntil: -Infinity,
      overs: 0,
      perSecond: 0,
    };
    const kept = Math.exp(-Math.max(0, now - before.at) / DEMAND_MS);
    const perSecond = before.perSecond * kept + (requests * SECOND_MS) / DEMAND_MS;
    this.customers.delete(customer);
    this.customers.set(customer, {...before, at: now, perSecond});
    const [oldest] = this.customers.keys();
    if (oldest !== undefined && this.customers.size > MAX_CUSTOMERS) {
      this.customers.delete(oldest);
    }
  }
}
