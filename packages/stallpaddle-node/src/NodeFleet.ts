/**
 * Access of a process to the rest of its fleet.
 */
import type {Clock, LogFields, ReplicaId, VmId} from 'stallpaddle';
import type {FleetHeartbeat, FleetView} from 'stallpaddle-fleet';
import type {TryOutcome, TryRequest} from 'stallpaddle-rpc';

import {vmOfReplica} from 'stallpaddle';

import type {NodeSettings} from './NodeSettings';

import {CONTROL_GROUP, JOBS_GROUP} from './NodeConstants';
import {NodeForwardedHeartbeats} from './NodeForwardedHeartbeats';
import {candidateHosts, NodeGroupClient} from './NodeGroupClient';
import {NodeMetrics} from './NodeMetrics';
import {NodePeers} from './NodePeers';
import {orderReplicaHosts} from './NodeReplicaSelector';
import {hostOf} from './NodeSettings';
import {NodeWatch} from './NodeWatch';

/** Dependencies of {@link NodeFleet}. */
export interface NodeFleetOptions {
  /** Answers calls to the control group's leader locally; null where this process holds no replica of the group. */
  readonly answer: null | ((request: TryRequest) => Promise<TryOutcome>);
  /** Whether the process watches the leader itself: a control replica, which followers watch, or one that runs items. */
  readonly asksLeader: () => boolean;
  readonly clock: Clock;
  /** Current heartbeats of the process, one for each of its roles. */
  readonly heartbeats: () => readonly FleetHeartbeat[];
  /** Writes a line to the process's log. */
  readonly note: (message: string, fields: LogFields) => void;
  /** Called after each watch request that was not answered. */
  readonly onUnanswered: () => void;
  /** Called after each answer to a watch request. */
  readonly onView: (view: FleetView, before: FleetView) => void;
  readonly settings: NodeSettings;
}

/**
 * Connects a process to its fleet: the other processes, the leaders of both groups, and the fleet status. Every process
 * has one.
 */
export class NodeFleet {
  /** Calls to the control group's leader. */
  readonly control: NodeGroupClient;
  /** Calls to the leader of the group that keeps batch jobs. */
  readonly jobs: NodeGroupClient;
  /** Metrics of the whole process. */
  readonly metrics = new NodeMetrics();
  /** Connections to the other processes. */
  readonly peers: NodePeers;
  /** Heartbeats that other processes have sent to this one, to be forwarded to the control group's leader. */
  readonly forwarded = new NodeForwardedHeartbeats();
  /** Keeps this process's view of the fleet up to date. */
  readonly watch: NodeWatch;
  /** This VM where it holds a replica of the control group, else empty. */
  private readonly ownHosts: readonly VmId[];
  /** Addresses of VMs that are called first, while no replica is known. */
  private seeds: readonly string[];

  /**
   * @param options its dependencies
   */
  constructor(options: NodeFleetOptions) {
    const {answer, clock, heartbeats, note, onUnanswered, onView, settings} = options;
    this.ownHosts = answer === null ? [] : [settings.host];
    this.peers = new NodePeers(settings.peerPort, note);
    this.seeds = settings.seeds;
    const {forwarded, peers} = this;
    this.control = new NodeGroupClient({
      clock,
      group: CONTROL_GROUP,
      hosts: () => this.controlHosts(),
      local: answer === null ? null : {answer, host: settings.host},
      peers,
    });
    this.jobs = new NodeGroupClient({
      clock,
      group: JOBS_GROUP,
      hosts: () => candidateHosts([], this.watch.view.news.jobsReplicas),
      local: null,
      peers,
    });
    this.watch = new NodeWatch({
      caller: this.control,
      clock,
      heartbeats,
      note,
      onSilence: onUnanswered,
      onView,
      relayed: {
        confirm: (term) => forwarded.confirm(term),
        take: () => forwarded.take(clock.monotonicMs()),
      },
      replicaHosts: () => (options.asksLeader() ? [] : this.replicaHosts(settings)),
    });
  }

  /**
   * Applies changed settings.
   *
   * @param settings the new settings; only the seeds are applied
   */
  reload(settings: NodeSettings): void {
    this.seeds = settings.seeds;
  }

  /**
   * Hosts of the seeds that hold none of the given replicas.
   *
   * @param replicas the replicas
   */
  seedsWithout(replicas: readonly ReplicaId[]): readonly VmId[] {
    const hosts = new Set(replicas.map(vmOfReplica));
    return this.seeds.map(hostOf).filter((host) => !hosts.has(host));
  }

  /** Stops watching, and closes all connections to other processes. */
  close(): void {
    this.watch.stop();
    this.peers.close();
  }

  /** VMs that may answer watches in place of the leader, the best for this process first. */
  private replicaHosts({name, zone}: NodeSettings): readonly VmId[] {
    const {controls, view} = this.watch;
    const hosts = controls.length === 0 ? this.seeds.map(hostOf) : controls.map(vmOfReplica);
    const zones = new Map(view.news.entries.map((entry) => [hostOf(entry.address), entry.zone]));
    return orderReplicaHosts({
      hosts: [...new Set(hosts)],
      name,
      zone,
      zoneOf: (host) => zones.get(host),
    });
  }

  /** Hosts that may lead the control group, the likeliest first. */
  private controlHosts(): readonly VmId[] {
    const known = candidateHosts(this.seeds, this.watch.controls);
    return [...new Set([...known, ...this.ownHosts])];
  }
}
