/**
 * A process's place in its fleet: the other processes, the control group's leader, and what is known of the
 * whole. Every process has one, whatever else it does.
 */
import type {Clock, LogFields, ReplicaId, VmId} from 'stallpaddle';
import type {FleetView, Hello} from 'stallpaddle-fleet';

import {vmOfReplica} from 'stallpaddle';

import type {NodeSettings} from './NodeSettings';

import {hostsToAsk, NodeCaller} from './NodeCaller';
import {CONTROL_GROUP, JOBS_GROUP} from './NodeConstants';
import {NodeMetrics} from './NodeMetrics';
import {NodePeers} from './NodePeers';
import {hostOf} from './NodeSettings';
import {NodeWatch} from './NodeWatch';

/** What the place needs of its process. */
export interface NodeFleetOptions {
  readonly clock: Clock;
  /** What each part of the process says of itself now. */
  readonly hellos: () => readonly Hello[];
  /** Writes a line of the process's log. */
  readonly note: (message: string, fields: LogFields) => void;
  /** Called after each answer of the control group's leader. */
  readonly onView: (view: FleetView, before: FleetView) => void;
  /** Whether the process holds a replica of the control group, so that it may lead it itself. */
  readonly ownReplica: boolean;
  readonly settings: NodeSettings;
}

/** See the module's comment. */
export class NodeFleet {
  /** Calls to the control group's leader. */
  readonly control: NodeCaller;
  /** Calls to the leader of the group that keeps batch jobs. */
  readonly jobs: NodeCaller;
  /** Metrics of the whole process. */
  readonly metrics = new NodeMetrics();
  /** Connections to the other processes. */
  readonly peers: NodePeers;
  /** What is known of the fleet. */
  readonly watch: NodeWatch;
  /** This VM, where it holds a replica of the control group. */
  private readonly ownHosts: readonly VmId[];
  /** Addresses of VMs that serve control calls, to be asked first. */
  private seeds: readonly string[];

  /**
   * @param options what it needs of its process
   */
  constructor(options: NodeFleetOptions) {
    const {clock, hellos, onView, ownReplica, settings} = options;
    this.ownHosts = ownReplica ? [settings.host] : [];
    this.peers = new NodePeers(settings.peerPort, options.note);
    this.seeds = settings.seeds;
    const {peers} = this;
    this.control = new NodeCaller({
      clock,
      group: CONTROL_GROUP,
      hosts: () => this.controlHosts(),
      peers,
    });
    this.jobs = new NodeCaller({
      clock,
      group: JOBS_GROUP,
      hosts: () => hostsToAsk([], this.watch.view.news.jobsReplicas),
      peers,
    });
    this.watch = new NodeWatch({caller: this.control, clock, hellos, onView});
  }

  /**
   * Takes in settings that have changed.
   *
   * @param settings the settings as they are now; only the seeds are followed
   */
  reload(settings: NodeSettings): void {
    this.seeds = settings.seeds;
  }

  /**
   * Hosts of the seeds that hold none of some replicas.
   *
   * @param replicas the replicas
   */
  seedsWithout(replicas: readonly ReplicaId[]): readonly VmId[] {
    const hosts = new Set(replicas.map(vmOfReplica));
    return this.seeds.map(hostOf).filter((host) => !hosts.has(host));
  }

  /** Asks for no more news, and ends all connections to other processes. */
  close(): void {
    this.watch.stop();
    this.peers.close();
  }

  /** Hosts that may lead the control group, best known first. */
  private controlHosts(): readonly VmId[] {
    const known = hostsToAsk(this.seeds, this.watch.controls);
    return [...new Set([...known, ...this.ownHosts])];
  }
}
