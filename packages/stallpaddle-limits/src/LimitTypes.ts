/**
 * Rate limits of customers over the whole fleet, and the messages by which VMs ask a limit's owner.
 */
import type {VmId} from 'stallpaddle';

/** A customer's limit over all VMs. */
export interface RateLimit {
  /** Requests allowed at once beyond the rate. */
  readonly burst: number;
  readonly customer: string;
  /** Requests per second; 0 for no limit. */
  readonly ratePerSecond: number;
}

/** Asks the owner of a customer's limit to admit one request. */
export interface AskLimit {
  readonly customer: string;
  /** The owner, when another VM is asked because the owner did not answer; else null. */
  readonly insteadOf: null | VmId;
  readonly kind: 'askLimit';
}

/** Returns the quota of a granted request that no engine ran. */
export interface ReturnLimit {
  readonly customer: string;
  readonly kind: 'returnLimit';
}

/** Messages to the owner of a customer's limit. */
export type LimitAsk = AskLimit | ReturnLimit;

/** Whether a request is admitted. */
export type LimitDecision =
  /** Admitted after `waitMs`. */
  | {
      readonly kind: 'granted';
      /** Whether the customer is well within its limit. */
      readonly isCalm: boolean;
      readonly waitMs: number;
    }
  | {readonly kind: 'over'; readonly retryAfterMs: number};

/** Answer of another VM; `unsure` when it doesn't own the limit. */
export type LimitAnswer = LimitDecision | {readonly kind: 'unsure'};
