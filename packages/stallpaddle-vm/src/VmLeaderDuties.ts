/** Duties of group leaders: the first configuration, and expiry in ledger shards. */
import type {Clock, Logger, MonotonicMs} from 'stallpaddle';
import type {ConfigChange, ControlCommand} from 'stallpaddle-control';
import type {LedgerCommand} from 'stallpaddle-ledger';

import {encodeValue, errorMessage} from 'stallpaddle';
import {hasExpiredLeases} from 'stallpaddle-ledger';

import type {VmGroups} from './VmGroups';

import {MAINTENANCE_INTERVAL_MS} from './VmConstants';
import {ledgerGroup} from './VmGroups';

/** Dependencies of `VmLeaderDuties`. */
export interface VmLeaderDutiesOptions {
  readonly clock: Clock;
  readonly firstChanges: readonly ConfigChange[];
  readonly groups: VmGroups;
  readonly ledgerShards: number;
  readonly logger: Logger;
}

/**
 * Performs the duties of the groups that this VM leads: commits the first configuration to the
 * control group, and expires leases, old uploads and call records in ledger shards.
 */
export class VmLeaderDuties {
  private readonly lastExpireAt = new Map<string, MonotonicMs>();

  /**
   * @param options dependencies
   */
  constructor(private readonly options: VmLeaderDutiesOptions) {}

  /** Performs the duties that are due. */
  async check(): Promise<void> {
    const {ledgerShards, logger} = this.options;
    try {
      await this.commitFirstConfiguration();
      for (let shard = 0; shard < ledgerShards; shard++) {
        await this.expire(ledgerGroup(shard));
      }
    } catch (err) {
      logger.warn('A leader duty failed and will be retried.', {reason: errorMessage(err)});
    }
  }

  private async commitFirstConfiguration(): Promise<void> {
    const replica = this.options.groups.controlReplica;
    if (replica?.leads === true && replica.localState.revision === 0) {
      const command: ControlCommand = {
        changes: this.options.firstChanges,
        now: this.options.clock.wallMs(),
        type: 'bootstrap',
      };
      await replica.propose(encodeValue(command));
    }
  }

  private async expire(group: string): Promise<void> {
    const replica = this.options.groups.ledgerReplicaOf(group);
    if (replica?.leads !== true) {
      return;
    }
    const {clock} = this.options;
    const now = clock.monotonicMs();
    const isDue = now - (this.lastExpireAt.get(group) ?? -Infinity) >= MAINTENANCE_INTERVAL_MS;
    if (!isDue && !hasExpiredLeases(replica.localState, replica.uncountedMs)) {
      return;
    }
    this.lastExpireAt.set(group, now);
    const command: LedgerCommand = {now: clock.wallMs(), type: 'expire'};
    await replica.propose(encodeValue(command));
  }
}
