/**
 * What leaders do on their own: the first configuration, and expiry of leases in ledger shards.
 */
import type {Clock, Logger, MonotonicMs} from 'stallpaddle';
import type {ConfigChange, ControlCommand} from 'stallpaddle-control';
import type {LedgerCommand} from 'stallpaddle-ledger';

import {encodeValue, errorMessage} from 'stallpaddle';
import {hasExpiredLeases} from 'stallpaddle-ledger';

import type {VmGroups} from './VmGroups';

import {MAINTENANCE_INTERVAL_MS} from './VmConstants';
import {ledgerGroup} from './VmGroups';

/** What the duties need of their VM. */
export interface VmLeaderDutiesOptions {
  readonly clock: Clock;
  readonly firstChanges: readonly ConfigChange[];
  readonly groups: VmGroups;
  readonly ledgerShards: number;
  readonly logger: Logger;
}

/** Duties of leaders on one VM. */
export class VmLeaderDuties {
  private readonly tidiedAt = new Map<string, MonotonicMs>();

  /**
   * @param options what the duties need of their VM
   */
  constructor(private readonly options: VmLeaderDutiesOptions) {}

  /** Does once what is due in the groups that this VM leads. */
  async look(): Promise<void> {
    const {ledgerShards, logger} = this.options;
    try {
      await this.setFirstConfiguration();
      for (let shard = 0; shard < ledgerShards; shard++) {
        await this.expire(ledgerGroup(shard));
      }
    } catch (err) {
      logger.warn('A duty of a leader waits.', {reason: errorMessage(err)});
    }
  }

  private async setFirstConfiguration(): Promise<void> {
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
    const isDue = now - (this.tidiedAt.get(group) ?? -Infinity) >= MAINTENANCE_INTERVAL_MS;
    if (!isDue && !hasExpiredLeases(replica.localState, replica.uncountedMs)) {
      return;
    }
    this.tidiedAt.set(group, now);
    const command: LedgerCommand = {now: clock.wallMs(), type: 'expire'};
    await replica.propose(encodeValue(command));
  }
}
