/** Admission of requests by the customers' rate limits. */
import type {LogFields} from 'stallpaddle';
import type {FleetCustomer} from 'stallpaddle-fleet';
import type {RateLimit} from 'stallpaddle-limits';
import type {RelayCaller} from 'stallpaddle-relay';

import {delay, refuse} from 'stallpaddle';

import type {NodeCustomers} from './NodeCustomers';
import type {NodeLimits} from './NodeLimits';

/** Dependencies of `NodeAdmission`. */
export interface NodeAdmissionOptions {
  readonly customers: Pick<NodeCustomers, 'find'>;
  /** Logs a refusal. */
  readonly decide: (requestId: string, fields: LogFields) => void;
  readonly limits: Pick<NodeLimits, 'admit' | 'refund'>;
}

/**
 * The rate limit of a customer.
 *
 * @param customer the customer
 */
export function rateLimitOf({burst, name, ratePerSecond}: FleetCustomer): RateLimit {
  return {burst, customer: name, ratePerSecond};
}

/** Admits, delays or refuses requests according to the rate limit of their customer. */
export class NodeAdmission {
  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeAdmissionOptions) {}

  /**
   * Admits a request, possibly after a short wait.
   *
   * @param caller its sender
   * @param requestId its id
   * @throws {RefusalError} `rateLimited` with the time until the limit has free capacity
   */
  async admit(caller: RelayCaller, requestId: string): Promise<void> {
    const limit = this.limitOf(caller);
    if (limit === undefined) {
      return;
    }
    const answer = await this.options.limits.admit(limit);
    if (answer.kind === 'over') {
      const {burst, customer, ratePerSecond} = limit;
      const {retryAfterMs} = answer;
      this.options.decide(requestId, {burst, customer, ratePerSecond, retryAfterMs});
      throw refuse('rateLimited', 'The customer’s limit on requests is reached.', {retryAfterMs});
    }
    if (answer.waitMs > 0) {
      await delay(answer.waitMs);
    }
  }

  /**
   * Returns the quota of an admitted request that no engine ran.
   *
   * @param caller its sender
   */
  refund(caller: RelayCaller): void {
    const limit = this.limitOf(caller);
    if (limit !== undefined) {
      this.options.limits.refund(limit.customer);
    }
  }

  /** The caller's rate limit; undefined for none. */
  private limitOf(caller: RelayCaller): RateLimit | undefined {
    const {customers} = this.options;
    const customer = caller.kind === 'customer' ? customers.find(caller.name) : undefined;
    return customer === undefined || customer.ratePerSecond === 0
      ? undefined
      : rateLimitOf(customer);
  }
}
