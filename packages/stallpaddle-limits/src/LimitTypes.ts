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

/** Asks the owner of a customer's limit to admit requests. */
export interface AskLimit {
  /** Number of requests; absent for one. */
  readonly count?: number;
  readonly customer: string;
  /** The owner, when another VM is asked because the owner did not answer; else null. */
  readonly insteadOf: null | VmId;
  readonly kind: 'askLimit';
  /** Requests of the customer that the sender has rejected since its last ask, without asking; absent for none. */
  readonly rejected?: number;
}

/** Returns the quota of a granted request that no engine ran. */
export interface ReturnLimit {
  readonly customer: string;
  readonly kind: 'returnLimit';
}

/** Asks a deputy of an owner for its vote. */
export interface AskVote {
  readonly kind: 'voteLimitOwner';
  readonly owner: VmId;
  /** Whether the owner is to grant its limits, the sender in its place, or nothing but an answer is wanted. */
  readonly wants: 'contact' | 'own' | 'replace';
}

/** Messages about a customer's limit, to its owner or deputy. */
export type LimitAsk = AskLimit | ReturnLimit;

/** A deputy's vote. */
export interface LimitVote {
  readonly isGranted: boolean;
  readonly kind: 'vote';
  /** Number of times that the voter has voted for a replacement of the owner. */
  readonly replacements: number;
}

/** When requests above a limit may be tried again. */
export interface LimitPause {
  /** Time during which a VM rejects the customer's requests without asking, in milliseconds. */
  readonly pauseMs: number;
  readonly retryAfterMs: number;
}

/** Whether requests are admitted. */
export type LimitDecision =
  /** Admitted after `waitMs`. */
  | {
      /** Number of admitted requests, the last of them after `waitMs`; absent for one. */
      readonly count?: number;
      readonly kind: 'granted';
      /** Whether the customer is well within its limit. */
      readonly isCalm: boolean;
      /** What applies to the other requests of the ask; absent when all were admitted. */
      readonly rest?: LimitPause;
      readonly waitMs: number;
    }
  | {
      readonly kind: 'over';
      /** As in `LimitPause`; absent where VMs ask for each request. */
      readonly pauseMs?: number;
      readonly retryAfterMs: number;
    };

/** Answer of another VM; `unsure` when it doesn't own the limit. */
export type LimitAnswer = LimitDecision | {readonly kind: 'unsure'};
