/** Authentication of callers by their keys. */
import type {Clock, MonotonicMs} from 'stallpaddle';
import type {RelayCaller} from 'stallpaddle-relay';

import {refuse} from 'stallpaddle';
import {CustomerTable, type FleetConfig, type FleetCustomer, keyDigest} from 'stallpaddle-fleet';

import type {NodeWatch} from './NodeWatch';

import {CONFIG_RETRY_AFTER_MS, KEY_MAX_AGE_MS, KEY_REFRESH_PAUSE_MS} from './NodeConstants';

/** Caller in a fleet without customers, where callers are not authenticated. */
const UNAUTHENTICATED: RelayCaller = {kind: 'untold'};
const ANONYMOUS: RelayCaller = {kind: 'anybody'};

/**
 * Identifies callers by the keys of the configuration held here. A key that this configuration doesn't contain may be new,
 * so the leader is asked for the latest configuration before a caller is refused.
 */
export class NodeCustomers {
  private refreshedAt: MonotonicMs = -Infinity;
  /** Undefined in a fleet without customers. */
  private table: CustomerTable | undefined;

  /**
   * @param clock this process's clock
   * @param watch the fleet status
   */
  constructor(
    private readonly clock: Clock,
    private readonly watch: Pick<NodeWatch, 'ageMs' | 'confirm' | 'refresh'>,
  ) {}

  /**
   * Applies a configuration.
   *
   * @param config the configuration
   */
  applyConfig({customers}: FleetConfig): void {
    this.table = customers === undefined ? undefined : new CustomerTable(customers);
  }

  /**
   * Finds a customer by name.
   *
   * @param name the name
   */
  find(name: string): FleetCustomer | undefined {
    return this.table?.named(name);
  }

  /**
   * Refreshes the configuration of a VM that was partitioned or suspended, so that it doesn't accept revoked keys. If the
   * leader doesn't answer, the VM goes on with the keys that it has and asks again only after a pause.
   */
  async refreshIfStale(): Promise<void> {
    const now = this.clock.monotonicMs();
    const isOld = this.table !== undefined && this.watch.ageMs > KEY_MAX_AGE_MS;
    if (isOld && now - this.refreshedAt >= KEY_REFRESH_PAUSE_MS) {
      this.refreshedAt = now;
      await this.watch.refresh(KEY_MAX_AGE_MS);
    }
  }

  /**
   * Identifies the sender of a call.
   *
   * @param key the key of the call; null for none
   * @param isOpen returns whether the current configuration requires no key for the call
   * @throws {RefusalError} `unauthorized` for a key that the latest configuration doesn't contain, `stale` when the
   * latest configuration can't be read
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
      ? refuse('unauthorized', 'The request carries no valid customer key.')
      : refuse('stale', 'The latest keys can’t be read at the moment.', {
          retryAfterMs: CONFIG_RETRY_AFTER_MS,
        });
  }

  private callerOf(digest: null | string, isOpen: () => boolean): RelayCaller | undefined {
    if (this.table === undefined) {
      return UNAUTHENTICATED;
    }
    const holder = digest === null ? undefined : this.table.holderOf(digest);
    if (holder !== undefined) {
      return {kind: 'customer', name: holder.name};
    }
    return isOpen() ? ANONYMOUS : undefined;
  }
}
