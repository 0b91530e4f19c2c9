/**
 * A process's place in its fleet: the other processes, the control group's leader, and what is known of the
 * whole. Every process has one, whatever else it does.
 */
import type {Clock, LogFields, ReplicaId, VmId} from 'stallpaddle';
import type {FleetHeartbeat, FleetView} from 'stallpaddle-fleet';
import type {TryOutcome, TryRequest} from 'stallpaddle-rpc';

import {vmOfReplica} from 'stallpaddle';

import type {NodeSettings} from './NodeSettings';

import {hostsToAsk, NodeCaller} from './NodeCaller';
import {CONTROL_GROUP, JOBS_GROUP} from './NodeConstants';
import {NodeForwardedHeartbeats} from './NodeForwardedHeartbeats';
import {orderHops} from './NodeHops';
import {NodeMetrics} from './NodeMetrics';
import {NodePeers} from './NodePeers';
import {hostOf} from './NodeSettings';
import {NodeWatch} from './NodeWatch';

/** What the place needs of its process. */
export interface NodeFleetOptions {
  /** Answers calls to the control group's leader here, where this process may lead it. */
  readonly answer: null | ((request: TryRequest) => Promise<TryOutcome>);
  /** Whether the process asks the leader itself for news: a replica that passes them on, or one that runs items. */
  readonly asksLeader: () => boolean;
  readonly clock: Clock;
  /** What each part of the process says of itself now. */
  readonly heartbeats: () => readonly FleetHeartbeat[];
  /** Writes a line of the process's log. */
  readonly note: (message: string, fields: LogFields) => void;
  /** Called after each question for news that nobody answered. */
  readonly onUnanswered: () => void;
  /** Called after each answer to a question for news. */
  readonly onView: (view: FleetView, before: FleetView) => void;
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
  /** What other processes have said to this one, for the control group's leader. */
  readonly forwarded = new NodeForwardedHeartbeats();
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
    const {answer, clock, heartbeats: hellos, note, onUnanswered: onSilence, onView, settings} = options;
    this.ownHosts = answer === null ? [] : [settings.host];
    this.peers = new NodePeers(settings.peerPort, note);
    this.seeds = settings.seeds;
    const {peers, forwarded: relayed} = this;
    this.control = new NodeCaller({
      clock,
      group: CONTROL_GROUP,
      hosts: () => this.controlHosts(),
      local: answer === null ? null : {answer, host: settings.host},
      peers,
    });
    this.jobs = new NodeCaller({
      clock,
      group: JOBS_GROUP,
      hosts: () => hostsToAsk([], this.watch.view.news.jobsReplicas),
      local: null,
      peers,
    });
    this.watch = new NodeWatch({
      caller: this.control,
      clock,
      hellos,
      hops: () => (options.asksLeader() ? [] : this.hopHosts(settings)),
      note,
      onSilence,
      onView,
      relayed: {
        confirm: (term) => relayed.confirm(term),
        take: () => relayed.take(clock.monotonicMs()),
      },
    });
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

  /** VMs that may answer for the control group's leader, the best for this process first. */
  private hopHosts({name, zone}: NodeSettings): readonly VmId[] {
    const {controls, view} = this.watch;
    const hosts = controls.length === 0 ? this.seeds.map(hostOf) : controls.map(vmOfReplica);
    const zones = new Map(view.news.entries.map((entry) => [hostOf(entry.address), entry.zone]));
    return orderHops({hosts: [...new Set(hosts)], name, zone, zoneOf: (host) => zones.get(host)});
  }

  /** Hosts that may lead the control group, best known first. */
  private controlHosts(): readonly VmId[] {
    const known = hostsToAsk(this.seeds, this.watch.controls);
    return [...new Set([...known, ...this.ownHosts])];
  }
}
