/** The replicas on this VM's disk. */
import type {Clock, GroupId, Logger, ReplicaId, VmId} from 'stallpaddle';
import type {ControlState} from 'stallpaddle-control';
import type {LedgerState} from 'stallpaddle-ledger';
import type {GroupMembers, Message, ReplicaMachine, ReplicaOptions} from 'stallpaddle-replication';
import type {VmSettings} from 'stallpaddle-settings';
import type {Disk} from 'stallpaddle-storage';

import path from 'node:path';
import {decodeValue, delay, vmOfReplica} from 'stallpaddle';
import {controlMachine, queryControl} from 'stallpaddle-control';
import {ledgerMachine, queryLedger} from 'stallpaddle-ledger';
import {DEFAULT_TIMING, ReplicaDriver, ReplicaStorage} from 'stallpaddle-replication';
import {sendSnapshot} from 'stallpaddle-rpc';
import {openDisk} from 'stallpaddle-storage';

import type {VmPeers} from './VmPeers';

import {CONTROL_GROUP, GROUP_TRY_TIMEOUT_MS, INITIALIZE_RETRY_MS} from './VmConstants';

/** A replica of any group. */
export type AnyReplica = ReplicaDriver<ControlState> | ReplicaDriver<LedgerState>;

/**
 * Returns the name of a ledger shard's group.
 *
 * @param shard number of the shard, from 0
 */
export function ledgerGroup(shard: number): GroupId {
  return `ledger-${shard}`;
}

/**
 * Returns the names of all groups.
 *
 * @param shards number of ledger shards
 */
export function groupNames(shards: number): readonly GroupId[] {
  return [CONTROL_GROUP, ...Array.from({length: shards}, (_, shard) => ledgerGroup(shard))];
}

/** Dependencies of `VmGroups`. */
export interface VmGroupsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly onFailure: (err: unknown) => void;
  readonly peers: VmPeers;
  readonly self: ReplicaId;
  readonly settings: VmSettings;
}

/** Initializes, opens and closes this VM's replicas, and dispatches messages and queries to them. */
export class VmGroups {
  private control: ReplicaDriver<ControlState> | undefined;
  private readonly storedMembers = new Map<GroupId, GroupMembers>();
  private readonly ledgers = new Map<GroupId, ReplicaDriver<LedgerState>>();
  private stopped = false;

  /**
   * @param options dependencies
   * @param folder data folder
   */
  constructor(
    private readonly options: VmGroupsOptions,
    private readonly folder: string,
  ) {}

  /** The control group's replica, once it is open. */
  get controlReplica(): ReplicaDriver<ControlState> | undefined {
    return this.control;
  }

  /** The replica ID of this disk. */
  get self(): ReplicaId {
    return this.options.self;
  }

  /**
   * Returns a group's replica, once it is open.
   *
   * @param group the group
   */
  replicaOf(group: GroupId): AnyReplica | undefined {
    return group === CONTROL_GROUP ? this.control : this.ledgers.get(group);
  }

  /**
   * Returns a ledger shard's replica, once it is open.
   *
   * @param group the shard's group
   */
  ledgerReplicaOf(group: GroupId): ReplicaDriver<LedgerState> | undefined {
    return this.ledgers.get(group);
  }

  /** Models with batch items that wait for a lease, by this VM's replicas. */
  waitingModels(): readonly string[] {
    const models = [...this.ledgers.values()].flatMap((ledger) => [
      ...ledger.localState.runnable.keys(),
    ]);
    return [...new Set(models)];
  }

  /** All open replicas. */
  get replicas(): readonly (readonly [GroupId, AnyReplica])[] {
    const control: readonly (readonly [GroupId, AnyReplica])[] =
      this.control === undefined ? [] : [[CONTROL_GROUP, this.control]];
    return [...control, ...this.ledgers];
  }

  /**
   * Returns the members in the replica's log, else those stored on the disk when it was opened.
   *
   * @param group the group
   */
  membersOf(group: GroupId): GroupMembers | undefined {
    const members = this.replicaOf(group)?.status.log.members;
    return members !== undefined && members.voters.length > 0
      ? members
      : this.storedMembers.get(group);
  }

  /** Opens all replicas. Waits for the other initial members of a group that is new. */
  async start(): Promise<void> {
    const {settings} = this.options;
    await Promise.all(
      groupNames(settings.ledgerShards).map(async (group) => {
        if (group === CONTROL_GROUP) {
          this.control = await this.open(group, controlMachine);
        } else {
          this.ledgers.set(group, await this.open(group, ledgerMachine));
        }
      }),
    );
  }

  /**
   * Dispatches a message to its group's replica.
   *
   * @param message the message
   */
  receive(message: Message): void {
    this.replicaOf(message.group)?.receive(message);
  }

  /**
   * Runs a query on this VM's replica, which must lead the group.
   *
   * @param group the group
   * @param encoded the query
   * @throws {NotLeaderError} if the replica doesn't lead or has no valid lease
   */
  query(group: GroupId, encoded: Uint8Array): unknown {
    if (group === CONTROL_GROUP && this.control !== undefined) {
      return queryControl(this.control.read(), decodeValue(encoded));
    }
    const ledger = this.ledgers.get(group);
    return ledger === undefined ? undefined : queryLedger(ledger.read(), decodeValue(encoded));
  }

  /** Transfers the leadership of all groups, before a planned stop. */
  transferLeadership(): void {
    this.replicas.forEach(([, replica]) => replica.transferLeadership());
  }

  /** Closes all replicas. */
  async close(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.replicas.map(([, replica]) => replica.close()));
  }

  private async open<State>(
    group: GroupId,
    machine: ReplicaMachine<State>,
  ): Promise<ReplicaDriver<State>> {
    const disk = await openDisk(path.join(this.folder, group));
    const stored = await ReplicaStorage.storedMembers(disk);
    if (stored === undefined) {
      await this.initialize(group, disk, machine);
    } else {
      this.storedMembers.set(group, stored);
    }
    const {clock, logger, onFailure, peers, self} = this.options;
    const options: ReplicaOptions<State> = {
      clock,
      disk,
      group,
      logger,
      machine,
      onFailure,
      self,
      timing: DEFAULT_TIMING,
      transport: {
        send: (message) => peers.send(message),
        sendSnapshot: (to, source) => sendSnapshot(peers.clientOf(vmOfReplica(to)), source),
      },
    };
    return ReplicaDriver.open(options);
  }

  /**
   * Initializes an empty disk as a member of a new group. Leaves it empty if the group was initialized
   * without it: then it joins by a replacement that an operator confirms.
   */
  private async initialize<State>(
    group: GroupId,
    disk: Disk,
    machine: ReplicaMachine<State>,
  ): Promise<void> {
    const {controlReplicas, vm} = this.options.settings;
    if (!controlReplicas.includes(vm)) {
      return;
    }
    const others = controlReplicas.filter((other) => other !== vm);
    while (!this.stopped) {
      const identities = await Promise.all(others.map((other) => this.identify(other, group)));
      const initializedPeer = identities.find(
        (identity) => identity !== undefined && identity.voters.length > 0,
      );
      if (initializedPeer !== undefined && !initializedPeer.voters.includes(this.self)) {
        this.options.logger.warn('The group was initialized without this disk.', {group});
        return;
      }
      const allAnswered = identities.every((identity) => identity !== undefined);
      if (initializedPeer !== undefined || allAnswered) {
        const replicas = identities.map((identity) => identity?.replica ?? '');
        const voters = initializedPeer?.voters ?? [this.self, ...replicas].sort();
        const members = {learners: [], voters};
        await ReplicaStorage.initialize(disk, machine.encode(machine.initial()), members);
        this.storedMembers.set(group, members);
        return;
      }
      await delay(INITIALIZE_RETRY_MS);
    }
  }

  private async identify(
    vm: VmId,
    group: GroupId,
  ): Promise<{readonly replica: string; readonly voters: readonly string[]} | undefined> {
    try {
      return await this.options.peers
        .clientOf(vm)
        ?.identify({group}, {timeoutMs: GROUP_TRY_TIMEOUT_MS});
    } catch {
      return undefined;
    }
  }
}
