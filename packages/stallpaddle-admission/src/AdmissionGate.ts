/**
 * Enforcement of fair shares at an entry VM.
 */
import type {SharesReport} from './AdmissionTypes';

/** Shortest time after which a rejected request returns, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;

/** Longest retry-after time, in milliseconds: a third of a deadline of 5 s, above which callers don't honour it. */
const MAX_RETRY_AFTER_MS = 1_600;

/** Bounds memory; reports name at most 64 customers at a time. */
const MAX_CUSTOMERS = 1_024;

/** Fraction of the golden ratio; its multiples modulo 1 spread evenly. */
const GOLDEN = 0.618_033_988_749_895;

const SECOND_MS = 1_000;

/** Whether a request goes on. */
export type GateDecision =
  | {readonly kind: 'admitted'}
  | {
      /** Fraction of the customer's requests that may go on. */
      readonly fraction: number;
      readonly kind: 'rejected';
      readonly retryAfterMs: number;
    };

const ADMITTED: GateDecision = {kind: 'admitted'};

/**
 * Fraction of a customer's requests that may go on; undefined for all.
 *
 * @param customer the customer; empty for none
 * @param shares the shares in force; undefined when none are known
 */
export function allowedFraction(
  customer: string,
  shares: SharesReport | undefined,
): number | undefined {
  // Customers may be named like an inherited property.
  return shares !== undefined && shares.level !== null && Object.hasOwn(shares.over, customer)
    ? shares.over[customer]
    : undefined;
}

/**
 * Lets the told fraction of a customer's requests go on, evenly spaced: each request adds the fraction to the customer's
 * credit, and goes on when the credit reaches 1.
 */
export class AdmissionGate {
  private readonly credits = new Map<string, number>();
  private rejections = 0;

  /**
   * @param firstCredit credit of a customer that has just exceeded its share, 0 to 1; it differs between VMs, or all of
   * them would reject at the same time
   */
  constructor(private readonly firstCredit: number) {}

  /**
   * Decides on one request.
   *
   * @param customer its customer; empty for none
   * @param shares the shares in force; undefined when none are known
   */
  decide(customer: string, shares: SharesReport | undefined): GateDecision {
    const fraction = allowedFraction(customer, shares);
    if (fraction === undefined || fraction >= 1) {
      this.credits.delete(customer);
      return ADMITTED;
    }
    const credit = (this.credits.get(customer) ?? this.firstCredit) + Math.max(0, fraction);
    const isAdmitted = credit >= 1;
    this.credits.set(customer, isAdmitted ? credit - 1 : credit);
    const [oldest] = this.credits.keys();
    if (oldest !== undefined && this.credits.size > MAX_CUSTOMERS) {
      this.credits.delete(oldest);
    }
    return isAdmitted
      ? ADMITTED
      : {fraction, kind: 'rejected', retryAfterMs: this.retryAfterMs(fraction)};
  }

  /** Time in which the share takes the excess of a second, spread over its later half. */
  private retryAfterMs(fraction: number): number {
    const drainedMs = SECOND_MS * (1 / Math.max(fraction, 1e-3) - 1);
    const longestMs = Math.max(2 * MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, drainedMs));
    const spread = 0.5 + ((++this.rejections * GOLDEN) % 1) / 2;
    return Math.round(longestMs * spread);
  }
}
