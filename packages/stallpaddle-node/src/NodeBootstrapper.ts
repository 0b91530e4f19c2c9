/**
 * Sends the addresses of control replicas to processes that may not know any.
 */
import type {Clock, MonotonicMs, ReplicaId, VmId} from 'stallpaddle';
import type {FleetRequest, FleetState, WatchAnswer} from 'stallpaddle-fleet';
import type {ReplicationState} from 'stallpaddle-replication';
import type {TryRequest} from 'stallpaddle-rpc';

import {encodeValue, vmOfReplica} from 'stallpaddle';

import type {NodeFleet} from './NodeFleet';
import type {NodeGroup} from './NodeGroup';
import type {NodeKnownEntries} from './NodeKnownEntries';

import {BOOTSTRAP_TIMEOUT_MS, CANDIDATE_TIMEOUT_MS, CONTROL_GROUP} from './NodeConstants';
import {isBootstrapperOf} from './NodeKnownEntries';

/** Dependencies of {@link NodeBootstrapper}. */
export interface NodeBootstrapperOptions {
  readonly clock: Clock;
  readonly fleet: Pick<NodeFleet, 'control' | 'seedsWithout' | 'watch'>;
  readonly group: Pick<NodeGroup<FleetState>, 'driver'>;
  /** This VM. */
  readonly host: VmId;
  /** The replica's state, which may be outdated. */
  readonly peek: () => WatchAnswer;
  readonly knownEntries: NodeKnownEntries;
}

/**
 * Members that can be expected to know their group. A leader leaves out unreachable ones: a VM that has lost its disk is
 * still listed as a member, but knows nobody.
 */
function informedReplicas({log, role}: ReplicationState, now: MonotonicMs): readonly ReplicaId[] {
  const {learners, voters} = log.members;
  const isSilent = (replica: ReplicaId): boolean => {
    const ackedAt = role.kind === 'leader' ? role.progress.get(replica)?.ackedSentAt : undefined;
    return ackedAt !== undefined && now - ackedAt >= CANDIDATE_TIMEOUT_MS;
  };
  return [...voters, ...learners].filter((replica) => !isSilent(replica));
}

/** Call that sends the group's replicas and, where given, a replica's state to a process. */
function bootstrapCall(replicas: readonly ReplicaId[], state: null | WatchAnswer): TryRequest {
  const request: FleetRequest = {kind: 'introduce', replicas, told: state};
  return {encoded: encodeValue(request), group: CONTROL_GROUP, query: true};
}

/**
 * Sends the addresses of control replicas to processes that may not know any: seeds that hold no replica, and, after all
 * processes were lost, the entry VMs that this replica has on its disk.
 */
export class NodeBootstrapper {
  /** Known entry VMs that have received this replica's state. */
  private readonly bootstrapped = new Set<VmId>();

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeBootstrapperOptions) {}

  /** Runs one round. Failed calls are retried by the next one. */
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
   * Sends the replicas to seeds that hold none or an unreachable one. After all processes were lost such a seed may know
   * nobody, and processes that have only such seeds would never find the group.
   */
  private async bootstrapSeeds(
    replicas: readonly ReplicaId[],
    informed: readonly ReplicaId[],
  ): Promise<void> {
    const {fleet} = this.options;
    const {control} = fleet;
    const call = bootstrapCall(replicas, null);
    const hosts = fleet.seedsWithout(informed);
    await Promise.all(hosts.map((host) => control.tryAt(host, call, BOOTSTRAP_TIMEOUT_MS)));
  }

  /** Sends this replica's state to known entry VMs until a leader is known; from then on they get it from the leader. */
  private async bootstrapEntries(replicas: readonly ReplicaId[]): Promise<void> {
    const {fleet, host: self, knownEntries: remembered, peek} = this.options;
    if (fleet.watch.ageMs < Infinity) {
      return;
    }
    const replicaHosts = replicas.map(vmOfReplica);
    const isAssigned = (host: VmId): boolean =>
      !replicaHosts.includes(host) &&
      !this.bootstrapped.has(host) &&
      isBootstrapperOf(host, self, replicaHosts);
    const hosts = remembered.hosts.filter(isAssigned);
    if (hosts.length === 0) {
      return;
    }
    const call = bootstrapCall(replicas, peek());
    await Promise.all(hosts.map((host) => this.bootstrapEntry(host, call)));
  }

  private async bootstrapEntry(host: VmId, call: TryRequest): Promise<void> {
    const outcome = await this.options.fleet.control.tryAt(host, call, BOOTSTRAP_TIMEOUT_MS);
    if (outcome.kind === 'answered') {
      this.bootstrapped.add(host);
    }
  }
}
