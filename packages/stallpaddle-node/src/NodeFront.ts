/** The process on an entry VM. */
import type {FleetHeartbeat, FleetView} from 'stallpaddle-fleet';

import type {NodeSettings} from './NodeSettings';
import type {NodeOptions, RunningNode} from './NodeTypes';

import {rateLimitOf} from './NodeAdmission';
import {NodeControl} from './NodeControl';
import {NodeCustomers} from './NodeCustomers';
import {NodeEntry} from './NodeEntry';
import {NodeFleet} from './NodeFleet';
import {startMetricsServer} from './NodeHttp';
import {NodeLimits} from './NodeLimits';
import {NodeStreams} from './NodeStreams';

/** Serves callers, engines and the operator, and runs a replica of the control group if the VM has a disk. */
export class NodeFront implements RunningNode {
  private readonly control: NodeControl;
  private readonly entry: NodeEntry;
  private readonly fleet: NodeFleet;
  private readonly streams: NodeStreams;

  private constructor(private readonly options: NodeOptions) {
    const {clock, settings} = options;
    const mayLead = settings.dataFolder !== '';
    this.fleet = new NodeFleet({
      answer: mayLead ? (request) => this.control.answerLocally(request) : null,
      asksLeader: () => mayLead,
      clock,
      heartbeats: () => this.heartbeats(),
      note: (message, fields) => this.control.note(message, fields),
      onUnanswered: () => this.control.onUnanswered(),
      onView: (view, before) => this.onView(view, before),
      settings,
    });
    const {control, watch} = this.fleet;
    const customers = new NodeCustomers(clock, watch);
    const limits = new NodeLimits({
      clock,
      entries: () => watch.view.news.entries,
      host: settings.host,
      isPausing: () => options.current.isOn('fairShares', watch.view),
      isWeighted: () => options.current.isOn('vmWeights', watch.view),
      limitOf: (name) => {
        const customer = customers.find(name);
        return customer === undefined ? undefined : rateLimitOf(customer);
      },
      note: (message, fields) => this.control.note(message, fields),
      // Replicas of the control group are on entry VMs, so there are at least as many of these.
      recordedEntries: () => Math.max(watch.view.recordedEntries, watch.controls.length),
      tryAt: (host, request, tryMs) => control.tryAt(host, request, tryMs),
      untilConfirmed: (maxMs) => watch.untilConfirmed(maxMs),
      viewAgeMs: () => watch.ageMs,
    });
    this.streams = new NodeStreams({
      clock,
      host: settings.host,
      note: (message, fields) => this.entry.note(message, fields),
      tryAt: (host, request, tryMs) => control.tryAt(host, request, tryMs),
      watch,
    });
    this.control = new NodeControl(options, this.fleet, limits, this.streams);
    this.entry = new NodeEntry(options, this.fleet, customers, limits, this.streams);
  }

  /**
   * Starts the process.
   *
   * @param options its dependencies
   */
  static async start(options: NodeOptions): Promise<NodeFront> {
    const node = new NodeFront(options);
    await node.open();
    return node;
  }

  /**
   * Applies changed settings.
   *
   * @param settings the new settings, of which only the seeds, the size and the switches of features are applied
   */
  reload(settings: NodeSettings): void {
    this.options.current.apply(settings);
    this.fleet.reload(settings);
  }

  /** Gives up leadership, drains the requests of callers, then closes the replica. */
  async stop(): Promise<void> {
    this.control.stepDown();
    await this.entry.stop();
    await this.control.stop();
    this.fleet.close();
  }

  private heartbeats(): readonly FleetHeartbeat[] {
    return [...this.entry.heartbeats(), ...this.control.heartbeats()];
  }

  private onView(view: FleetView, before: FleetView): void {
    this.streams.onView(view, before);
    this.entry.onView(view, before);
    this.control.onView(view, before);
  }

  private async open(): Promise<void> {
    const {metrics, watch} = this.fleet;
    await startMetricsServer(this.options.settings.metrics, metrics);
    // Callers are accepted while the replica is still reading its disk.
    await Promise.all([this.entry.open(), this.control.open()]);
    void watch.run();
  }
}
