/**
 * The replicas that this VM's disk holds: founding, running, installing.
 */
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

/** A replica of any group, as far as the VM handles all alike. */
export type AnyReplica = ReplicaDriver<ControlState> | ReplicaDriver<LedgerState>;

/**
 * Name of a ledger shard's group.
 *
 * @param shard number of the shard, from 0
 */
export function ledgerGroup(shard: number): GroupId {
  return `ledger-${shard}`;
}

/**
 * Names of all groups.
 *
 * @param shards number of ledger shards
 */
export function groupNames(shards: number): readonly GroupId[] {
  return [CONTROL_GROUP, ...Array.from({length: shards}, (_, shard) => ledgerGroup(shard))];
}

/** What the groups need of the VM. */
export interface VmGroupsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly onFailure: (err: unknown) => void;
  readonly peers: VmPeers;
  readonly self: ReplicaId;
  readonly settings: VmSettings;
}

/** All replicas of one VM. */
export class VmGroups {
  private control: ReplicaDriver<ControlState> | undefined;
  private readonly formed = new Map<GroupId, GroupMembers>();
  private readonly ledgers = new Map<GroupId, ReplicaDriver<LedgerState>>();
  private stopped = false;

  /**
   * @param options what the groups need of the VM
   * @param folder data folder
   */
  constructor(
    private readonly options: VmGroupsOptions,
    private readonly folder: string,
  ) {}

  /** The control group's replica, once it has opened. */
  get controlReplica(): ReplicaDriver<ControlState> | undefined {
    return this.control;
  }

  /** This disk's name as a replica. */
  get self(): ReplicaId {
    return this.options.self;
  }

  /**
   * A group's replica, once it has opened.
   *
   * @param group the group
   */
  replicaOf(group: GroupId): AnyReplica | undefined {
    return group === CONTROL_GROUP ? this.control : this.ledgers.get(group);
  }

  /**
   * A ledger shard's replica, once it has opened.
   *
   * @param group the shard's group
   */
  ledgerReplicaOf(group: GroupId): ReplicaDriver<LedgerState> | undefined {
    return this.ledgers.get(group);
  }

  /** Models with batch items that wait for a lease, as this VM's replicas know. */
  waitingModels(): readonly string[] {
    const models = [...this.ledgers.values()].flatMap((ledger) => [
      ...ledger.localState.runnable.keys(),
    ]);
    return [...new Set(models)];
  }

  /** All replicas that have opened. */
  get replicas(): readonly (readonly [GroupId, AnyReplica])[] {
    const control: readonly (readonly [GroupId, AnyReplica])[] =
      this.control === undefined ? [] : [[CONTROL_GROUP, this.control]];
    return [...control, ...this.ledgers];
  }

  /**
   * Members of a group that this disk was founded with or has since learnt.
   *
   * @param group the group
   */
  membersOf(group: GroupId): GroupMembers | undefined {
    const members = this.replicaOf(group)?.status.log.members;
    return members !== undefined && members.voters.length > 0 ? members : this.formed.get(group);
  }

  /** Opens all replicas; those of a new group once its founders have met. */
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
   * Hands a message to the replica that it is for.
   *
   * @param message the message
   */
  receive(message: Message): void {
    this.replicaOf(message.group)?.receive(message);
  }

  /**
   * Answers a question from a replica that leads.
   *
   * @param group the group
   * @param encoded the question
   * @throws {NotLeaderError} without leadership or lease
   */
  query(group: GroupId, encoded: Uint8Array): unknown {
    if (group === CONTROL_GROUP && this.control !== undefined) {
      return queryControl(this.control.read(), decodeValue(encoded));
    }
    const ledger = this.ledgers.get(group);
    return ledger === undefined ? undefined : queryLedger(ledger.read(), decodeValue(encoded));
  }

  /** Hands on leadership of every group, for a planned stop. */
  transferLeadership(): void {
    this.replicas.forEach(([, replica]) => replica.transferLeadership());
  }

  /** Ends all replicas. */
  async close(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.replicas.map(([, replica]) => replica.close()));
  }

  private async open<State>(
    group: GroupId,
    machine: ReplicaMachine<State>,
  ): Promise<ReplicaDriver<State>> {
    const disk = await openDisk(path.join(this.folder, group));
    const known = await ReplicaStorage.storedMembers(disk);
    if (known === undefined) {
      await this.found(group, disk, machine);
    } else {
      this.formed.set(group, known);
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
   * Makes an empty disk a founder, or leaves it empty when the group was founded without it: then
   * it joins by a replacement that an operator confirms.
   */
  private async found<State>(
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
      const answers = await Promise.all(others.map((other) => this.identify(other, group)));
      const foundedBy = answers.find((answer) => answer !== undefined && answer.voters.length > 0);
      if (foundedBy !== undefined && !foundedBy.voters.includes(this.self)) {
        this.options.logger.warn('The group was founded without this disk.', {group});
        return;
      }
      const met = answers.every((answer) => answer !== undefined);
      if (foundedBy !== undefined || met) {
        const replicas = answers.map((answer) => answer?.replica ?? '');
        const voters = foundedBy?.voters ?? [this.self, ...replicas].sort();
        const members = {learners: [], voters};
        await ReplicaStorage.initialize(disk, machine.encode(machine.initial()), members);
        this.formed.set(group, members);
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
