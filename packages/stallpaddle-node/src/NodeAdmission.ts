/**
 * Whether a customer's request may go on within the customer's limit.
 */
import type {LogFields} from 'stallpaddle';
import type {FleetCustomer} from 'stallpaddle-fleet';
import type {RateLimit} from 'stallpaddle-limits';
import type {RelayCaller} from 'stallpaddle-relay';

import {delay, refuse} from 'stallpaddle';

import type {NodeCustomers} from './NodeCustomers';
import type {NodeLimits} from './NodeLimits';

/** What it needs of its process. */
export interface NodeAdmissionOptions {
  readonly customers: Pick<NodeCustomers, 'named'>;
  /** Writes one line for a refusal. */
  readonly decide: (requestId: string, fields: LogFields) => void;
  readonly limits: Pick<NodeLimits, 'admit' | 'giveBack'>;
}

/**
 * A customer's limit.
 *
 * @param customer the customer
 */
export function rateLimitOf({burst, name, ratePerSecond}: FleetCustomer): RateLimit {
  return {burst, customer: name, ratePerSecond};
}

/** See the module's comment. */
export class NodeAdmission {
  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: NodeAdmissionOptions) {}

  /**
   * Lets a request go on, perhaps after a moment.
   *
   * @param caller who sends it
   * @param requestId its name
   * @throws {RefusalError} `rateLimited` with the time at which the limit has room
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
   * Notes that no engine ran an admitted request, so that it counts for nothing.
   *
   * @param caller who sent it
   */
  giveBack(caller: RelayCaller): void {
    const limit = this.limitOf(caller);
    if (limit !== undefined) {
      this.options.limits.giveBack(limit.customer);
    }
  }

  /** Undefined for whoever has none. */
  private limitOf(caller: RelayCaller): RateLimit | undefined {
    const {customers} = this.options;
    const customer = caller.kind === 'customer' ? customers.named(caller.name) : undefined;
    return customer === undefined || customer.ratePerSecond === 0
      ? undefined
      : rateLimitOf(customer);
  }
}
