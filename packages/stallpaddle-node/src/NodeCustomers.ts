/**
 * Who sends a call, by the key that it shows. A key is unknown only by the latest configuration: whoever knows an older one
 * asks before it turns a caller away.
 */
import type {Clock, MonotonicMs} from 'stallpaddle';
import type {RelayCaller} from 'stallpaddle-relay';

import {refuse} from 'stallpaddle';
import {CustomerTable, type FleetConfig, type FleetCustomer, keyDigest} from 'stallpaddle-fleet';

import type {NodeWatch} from './NodeWatch';

import {CONFIG_RETRY_AFTER_MS, KEY_MAX_AGE_MS, KEY_REFRESH_PAUSE_MS} from './NodeConstants';

/** Fleets that know no customers let callers say of themselves what they like. */
const UNTOLD: RelayCaller = {kind: 'untold'};
const ANYBODY: RelayCaller = {kind: 'anybody'};

/** See the module's comment. */
export class NodeCustomers {
  private askedAt: MonotonicMs = -Infinity;
  /** Undefined where the fleet knows no customers. */
  private table: CustomerTable | undefined;

  /**
   * @param clock this process's clock
   * @param watch what is known of the fleet
   */
  constructor(
    private readonly clock: Clock,
    private readonly watch: Pick<NodeWatch, 'ageMs' | 'confirm' | 'freshen'>,
  ) {}

  /**
   * Takes in a configuration.
   *
   * @param config the configuration
   */
  follow({customers}: FleetConfig): void {
    this.table = customers === undefined ? undefined : new CustomerTable(customers);
  }

  /**
   * A customer by its name.
   *
   * @param name the name
   */
  named(name: string): FleetCustomer | undefined {
    return this.table?.named(name);
  }

  /**
   * Lets a VM that was cut off or suspended learn which keys are gone before it serves by what it knew.
   * Nobody waits twice within a moment for a leader that doesn't answer: the VM serves on with what it has.
   */
  async catchUp(): Promise<void> {
    const now = this.clock.monotonicMs();
    const isOld = this.table !== undefined && this.watch.ageMs > KEY_MAX_AGE_MS;
    if (isOld && now - this.askedAt >= KEY_REFRESH_PAUSE_MS) {
      this.askedAt = now;
      await this.watch.freshen(KEY_MAX_AGE_MS);
    }
  }

  /**
   * Who sends a call.
   *
   * @param key the key that it shows; null for none
   * @param isOpen whether the call needs no key, as configured now
   * @throws {RefusalError} `unauthorized` for a key that nobody holds, `stale` while that isn't certain
   */
  async identify(key: null | string, isOpen: () => boolean): Promise<RelayCaller> {
    const digest = key === null ? null : keyDigest(key);
    const known = this.callerOf(digest, isOpen);
    if (known !== undefined) {
      return known;
    }
    const isFresh = await this.watch.confirm();
    const found = this.callerOf(digest, isOpen);
    if (found !== undefined) {
      return found;
    }
    throw isFresh
      ? refuse('unauthorized', 'The request shows no key of a customer.')
      : refuse('stale', 'The latest keys are not known now.', {retryAfterMs: CONFIG_RETRY_AFTER_MS});
  }

  private callerOf(digest: null | string, isOpen: () => boolean): RelayCaller | undefined {
    if (this.table === undefined) {
      return UNTOLD;
    }
    const holder = digest === null ? undefined : this.table.holderOf(digest);
    if (holder !== undefined) {
      return {kind: 'customer', name: holder.name};
    }
    return isOpen() ? ANYBODY : undefined;
  }
}
