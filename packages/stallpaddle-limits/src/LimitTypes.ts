/**
 * Limits on how many requests a customer may send to the whole fleet, and the words in which VMs speak of them.
 */
import type {VmId} from 'stallpaddle';

/** A customer's limit over all VMs. */
export interface RateLimit {
  /** Requests that may come at once, beyond the rate. */
  readonly burst: number;
  readonly customer: string;
  /** Requests a second; 0 for no limit. */
  readonly ratePerSecond: number;
}

/** A VM asks the owner of a customer's limit whether one more request may go on. */
export interface AskLimit {
  readonly customer: string;
  /** The owner, when another VM is asked because the owner was silent. */
  readonly insteadOf: null | VmId;
  readonly kind: 'askLimit';
}

/** A request that was granted has been run by no engine. */
export interface ReturnLimit {
  readonly customer: string;
  readonly kind: 'returnLimit';
}

/** What a VM says to the owner of a customer's limit. */
export type LimitAsk = AskLimit | ReturnLimit;

/** Whether a request may go on. */
export type LimitDecision =
  /** It may, after a short wait. */
  | {
      readonly kind: 'granted';
      /** Whether the customer uses little of its limit. */
      readonly isCalm: boolean;
      readonly waitMs: number;
    }
  | {readonly kind: 'over'; readonly retryAfterMs: number};

/** Answer of another VM; whoever isn't the owner can't tell. */
export type LimitAnswer = LimitDecision | {readonly kind: 'unsure'};
