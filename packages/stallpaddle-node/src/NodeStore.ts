import type {LogFields} from 'stallpaddle';

import path from 'node:path';
import {delay} from 'stallpaddle';
import {JobsDispatcher, jobsMachine, type JobsRequest, type JobsState} from 'stallpaddle-jobs';
import {loadIdentity, NotLeaderError, ReplicaStorage} from 'stallpaddle-replication';
import {type RpcServer, startRpcServer} from 'stallpaddle-rpc';
import {openDisk} from 'stallpaddle-storage';

/**
 * The process that keeps batch jobs, and runs their items while it leads their group.
 */
import type {NodeSettings} from './NodeSettings';
import type {NodeOptions, RunningNode} from './NodeTypes';

import {hostsToAsk, NodeCaller} from './NodeCaller';
import {
  CONTROL_GROUP,
  ENTRY_SILENT_MS,
  HAND_OVER_MS,
  JOBS_GROUP,
  JOBS_LOG_BYTES,
  SECOND_MS,
} from './NodeConstants';
import {type Candidate, NodeGroup} from './NodeGroup';
import {startMetricsServer} from './NodeHttp';
import {NodeJobsDesk} from './NodeJobsDesk';
import {NodeLog} from './NodeLog';
import {NodeMetrics} from './NodeMetrics';
import {NodePeers} from './NodePeers';
import {addNodeService} from './NodeService';
import {lostDisksOf} from './NodeSettings';
import {NodeWatch} from './NodeWatch';

/** Pause before a process that may be a founder looks again whether it is, in milliseconds. */
const FOUND_AGAIN_MS = 20;

/** See the module's comment. */
export class NodeStore implements RunningNode {
  private readonly caller: NodeCaller;
  private desk: NodeJobsDesk | undefined;
  private dispatcher: JobsDispatcher | undefined;
  private group: NodeGroup<JobsState> | undefined;
  private readonly log: NodeLog;
  private readonly metrics = new NodeMetrics();
  private readonly peers: NodePeers;
  private rpc!: RpcServer;
  private seeds: readonly string[];
  private self!: string;
  private stopped = false;
  private readonly watch: NodeWatch;

  private constructor(private readonly options: NodeOptions) {
    const {clock, logger, settings} = options;
    this.log = new NodeLog(logger, clock, this.metrics);
    this.peers = new NodePeers(settings.peerPort);
    this.seeds = settings.seeds;
    this.caller = new NodeCaller({
      clock,
      group: CONTROL_GROUP,
      hosts: () => hostsToAsk(this.seeds, this.watch.view.news.controls),
      peers: this.peers,
    });
    this.watch = new NodeWatch({
      caller: this.caller,
      clock,
      hello: () => ({
        kind: 'store',
        leads: this.report(),
        name: settings.name,
        replica: this.self,
        zone: settings.zone,
      }),
      onView: (view, before) => {
        if (view.news !== before.news || view.config !== before.config) {
          this.dispatcher?.poke();
        }
      },
    });
  }

  /**
   * Starts the process.
   *
   * @param options what it is made of
   */
  static async start(options: NodeOptions): Promise<NodeStore> {
    const node = new NodeStore(options);
    await node.open();
    return node;
  }

  /**
   * Takes in settings that have changed.
   *
   * @param settings the settings as they are now; only the seeds are followed
   */
  reload(settings: NodeSettings): void {
    this.seeds = settings.seeds;
  }

  /** Hands leadership over and stops. */
  async stop(): Promise<void> {
    await this.dispatcher?.saveProgress();
    this.stopped = true;
    this.group?.driver.transferLeadership();
    await delay(HAND_OVER_MS);
    this.dispatcher?.stop();
    this.watch.stop();
    await this.group?.close();
    await this.rpc.stop();
    this.peers.close();
  }

  private async open(): Promise<void> {
    const {settings} = this.options;
    const {dataFolder, host, peerPort} = settings;
    if (dataFolder === '') {
      throw new Error('a store process needs a data folder');
    }
    this.self = await loadIdentity(await openDisk(dataFolder), host);
    this.rpc = await startRpcServer(host, peerPort, this.peers.key, (router) =>
      addNodeService(router, {
        answer: (value) => this.answer(value as JobsRequest),
        group: JOBS_GROUP,
        replica: () => this.group?.driver,
      }),
    );
    void this.watch.run();
    void this.openGroup(dataFolder);
    const {metrics} = this;
    metrics.exposeGauge('stallpaddle_items_running', 'Batch items under way.', () => {
      return this.dispatcher?.counts().running ?? 0;
    });
    metrics.exposeGauge('stallpaddle_items_waiting', 'Batch items that wait.', () => {
      return this.dispatcher?.counts().waiting ?? 0;
    });
    metrics.exposeGauge('stallpaddle_view_age_seconds', 'Age of what is known.', () => {
      return this.watch.ageMs / SECOND_MS;
    });
    await startMetricsServer(settings.metrics, metrics);
  }

  private async openGroup(dataFolder: string): Promise<void> {
    const {clock, logger, onFailure, settings, wire} = this.options;
    const disk = await openDisk(path.join(dataFolder, JOBS_GROUP));
    // A disk that holds a replica opens at once; an empty one may be a founder's.
    const founders = (await ReplicaStorage.isUsed(disk)) ? null : await this.findFounders();
    this.group = await NodeGroup.open({
      candidates: () => this.candidates(),
      clock,
      disk,
      founders,
      group: JOBS_GROUP,
      logger,
      lostDisks: lostDisksOf(settings),
      machine: jobsMachine,
      onFailure,
      peers: this.peers,
      self: this.self,
      snapshotLogBytes: JOBS_LOG_BYTES,
    });
    this.group.exposeMetrics(this.metrics);
    const {group} = this;
    const desk = new NodeJobsDesk(clock, group);
    this.desk = desk;
    this.dispatcher = new JobsDispatcher({
      clock,
      decide: (decision, id, fields: LogFields) => this.log.decide(decision, id, fields),
      leads: () => group.driver.leads && !this.stopped,
      propose: (change) => desk.propose(change),
      readBlob: (ref) => group.driver.readBlob(ref),
      state: () => group.driver.localState,
      view: () => this.watch.view,
      wire: wire.relay,
    });
    group.registerListener(() => {
      this.dispatcher?.poke();
      desk.wakeReads();
    });
  }

  /** Waits until the group was founded, with this disk or without it. */
  private async findFounders(): Promise<readonly string[] | null> {
    while (!this.stopped) {
      const {jobsFounders} = this.watch.view.news;
      if (jobsFounders !== null) {
        return jobsFounders;
      }
      await delay(FOUND_AGAIN_MS);
    }
    return null;
  }

  private candidates(): readonly Candidate[] {
    return this.watch.view.news.stores.map(({heard, replica, retiring}) => ({
      id: replica,
      retiring,
      silentMs: heard ? 0 : ENTRY_SILENT_MS * 2,
    }));
  }

  private report() {
    const {group} = this;
    if (group === undefined || !group.driver.leads) {
      return null;
    }
    const {log, term} = group.driver.status;
    const {learners, voters} = log.members;
    return {learners, settled: group.settled, term, voters};
  }

  private async answer(request: JobsRequest): Promise<unknown> {
    const {desk, dispatcher} = this;
    if (desk === undefined || dispatcher === undefined) {
      throw new NotLeaderError(null);
    }
    return desk.answer(request, dispatcher);
  }
}
