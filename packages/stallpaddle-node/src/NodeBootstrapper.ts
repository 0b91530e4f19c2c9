/**
 * Tells processes that may know nobody where replicas of the control group are: seeds without one, and after a loss of all
 * processes the entry VMs that a replica remembers.
 */
import type {Clock, MonotonicMs, ReplicaId, VmId} from 'stallpaddle';
import type {FleetRequest, FleetState, WatchAnswer} from 'stallpaddle-fleet';
import type {ReplicationState} from 'stallpaddle-replication';
import type {TryRequest} from 'stallpaddle-rpc';

import {encodeValue, vmOfReplica} from 'stallpaddle';

import type {NodeFleet} from './NodeFleet';
import type {NodeGroup} from './NodeGroup';
import type {NodeKnownEntries} from './NodeKnownEntries';

import {CANDIDATE_SILENT_MS, CONTROL_GROUP, INTRODUCE_TRY_MS} from './NodeConstants';
import {isBootstrapperOf} from './NodeKnownEntries';

/** What it needs of its process. */
export interface NodeBootstrapperOptions {
  readonly clock: Clock;
  readonly fleet: Pick<NodeFleet, 'control' | 'seedsWithout' | 'watch'>;
  readonly group: Pick<NodeGroup<FleetState>, 'driver'>;
  /** This VM. */
  readonly host: VmId;
  /** What the replica holds, without proof that it is the latest. */
  readonly peek: () => WatchAnswer;
  readonly knownEntries: NodeKnownEntries;
}

/**
 * Replicas that know their group: a leader leaves out those that answer nothing. A VM that has lost its disk is still
 * counted among the members, and knows nobody.
 */
function informedReplicas({log, role}: ReplicationState, now: MonotonicMs): readonly ReplicaId[] {
  const {learners, voters} = log.members;
  const isSilent = (replica: ReplicaId): boolean => {
    const heardAt = role.kind === 'leader' ? role.progress.get(replica)?.ackedSentAt : undefined;
    return heardAt !== undefined && now - heardAt >= CANDIDATE_SILENT_MS;
  };
  return [...voters, ...learners].filter((replica) => !isSilent(replica));
}

/** Tells a process where replicas are, and perhaps what one of them holds. */
function bootstrapCall(replicas: readonly ReplicaId[], told: null | WatchAnswer): TryRequest {
  const request: FleetRequest = {kind: 'introduce', replicas, told};
  return {encoded: encodeValue(request), group: CONTROL_GROUP, query: true};
}

/** See the module's comment. */
export class NodeBootstrapper {
  /** Remembered entry VMs that have taken in what this replica holds. */
  private readonly told = new Set<VmId>();

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: NodeBootstrapperOptions) {}

  /** One round; what is lost of it is made good by the next. */
  async bootstrap(): Promise<void> {
    const {clock, fleet, group, knownEntries: remembered} = this.options;
    const {status} = group.driver;
    const {learners, voters} = status.log.members;
    const replicas = [...voters, ...learners];
    const now = clock.monotonicMs();
    const {entries, entriesComplete} = fleet.watch.view.news;
    remembered.update(entriesComplete ? entries : [], now);
    const informed = [...informedReplicas(status, now), status.self];
    await Promise.all([this.bootstrapSeeds(replicas, informed), this.bootstrapEntries(replicas)]);
  }

  /**
   * Tells seeds without a replica, or with one that answers nothing, where replicas are. After a loss of all processes
   * such a seed may know nobody, and whoever has only such seeds would never find the group.
   */
  private async bootstrapSeeds(
    replicas: readonly ReplicaId[],
    informed: readonly ReplicaId[],
  ): Promise<void> {
    const {fleet} = this.options;
    const {control} = fleet;
    const call = bootstrapCall(replicas, null);
    const hosts = fleet.seedsWithout(informed);
    await Promise.all(hosts.map((host) => control.tryAt(host, call, INTRODUCE_TRY_MS)));
  }

  /** Tells remembered entry VMs what this replica holds, until it hears of a leader: then they have heard too. */
  private async bootstrapEntries(replicas: readonly ReplicaId[]): Promise<void> {
    const {fleet, host: self, peek, knownEntries: remembered} = this.options;
    if (fleet.watch.ageMs < Infinity) {
      return;
    }
    const replicaHosts = replicas.map(vmOfReplica);
    const isMine = (host: VmId): boolean =>
      !replicaHosts.includes(host) &&
      !this.told.has(host) &&
      isBootstrapperOf(host, self, replicaHosts);
    const hosts = remembered.hosts.filter(isMine);
    if (hosts.length === 0) {
      return;
    }
    const call = bootstrapCall(replicas, peek());
    await Promise.all(hosts.map((host) => this.bootstrapEntry(host, call)));
  }

  private async bootstrapEntry(host: VmId, call: TryRequest): Promise<void> {
    const outcome = await this.options.fleet.control.tryAt(host, call, INTRODUCE_TRY_MS);
    if (outcome.kind === 'answered') {
      this.told.add(host);
    }
  }
}
