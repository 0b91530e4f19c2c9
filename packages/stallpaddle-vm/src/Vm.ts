/** The VM process. */
import type {EngineId, GroupId, Logger, LoggerFactory, RefusalError, VmId} from 'stallpaddle';
import type {ControlPort} from 'stallpaddle-control';
import type {LedgerPorts} from 'stallpaddle-ledger';
import type {VmMetadata} from 'stallpaddle-membership';
import type {RoutingEvent} from 'stallpaddle-routing';
import type {RpcServer} from 'stallpaddle-rpc';
import type {VmSettings} from 'stallpaddle-settings';

import {delay, errorMessage, refuse, registerLoop, systemClock} from 'stallpaddle';
import {BatchDispatcher} from 'stallpaddle-batch';
import {currentEngines} from 'stallpaddle-control';
import {EngineLanes} from 'stallpaddle-engine';
import {GatewayMetrics, GatewayServer} from 'stallpaddle-gateway';
import {shardOfCustomer} from 'stallpaddle-ledger';
import {activeVms, liveVms} from 'stallpaddle-membership';
import {loadIdentity} from 'stallpaddle-replication';
import {onlineStreams} from 'stallpaddle-routing';
import {startRpcServer} from 'stallpaddle-rpc';
import {openDisk} from 'stallpaddle-storage';

import {
  applyConfigUpdate,
  type ConfigView,
  isFresh,
  noteFresh,
  replaceConfig,
  UNKNOWN_CONFIG,
} from './VmConfigView';
import {
  CONTROL_GROUP,
  DUTIES_INTERVAL_MS,
  ORDERS_INTERVAL_MS,
  PLATFORM_POLL_MS,
  REPLACE_INTERVAL_MS,
} from './VmConstants';
import {waitForRequests} from './VmDrain';
import {VmEngines} from './VmEngines';
import {firstChanges} from './VmFirstConfig';
import {controlPort, ledgerPort, VmGroupClient} from './VmGroupClient';
import {ledgerGroup, VmGroups} from './VmGroups';
import {type HeartbeatResponse, VmHeartbeats} from './VmHeartbeats';
import {VmLeaderDuties} from './VmLeaderDuties';
import {VmMembership} from './VmMembership';
import {VmOnlineReporter} from './VmOnlineReporter';
import {VmOrders} from './VmOrders';
import {VmOwners} from './VmOwners';
import {VmPeers} from './VmPeers';
import {readPlatformList} from './VmPlatform';
import {VmReplacements} from './VmReplacements';
import {addPeerService} from './VmService';
import {describeStatus} from './VmStatus';

/** Time until callers know that this VM leaves, in milliseconds: they cache addresses for two seconds. */
const LEAVE_PROPAGATION_MS = 2_500;

/** Longest wait after a start for a first load report of engines, in milliseconds. */
const WARM_UP_MS = 3_000;

/** Components that are created before the VM. */
interface VmParts {
  readonly groups: VmGroups | undefined;
  readonly loggers: LoggerFactory;
  readonly membership: VmMembership;
  readonly peers: VmPeers;
  readonly settings: VmSettings;
}

function initialMetadata(settings: VmSettings): VmMetadata {
  const {callers, disk, peers, vm, zone} = settings;
  const hasDisk = disk !== undefined;
  return {callers, epoch: Date.now(), hasDisk, leaving: false, peers, revision: 0, vm, zone};
}

/** Assembles the components of one VM, and starts and stops them in order. */
export class Vm {
  private readonly batch: BatchDispatcher;
  private readonly heartbeats: VmHeartbeats;
  private readonly clock = systemClock;
  private configView: ConfigView = UNKNOWN_CONFIG;
  private readonly control: ControlPort;
  private readonly engines: VmEngines;
  private readonly gateway: GatewayServer;
  private readonly lanes = new EngineLanes();
  private readonly ledger: LedgerPorts;
  private readonly logger: Logger;
  private readonly loops: (() => Promise<void>)[] = [];
  private readonly owners: VmOwners;
  private rpc: RpcServer | undefined;
  private readonly startedAt = systemClock.monotonicMs();
  private stopping = false;
  private readonly onlineReporter: VmOnlineReporter;
  private waitingModels: readonly string[] = [];

  private constructor(private readonly parts: VmParts) {
    const {groups, loggers, membership, peers, settings} = parts;
    this.logger = loggers('vm');
    this.owners = new VmOwners({
      activeVms: () => activeVms(membership.state, this.clock.monotonicMs()).map(({vm}) => vm),
      clock: this.clock,
      config: () => this.configView.config,
      vm: settings.vm,
    });
    this.engines = new VmEngines(this.clock, () => this.owners.own);
    this.control = controlPort(this.groupClient(CONTROL_GROUP));
    const shards = Array.from({length: settings.ledgerShards}, (_, shard) =>
      ledgerPort(this.groupClient(ledgerGroup(shard))),
    );
    this.ledger = {
      all: shards,
      forCustomer: (customer) => shards[shardOfCustomer(customer, shards.length)]!,
    };
    this.heartbeats = new VmHeartbeats({
      clock: this.clock,
      config: () => this.configView,
      groups,
      loads: () => this.engines.currentLoads(),
      membership: () => membership.state,
      onConfig: (response, basis, freshBy) => this.applyHeartbeat(response, basis, freshBy),
      onLoads: (loads) => this.engines.applyLoads(loads),
      onMembership: (event) => membership.step(event),
      peers,
      self: () => this.metadata(),
      settings,
    });
    this.batch = this.createBatch();
    this.onlineReporter = new VmOnlineReporter({
      clock: this.clock,
      onRouting: (event) => this.engines.step(event),
      ownerOf: (engine) => this.owners.of(engine),
      peers,
      routing: () => this.engines.routing,
      vm: settings.vm,
    });
    this.gateway = this.createGateway();
  }

  /**
   * Starts a VM. It refuses requests until it has a fresh configuration.
   *
   * @param settings validated settings
   * @param loggers creates a logger per component
   * @param onFailure called if the process must exit because a replica can no longer trust its disk
   */
  static async start(
    settings: VmSettings,
    loggers: LoggerFactory,
    onFailure: (err: unknown) => void,
  ): Promise<Vm> {
    const clock = systemClock;
    const membership = new VmMembership(clock, initialMetadata(settings));
    const peers = new VmPeers(settings, () => membership.state);
    let groups: VmGroups | undefined;
    if (settings.disk !== undefined) {
      const self = await loadIdentity(await openDisk(settings.disk.folder), settings.vm);
      const logger = loggers('replication');
      const options = {clock, logger, onFailure, peers, self, settings};
      groups = new VmGroups(options, settings.disk.folder);
    }
    const vm = new Vm({groups, loggers, membership, peers, settings});
    await vm.open();
    return vm;
  }

  /** Stops as planned: open requests may finish within the drain time. */
  async stop(): Promise<void> {
    const {groups, membership, settings} = this.parts;
    this.stopping = true;
    this.logger.info('The VM is stopping.', {waitsMostMs: settings.limits.drainMs});
    membership.step({facts: this.metadata(), kind: 'selfChanged'});
    const startedAt = this.clock.monotonicMs();
    const batchStopped = this.batch.stop().catch((err: unknown) => {
      this.logger.warn('Failed to return batch leases.', {reason: errorMessage(err)});
    });
    groups?.transferLeadership();
    const drained = waitForRequests({
      clock: this.clock,
      closeIdle: () => this.gateway.closeIdle(),
      logger: this.logger,
      maxMs: settings.limits.drainMs,
      openRequests: () => this.gateway.openRequests,
    });
    await Promise.all([drained, batchStopped, delay(LEAVE_PROPAGATION_MS)]);
    await this.close();
    this.logger.info('The VM has stopped.', {
      tookMs: Math.round(this.clock.monotonicMs() - startedAt),
    });
  }

  private async open(): Promise<void> {
    const {groups, membership, settings} = this.parts;
    this.rpc = await startRpcServer(
      settings.peers.host,
      settings.peers.port,
      settings.vmKey,
      (router) =>
        addPeerService(router, groups, this.heartbeats, (engine, vm, online) =>
          this.applyOnlineReport(engine, vm, online),
        ),
    );
    await this.gateway.start(settings.callers.host, settings.callers.port);
    const opened = groups?.start().then(() => this.watchControl(groups));
    this.heartbeats.start();
    this.engines.start();
    await opened;
    if (groups !== undefined) {
      this.startDuties(groups);
    }
    this.batch.start();
    this.onlineReporter.start();
    const {platformListUrl} = settings;
    if (platformListUrl !== undefined) {
      this.loops.push(registerLoop(PLATFORM_POLL_MS, () => this.readPlatform(platformListUrl)));
    }
    membership.step({facts: this.metadata(), kind: 'selfChanged'});
    this.logger.info('The VM has started.', {vm: settings.vm, zone: settings.zone});
  }

  private async close(): Promise<void> {
    await Promise.all(this.loops.map((stopLoop) => stopLoop()));
    await this.gateway.stop();
    await this.heartbeats.stop();
    this.engines.stop();
    this.onlineReporter.stop();
    await this.rpc?.stop();
    await this.parts.groups?.close();
    this.parts.peers.close();
  }

  private groupClient(group: GroupId): VmGroupClient {
    const {groups, membership, peers, settings} = this.parts;
    return new VmGroupClient(
      {
        clock: this.clock,
        groups,
        peers,
        replicaVms: () => {
          const live = liveVms(membership.state, this.clock.monotonicMs());
          const disks = live.filter(({hasDisk}) => hasDisk).map(({vm}) => vm);
          return [...new Set([...settings.controlReplicas, ...disks])];
        },
        vm: settings.vm,
      },
      group,
    );
  }

  private createBatch(): BatchDispatcher {
    return new BatchDispatcher({
      adapterOf: (engine) => this.engines.adapterOf(engine),
      clock: this.clock,
      config: () => this.configView.config,
      lanes: this.lanes,
      ledger: this.ledger,
      logger: this.parts.loggers('batch'),
      mayStart: () => this.refusal() === undefined,
      onRouting: (event) => this.engines.step(event),
      ownedEngines: () => this.owners.own,
      routing: () => this.engines.routing,
      vm: this.parts.settings.vm,
      waitingModels: () => this.parts.groups?.waitingModels() ?? this.waitingModels,
    });
  }

  private createGateway(): GatewayServer {
    const {loggers, membership, settings} = this.parts;
    const operators = Object.entries(settings.operators);
    return new GatewayServer({
      adapterOf: (engine) => this.engines.adapterOf(engine),
      clock: this.clock,
      config: () => this.configView.config,
      control: this.control,
      lanes: this.lanes,
      ledger: this.ledger,
      limits: settings.limits,
      logger: loggers('gateway'),
      membership: () => membership.state,
      metrics: new GatewayMetrics(),
      onRouting: (event) => this.onOnlineRouting(event),
      operatorKeys: new Map(operators.map(([name, {keyHash}]) => [name, keyHash])),
      plainAdapterOf: (server) => this.engines.plainAdapterOf(server),
      random: Math.random,
      refusal: () => this.refusal(),
      routing: () => this.engines.routing,
      status: () => this.status(),
      vm: settings.vm,
      zone: settings.zone,
    });
  }

  /** Starts the periodic work for the groups that this VM leads. */
  private startDuties(groups: VmGroups): void {
    const {loggers, settings} = this.parts;
    const {clock, control} = this;
    const logger = loggers('control');
    const {ledgerShards} = settings;
    const duties = new VmLeaderDuties({
      clock,
      firstChanges: firstChanges(settings),
      groups,
      ledgerShards,
      logger,
    });
    const orders = new VmOrders({
      adapterOf: (engine) => this.engines.adapterOf(engine),
      clock,
      control,
      groups,
      logger,
    });
    const replacements = new VmReplacements({
      clock,
      control,
      groups,
      logger,
      replacements: () => [...this.configView.config.replacements],
    });
    this.loops.push(
      registerLoop(DUTIES_INTERVAL_MS, () => duties.check()),
      registerLoop(ORDERS_INTERVAL_MS, () => orders.check()),
      registerLoop(REPLACE_INTERVAL_MS, () => replacements.check()),
    );
  }

  private status(): Promise<unknown> {
    return describeStatus({
      batchItemsReported: this.batch.reportedItems,
      clock: this.clock,
      config: this.currentConfig(),
      groups: this.parts.groups,
      ledger: this.ledger,
      membership: this.parts.membership.state,
      ownedEngines: this.owners.own,
      routing: this.engines.routing,
      vm: this.parts.settings.vm,
    });
  }

  private metadata(): VmMetadata {
    const {membership, settings} = this.parts;
    const known = membership.state.entries.get(settings.vm)!.facts;
    return {...known, leaving: this.isLeaving(), revision: this.configView.revision};
  }

  private isLeaving(): boolean {
    const {membership, settings} = this.parts;
    return (
      this.stopping ||
      this.configView.config.vms.get(settings.vm)?.draining === true ||
      membership.state.platformLeaving.has(settings.vm)
    );
  }

  /** The configuration and its freshness, which the control group's leader can confirm itself. */
  private currentConfig(): ConfigView {
    const replica = this.parts.groups?.controlReplica;
    if (replica?.leads === true) {
      const now = this.clock.monotonicMs();
      this.configView = noteFresh(this.configView, replica.localState.revision, now);
    }
    return this.configView;
  }

  private refusal(): RefusalError | undefined {
    if (this.isLeaving()) {
      return refuse('leaving', `VM ${this.parts.settings.vm} leaves the fleet; call another VM`, {
        retryAfterMs: 0,
      });
    }
    const view = this.currentConfig();
    if (view.revision === 0 || !isFresh(view, this.clock.monotonicMs())) {
      return refuse('stale', 'the configuration here is not known to be the latest', {
        retryAfterMs: 1000,
      });
    }
    if (this.isWarmingUp()) {
      return refuse('stale', 'this VM has no load report of the engines yet', {
        retryAfterMs: WARM_UP_MS / 10,
      });
    }
    return undefined;
  }

  /** Whether the VM has just started and has no load report of any engine of some service. */
  private isWarmingUp(): boolean {
    if (this.clock.monotonicMs() - this.startedAt > WARM_UP_MS) {
      return false;
    }
    const {config} = this.configView;
    const {engines} = this.engines.routing;
    const hasReport = (engine: string): boolean => Number.isFinite(engines.get(engine)?.loadAt);
    return [...config.services.keys()]
      .map((service) => currentEngines(config, service))
      .some((serving) => serving.length > 0 && !serving.some(hasReport));
  }

  /** Applies an event of online requests; batch work must adapt to changed online streams at once. */
  private onOnlineRouting(event: RoutingEvent): void {
    this.engines.step(event);
    if (event.kind === 'started' || event.kind === 'ended') {
      this.onlineReporter.reportChange(event.engine);
      this.batch.fill();
    }
  }

  private applyOnlineReport(engine: EngineId, vm: VmId, online: number): number {
    this.engines.step({engine, kind: 'told', online, vm});
    this.batch.fill();
    const view = this.engines.routing.engines.get(engine);
    return view === undefined ? 0 : onlineStreams(view);
  }

  private setConfig(next: ConfigView): void {
    const changed = next.config !== this.configView.config;
    this.configView = next;
    if (changed) {
      this.engines.configure(next.config);
      this.parts.membership.step({facts: this.metadata(), kind: 'selfChanged'});
      this.logger.info('A new configuration is in force.', {revision: next.revision});
      this.heartbeats.wake();
    }
  }

  private applyHeartbeat(response: HeartbeatResponse, basis: number, freshBy: number): void {
    const {config, freshAgeMs, revision, waitingModels} = response;
    this.waitingModels = waitingModels;
    if (config !== null) {
      this.setConfig(applyConfigUpdate(this.configView, config, basis));
    }
    if (freshAgeMs !== null) {
      this.configView = noteFresh(this.configView, revision, freshBy - freshAgeMs);
    }
  }

  private watchControl(groups: VmGroups): void {
    const applyState = (): void => {
      const state = groups.controlReplica!.localState;
      this.setConfig(replaceConfig(this.configView, state.config, state.revision));
    };
    groups.controlReplica!.registerListener(applyState);
    applyState();
    this.wakeOnWaitingItems(groups);
  }

  /** Sends held heartbeat responses as soon as more models have waiting batch items. */
  private wakeOnWaitingItems(groups: VmGroups): void {
    for (let shard = 0; shard < this.parts.settings.ledgerShards; shard++) {
      let waitingModels = 0;
      groups.ledgerReplicaOf(ledgerGroup(shard))?.registerListener(({runnable}) => {
        if (runnable.size > waitingModels) {
          this.heartbeats.wake();
        }
        waitingModels = runnable.size;
      });
    }
  }

  private async readPlatform(url: string): Promise<void> {
    try {
      const leaving = await readPlatformList(url);
      this.parts.membership.step({kind: 'platformListed', leaving});
    } catch (err) {
      this.logger.warn("Failed to read the platform's list of VMs.", {reason: errorMessage(err)});
    }
  }
}
