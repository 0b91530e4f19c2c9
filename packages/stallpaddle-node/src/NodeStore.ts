/**
 * The store process.
 */

import type {ConnectRouter} from '@connectrpc/connect';
import type {Logger, ReplicaId} from 'stallpaddle';
import type {Feature, FleetHeartbeat, JobsGroupReport} from 'stallpaddle-fleet';

import path from 'node:path';
import {delay, errorMessage} from 'stallpaddle';
import {
  JobsDispatcher,
  jobsMachine,
  type JobsRequest,
  type JobsSpeeds,
  type JobsState,
} from 'stallpaddle-jobs';
import {loadIdentity, NotLeaderError, ReplicaStorage} from 'stallpaddle-replication';
import {type RpcServer, startRpcServer} from 'stallpaddle-rpc';
import {openDisk} from 'stallpaddle-storage';

import type {NodeSettings} from './NodeSettings';
import type {NodeOptions, RunningNode} from './NodeTypes';
import type {NodeWatch} from './NodeWatch';

import {
  CANDIDATE_TIMEOUT_MS,
  JOBS_GROUP,
  JOBS_LOG_BYTES,
  LEADER_HANDOVER_MS,
  SECOND_MS,
  VOTER_TIMEOUT_MS,
} from './NodeConstants';
import {NodeFleet} from './NodeFleet';
import {type Candidate, NodeGroup} from './NodeGroup';
import {startMetricsServer} from './NodeHttp';
import {NodeJobsHandler} from './NodeJobsHandler';
import {NodeLog} from './NodeLog';
import {countPreemption, exposePackingMetrics} from './NodePackingMetrics';
import {addNodeService} from './NodeService';
import {toleratedDiskLosses} from './NodeSettings';
import {exposeShareMetrics} from './NodeShareMetrics';
import {makeSuspects} from './NodeSuspects';
import {NodeWaiters} from './NodeWaiters';

/** Time after which a process that waits for the founders checks whether it is stopping, in milliseconds. */
const FOUNDING_CHECK_MS = 1_000;
/**
 * Assumed silence of a store process without recent heartbeats, in milliseconds. The fleet status gives no time; this is
 * too long for a candidate and too short for a lost voter.
 */
const NO_HEARTBEAT_SILENT_MS = (CANDIDATE_TIMEOUT_MS + VOTER_TIMEOUT_MS) / 2;

/** Longest wait at a planned stop until the progress of running items is committed, in milliseconds. */
const SAVE_AT_STOP_MS = 1_000;

/** Keeps a replica of the group that keeps batch jobs, and runs their items while it leads the group. */
export class NodeStore implements RunningNode {
  private handler: NodeJobsHandler | undefined;
  private dispatcher: JobsDispatcher | undefined;
  private readonly fleet: NodeFleet;
  private group: NodeGroup<JobsState> | undefined;
  private readonly log: NodeLog;
  private readonly logger: Logger;
  private readonly statusWaiters = new NodeWaiters();
  private rpc!: RpcServer;
  private self!: ReplicaId;
  private stopped = false;

  private constructor(private readonly options: NodeOptions) {
    const {clock, loggers, settings} = options;
    this.logger = loggers('store');
    this.fleet = new NodeFleet({
      answer: null,
      // The process that runs items must learn quickly which engines leave.
      asksLeader: () => (this.group?.driver.leadership.kind ?? 'follows') !== 'follows',
      clock,
      heartbeats: () => [this.heartbeat()],
      note: (message, fields) => this.log.note(message, fields),
      onUnanswered: () => {},
      onView: (view, before) => {
        if (view.news !== before.news || view.config !== before.config) {
          this.statusWaiters.wakeAll();
          this.dispatcher?.schedulePass();
        }
      },
      settings,
    });
    this.log = new NodeLog(this.logger, clock, this.fleet.metrics);
  }

  /**
   * Starts the process.
   *
   * @param options the process's clock, settings and other dependencies
   */
  static async start(options: NodeOptions): Promise<NodeStore> {
    const node = new NodeStore(options);
    await node.open();
    return node;
  }

  /**
   * Applies changed settings.
   *
   * @param settings the new settings; only the seeds and the switches of features are applied
   */
  reload(settings: NodeSettings): void {
    this.options.current.apply(settings);
    this.fleet.reload(settings);
  }

  /** Transfers leadership and stops. */
  async stop(): Promise<void> {
    // Without a majority nothing can be committed; the next leader then repeats a little more of those runs.
    await Promise.race([this.dispatcher?.saveProgress(), delay(SAVE_AT_STOP_MS)]);
    this.stopped = true;
    this.group?.driver.transferLeadership();
    await delay(LEADER_HANDOVER_MS);
    this.dispatcher?.stop();
    await this.group?.close();
    await this.rpc.stop();
    this.fleet.close();
  }

  private get watch(): NodeWatch {
    return this.fleet.watch;
  }

  private isOn(feature: Feature): boolean {
    return this.options.current.isOn(feature, this.watch.view);
  }

  private heartbeat(): FleetHeartbeat {
    const {name, zone} = this.options.settings;
    return {kind: 'store', leads: this.groupReport(), name, replica: this.self, zone};
  }

  private async open(): Promise<void> {
    const {settings} = this.options;
    const {dataFolder, host, peerListenPort, peerPort} = settings;
    if (dataFolder === '') {
      throw new Error('a store process needs a data folder');
    }
    this.self = await loadIdentity(await openDisk(dataFolder), host);
    const {peers} = this.fleet;
    const addService = (router: ConnectRouter) =>
      addNodeService(router, {
        answer: (value) => this.answer(value as JobsRequest),
        group: JOBS_GROUP,
        onFailure: (err) =>
          this.log.note('A call of another process failed.', {error: errorMessage(err)}),
        replica: () => this.group?.driver,
      });
    this.rpc = await startRpcServer(
      host,
      peerListenPort ?? peerPort,
      peers.key,
      addService,
      (from) => peers.noteRefused(from),
    );
    void this.watch.run();
    void this.openGroup(dataFolder);
    this.exposeMetrics();
    await startMetricsServer(settings.metrics, this.fleet.metrics);
  }

  private exposeMetrics(): void {
    const {metrics} = this.fleet;
    metrics.exposeGauge('stallpaddle_items_running', 'Batch items under way.', () => {
      return this.dispatcher?.counts().running ?? 0;
    });
    metrics.exposeGauge('stallpaddle_items_waiting', 'Batch items that wait.', () => {
      return this.dispatcher?.counts().waiting ?? 0;
    });
    const delayHelp = 'Mean delay of the dispatcher’s passes.';
    metrics.exposeGauge('stallpaddle_dispatcher_delay_seconds', delayHelp, () => {
      return (this.dispatcher?.delayMs ?? 0) / SECOND_MS;
    });
    const spacingHelp = 'Time that entry VMs leave between reports of online requests.';
    metrics.exposeGauge('stallpaddle_report_spacing_seconds', spacingHelp, () => {
      return (this.dispatcher?.reportSpacingMs ?? 0) / SECOND_MS;
    });
    metrics.exposeGauge('stallpaddle_group_clock_seconds', 'Time of the group’s own clock.', () => {
      return (this.group?.driver.localState.clockMs ?? 0) / SECOND_MS;
    });
    const speeds = (): JobsSpeeds | undefined =>
      this.group?.driver.leads === true ? this.dispatcher?.fleetLoad.speeds : undefined;
    const help = 'Speed of each engine against the median of its service, at the leader.';
    metrics.exposeLabelledGauge('stallpaddle_engine_speed', help, 'engine', () => {
      return speeds()?.all() ?? [];
    });
    metrics.exposeGauge('stallpaddle_engines_set_apart', 'Engines that are too slow.', () => {
      return speeds()?.setApart ?? 0;
    });
    exposePackingMetrics(metrics, () => this.dispatcher?.packingStatus());
    exposeShareMetrics(metrics, () => this.dispatcher?.fleetLoad.shares);
    this.watch.exposeMetrics(metrics);
  }

  private async openGroup(dataFolder: string): Promise<void> {
    const {clock, onFailure, settings} = this.options;
    const {logger} = this;
    const disk = await openDisk(path.join(dataFolder, JOBS_GROUP));
    // A disk that holds a replica opens at once; with an empty one this process may be a founder.
    const founders = (await ReplicaStorage.isUsed(disk)) ? null : await this.findFounders();
    this.group = await NodeGroup.open({
      candidates: () => this.candidates(),
      clock,
      disk,
      founders,
      group: JOBS_GROUP,
      logger,
      lostDisks: toleratedDiskLosses(settings),
      machine: jobsMachine,
      onFailure,
      peers: this.fleet.peers,
      self: this.self,
      snapshotLogBytes: JOBS_LOG_BYTES,
    });
    this.group.exposeMetrics(this.fleet.metrics);
    const {group} = this;
    const handler = new NodeJobsHandler(clock, group, (decision, id, fields) =>
      this.log.decide(decision, id, fields),
    );
    this.handler = handler;
    this.dispatcher = this.makeDispatcher(group, handler);
    this.dispatcher.fleetLoad.shares.connect({
      clock,
      isOn: () => this.isOn('fairShares'),
      note: (message, fields) => this.log.note(message, fields),
      view: () => this.watch.view,
    });
    group.registerListener(() => {
      this.dispatcher?.schedulePass();
      handler.wakeReads();
    });
    // This replica may lead already.
    this.dispatcher.schedulePass();
  }

  private makeDispatcher(group: NodeGroup<JobsState>, handler: NodeJobsHandler): JobsDispatcher {
    const {clock, wire} = this.options;
    const isOn = (feature: Feature): boolean => this.isOn(feature);
    const dispatcher: JobsDispatcher = new JobsDispatcher({
      clock,
      decide: (decision, id, fields) => {
        countPreemption(this.fleet.metrics, decision, fields);
        this.log.decide(decision, id, fields);
      },
      isOn,
      leadership: () => (this.stopped ? {kind: 'follows'} : group.driver.leadership),
      onEventGap: ({id, startedAtMs}, ms) =>
        dispatcher.fleetLoad.speeds.observeItem(id, startedAtMs, ms),
      propose: (change) => handler.propose(change),
      readBlob: (ref) => group.driver.readBlob(ref),
      speedOf: (id) => dispatcher.fleetLoad.speeds.of(id),
      state: () => group.driver.localState,
      suspects: makeSuspects({
        clock,
        decide: (id, fields) => this.log.decide('suspected', id, fields),
        fleet: this.fleet,
        wire: wire.relay,
      }),
      view: () => this.watch.view,
      wire: wire.relay,
    });
    dispatcher.fleetLoad.speeds.start({
      clock,
      decide: (id, fields) => this.log.decide('engineSpeedChanged', id, fields),
      isOn: () => isOn('engineSpeeds'),
      view: () => this.watch.view,
    });
    return dispatcher;
  }

  /** Waits until the group was founded, with this disk or without it. */
  private async findFounders(): Promise<null | readonly ReplicaId[]> {
    while (!this.stopped) {
      const {jobsFounders} = this.watch.view.news;
      if (jobsFounders !== null) {
        return jobsFounders;
      }
      await this.statusWaiters.wait(FOUNDING_CHECK_MS);
    }
    return null;
  }

  /**
   * Store processes that may belong to the group, by the fleet status. Their silence counts from the status's age: an old
   * status doesn't show which of them have failed, returned with another disk or are to be emptied.
   */
  private candidates(): readonly Candidate[] {
    const {ageMs, view} = this.watch;
    return view.news.stores.map(({heard, replica, retiring}) => ({
      id: replica,
      retiring,
      silentMs: heard ? ageMs : NO_HEARTBEAT_SILENT_MS,
    }));
  }

  /** The group's members, reported while this process leads the group; null otherwise. */
  private groupReport(): JobsGroupReport | null {
    const {group} = this;
    if (group === undefined || !group.driver.leads) {
      return null;
    }
    const {log, term} = group.driver.status;
    const {learners, voters} = log.members;
    const {stores} = this.watch.view.news;
    const emptying = stores.filter(({retiring}) => retiring).map(({replica}) => replica);
    return {emptying, learners, settled: group.settled, term, voters};
  }

  private async answer(request: JobsRequest): Promise<unknown> {
    const {dispatcher, handler} = this;
    if (handler === undefined || dispatcher === undefined) {
      throw new NotLeaderError(null);
    }
    return handler.answer(request, dispatcher);
  }
}
