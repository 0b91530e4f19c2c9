/**
 * Requests to the leader of the control group.
 */

import type {Clock, LogFields, MonotonicMs, ReplicaId, VmId} from 'stallpaddle';

import {encodeValue, unreachable} from 'stallpaddle';
import {
  changesEngine,
  diffStatus,
  type EngineReport,
  type FleetAnswer,
  type FleetCommand,
  type FleetConfig,
  type FleetHeartbeat,
  type FleetRequest,
  type FleetState,
  type FleetStatus,
  isEmptyDelta,
  isOutdated,
  laterHolders,
  type ReplicaReading,
  type RetireAnswer,
  type StoredConfig,
  UNPROVEN_TERM,
  type WatchAnswer,
  withoutSource,
} from 'stallpaddle-fleet';
import {NotLeaderError} from 'stallpaddle-replication';

import type {Candidate, NodeGroup} from './NodeGroup';

import {buildFleetStatus, hasMissedReports} from './NodeFleetStatus';
import {NodeLastSeen} from './NodeLastSeen';
import {votersFor} from './NodeMembershipPlanner';
import {readReplica} from './NodeReplicaReading';
import {NodeStatusPublisher} from './NodeStatusPublisher';
import {chooseFounders, isEmptied, stayingReplicas} from './NodeStorePlan';
import {NodeSuspectsHandler} from './NodeSuspectsHandler';
import {NodeWaiters} from './NodeWaiters';

/**
 * Time between checks for changes of the fleet status, in milliseconds. It also limits how often the status is published,
 * so that processes that start together don't each cause an update to all others.
 */
const REFRESH_MS = 100;

/** Dependencies of {@link NodeControlHandler}. */
export interface NodeControlHandlerOptions {
  readonly clock: Clock;
  /** This process's replica of the control group. */
  readonly group: Pick<NodeGroup<FleetState>, 'driver' | 'registerListener'>;
  /** Replicas that keep batch jobs, as a leader last reported them to this process. */
  readonly lastKnownJobsReplicas: () => readonly ReplicaId[];
  readonly log: (message: string, fields: LogFields) => void;
  readonly lostDisks: number;
  /** Number of entry VMs recorded on this VM's disk. */
  readonly recordedEntries: () => number;
  /** Time between two reports of an engine, in milliseconds. */
  readonly reportMs: number;
}

/**
 * Handles requests of all processes while this one leads the control group: tracks heartbeats, publishes the fleet status,
 * commits changes, and has the group for batch jobs founded.
 */
export class NodeControlHandler {
  private readonly publisher: NodeStatusPublisher;
  /** Version of the configuration that was published last. */
  private publishedConfigVersion: number | undefined;
  /** Whether a proposal of founders is in flight. */
  private founding = false;
  private lastSeen = new NodeLastSeen(-1, -Infinity);
  private refreshedAt: MonotonicMs = -Infinity;
  /** The group's state of which the latest published status was built. */
  private publishedState: FleetState | undefined;
  /** Requests that wait for the next publication. */
  private readonly publications = new NodeWaiters();
  private readonly suspects: NodeSuspectsHandler;
  private readonly timer: NodeJS.Timeout;
  /** The configuration without the operator's text, converted once for each stored one. */
  private publicConfigCache: {
    readonly config: FleetConfig | null;
    readonly stored: StoredConfig | null;
  } = {
    config: null,
    stored: null,
  };

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeControlHandlerOptions) {
    this.publisher = new NodeStatusPublisher(options.clock, () => ({
      ageMs: this.lacksChanges ? options.clock.monotonicMs() - this.refreshedAt : 0,
      config: this.publicConfig(options.group.driver.read().config),
    }));
    this.suspects = new NodeSuspectsHandler({
      clock: options.clock,
      group: options.group,
      log: options.log,
      propose: (command) => this.propose(command),
      publish: () => this.refresh(),
    });
    this.timer = setInterval(() => this.refresh(), REFRESH_MS);
    options.group.registerListener(() => this.refreshSoon());
  }

  /** Whether this replica leads. */
  get leads(): boolean {
    return this.options.group.driver.leads;
  }

  /** Stops the checks, and wakes waiting requests. */
  stop(): void {
    clearInterval(this.timer);
    this.publications.wakeAll();
    this.publisher.wakeAll();
  }

  /** Replicas that may become members of the control group. */
  candidates(): readonly Candidate[] {
    const now = this.options.clock.monotonicMs();
    return [...this.lastSeen.controls].map(([id, at]) => ({
      id,
      retiring: false,
      silentMs: now - at,
    }));
  }

  /**
   * Handles a request.
   *
   * @param request the request
   * @throws {NotLeaderError} without leadership or lease
   */
  async answer(request: FleetRequest): Promise<unknown> {
    switch (request.kind) {
      case 'introduce':
        // A replica knows the other members from its log.
        return null;
      case 'listSuspects':
        return this.suspects.list();
      case 'noteEngineEnd':
        return this.suspects.noteEngineEnd(request);
      case 'peek':
        return this.peek();
      case 'putConfig':
        return this.putConfig(request.config);
      case 'readConfig':
        return this.options.group.driver.read().config;
      case 'readReplica':
        return this.readReplica(request.configAfter);
      case 'releaseParts':
        return this.suspects.releaseParts(request);
      case 'releaseRequest':
        return this.suspects.release(request);
      case 'removeEngine':
        return this.propose(request);
      case 'reportEngine':
        return this.handleEngineReport(request.report);
      case 'retireState':
        return this.retireState(request.name);
      case 'retireStore':
        return this.retireStore(request.name);
      case 'tryParts':
        return this.suspects.tryParts(request);
      case 'watch':
        return this.watch(request);
      default:
        return unreachable(request);
    }
  }

  private readReplica(configAfter: number): ReplicaReading {
    const {group, recordedEntries} = this.options;
    const publicConfig = (config: StoredConfig | null): FleetConfig | null =>
      this.publicConfig(config);
    return readReplica(group.driver, recordedEntries(), configAfter, publicConfig);
  }

  /** This replica's state, which may be outdated. */
  peek(): WatchAnswer {
    const config = this.publicConfig(this.options.group.driver.localState.config);
    const update = {kind: 'whole', news: this.buildStatus()} as const;
    const term = UNPROVEN_TERM;
    return {ageMs: 0, config, fleet: 0, heldMs: 0, proven: false, term, update};
  }

  private publicConfig(config: StoredConfig | null): FleetConfig | null {
    if (this.publicConfigCache.stored !== config) {
      this.publicConfigCache = {
        config: config === null ? null : withoutSource(config),
        stored: config,
      };
    }
    return this.publicConfigCache.config;
  }

  private propose(command: FleetCommand): Promise<FleetAnswer> {
    return this.options.group.driver.propose(encodeValue(command)) as Promise<FleetAnswer>;
  }

  /**
   * Whether the control group tolerates the configured losses. It starts with fewer voters. Once state was committed that
   * relies on it, fewer voters only mean that disks were lost, and those count among the losses.
   */
  private toleratesLosses(): boolean {
    const {group, lostDisks} = this.options;
    const {localState, status} = group.driver;
    return (
      localState.config !== null ||
      localState.jobsFounders !== null ||
      status.log.members.voters.length >= votersFor(lostDisks)
    );
  }

  /** Accepts a configuration only once there are enough voters, so that an acknowledged one survives the configured losses. */
  private async putConfig(config: StoredConfig): Promise<FleetAnswer> {
    if (!this.toleratesLosses()) {
      const {group, log, lostDisks} = this.options;
      const voters = group.driver.status.log.members.voters.join(',');
      log('The control group can’t tolerate the configured losses yet.', {
        voters,
        wanted: votersFor(lostDisks),
      });
      // The caller retries; the other replicas join within a second.
      throw new NotLeaderError(null);
    }
    return this.propose({config, kind: 'putConfig'});
  }

  private async handleEngineReport(report: EngineReport): Promise<FleetAnswer> {
    const state = this.options.group.driver.read();
    if (isOutdated(state, report) || this.isAddressReused(state, report)) {
      const {address, id, startedAtMs} = report;
      this.options.log('An outdated report of an earlier incarnation of an engine was ignored.', {
        address,
        engine: id,
        startedAtMs,
      });
      return {kind: 'applied'};
    }
    this.current().engines.set(report.id, this.options.clock.monotonicMs());
    this.logVersion(state, report);
    return changesEngine(state, report)
      ? this.propose({kind: 'reportEngine', report})
      : {kind: 'applied'};
  }

  /** Logs an engine whose software version is new to the fleet's state: a new engine, or one that reports another. */
  private logVersion(state: FleetState, report: EngineReport): void {
    const {address, id, service, softwareVersion} = report;
    const isNew = state.engines.get(id)?.softwareVersion !== softwareVersion;
    if (isNew && changesEngine(state, report)) {
      const fields = {address, engine: id, service, softwareVersion};
      this.options.log('An engine has registered with its software version.', fields);
    }
  }

  /** Whether a live engine that started later has the report's address. */
  private isAddressReused(state: FleetState, report: EngineReport): boolean {
    const {clock, reportMs} = this.options;
    const now = clock.monotonicMs();
    const lastSeen = this.current();
    return laterHolders(state, report).some((id) => !hasMissedReports(lastSeen, id, now, reportMs));
  }

  private async watch(request: Extract<FleetRequest, {kind: 'watch'}>): Promise<WatchAnswer> {
    const {clock, group} = this.options;
    const now = clock.monotonicMs();
    // Throws without leadership: only a leader may record heartbeats and answer.
    group.driver.read();
    request.hellos.forEach((heartbeat) => this.recordHeartbeat(heartbeat, now));
    request.relayed.forEach(({ageMs, hello}) => this.recordHeartbeat(hello, now - ageMs));
    if (this.publisher.latest?.term !== this.current().term) {
      this.refresh();
    }
    if (request.waitMs === 0 && this.lacksChanges) {
      // The caller wants all that was committed before its request; publishing for each would wake all processes each time.
      await this.publications.wait(2 * REFRESH_MS);
    }
    return this.publisher.answer(request.known, request.waitMs);
  }

  /** Whether the published status lacks committed changes. */
  private get lacksChanges(): boolean {
    return this.publishedState !== this.options.group.driver.localState;
  }

  /** What this leader has received; starts empty with each term. */
  private current(): NodeLastSeen {
    const {clock, group} = this.options;
    const {driver} = group;
    if (this.lastSeen.term !== driver.status.term) {
      this.lastSeen = new NodeLastSeen(driver.status.term, clock.monotonicMs());
    }
    return this.lastSeen;
  }

  private recordHeartbeat(heartbeat: FleetHeartbeat, at: MonotonicMs): void {
    const {group} = this.options;
    const lastSeen = this.current();
    lastSeen.record(heartbeat, at);
    if (heartbeat.kind === 'store') {
      const known = group.driver.localState.stores.get(heartbeat.name)?.replica;
      // A forwarded heartbeat of a lost disk may arrive after the first one of its successor.
      const isLate = known !== undefined && (lastSeen.stores.get(known)?.at ?? -Infinity) > at;
      if (known !== heartbeat.replica && !isLate) {
        this.recordStore(heartbeat.name, heartbeat.replica);
      }
    }
  }

  private recordStore(name: VmId, replica: ReplicaId): void {
    const {log} = this.options;
    this.propose({kind: 'seeStore', name, replica}).then(
      () => log('A store process joins.', {name, replica}),
      // The next heartbeat retries.
      () => {},
    );
  }

  /** Publishes the first change after a pause at once; those that follow soon wait for the next check. */
  private refreshSoon(): void {
    if (this.options.clock.monotonicMs() - this.refreshedAt >= REFRESH_MS) {
      this.refresh();
    }
  }

  /** Rebuilds the fleet status, and answers waiting requests when it has changed. */
  private refresh(): void {
    const {clock, group} = this.options;
    const {driver} = group;
    this.refreshedAt = clock.monotonicMs();
    if (!driver.leads) {
      this.publications.wakeAll();
      this.publisher.wakeAll();
      return;
    }
    this.foundJobs();
    this.suspects.tickIfDue();
    const isPublished = this.publishStatus();
    const version = driver.localState.config?.version;
    if (!isPublished && version !== this.publishedConfigVersion) {
      this.publisher.wakeAll();
    }
    this.publishedConfigVersion = version;
    this.publications.wakeAll();
  }

  /** Publishes the status under a new number if it has changed or the term is new; returns whether it did. */
  private publishStatus(): boolean {
    const {localState} = this.options.group.driver;
    const status = this.buildStatus();
    this.publishedState = localState;
    const {term} = this.current();
    const {latest} = this.publisher;
    const isSame = latest?.term === term && isEmptyDelta(diffStatus(latest.news, status));
    if (!isSame) {
      this.publisher.publish({fleet: (latest?.fleet ?? 0) + 1, news: status, term});
    }
    return !isSame;
  }

  private buildStatus(): FleetStatus {
    const {clock, group, lastKnownJobsReplicas, reportMs} = this.options;
    const {driver} = group;
    return buildFleetStatus({
      lastKnownJobsReplicas: lastKnownJobsReplicas(),
      lastSeen: this.current(),
      members: driver.status.log.members,
      now: clock.monotonicMs(),
      reportMs,
      state: driver.localState,
    });
  }

  /** Has the group that keeps batch jobs founded once there are enough store processes to tolerate the losses. */
  private foundJobs(): void {
    const {group, log, lostDisks} = this.options;
    const {driver} = group;
    const lastSeen = this.current();
    if (driver.localState.jobsFounders !== null || !this.toleratesLosses()) {
      return;
    }
    const now = this.options.clock.monotonicMs();
    const founders = chooseFounders([...lastSeen.stores.values()], lostDisks, now);
    if (founders === null || this.founding) {
      return;
    }
    this.founding = true;
    this.propose({founders, kind: 'foundJobs'}).then(
      () => {
        this.founding = false;
        log('The group for batch jobs is founded.', {founders: founders.join(',')});
      },
      () => {
        // The next check retries.
        this.founding = false;
      },
    );
  }

  private async retireStore(name: VmId): Promise<RetireAnswer> {
    const state = this.options.group.driver.read();
    const store = state.stores.get(name);
    if (store === undefined) {
      return 'unknown';
    }
    if (store.retiring) {
      return this.retireState(name);
    }
    const lastSeen = this.current();
    const report = lastSeen.jobsReport;
    if (report === null) {
      throw new NotLeaderError(null);
    }
    const {clock, lostDisks} = this.options;
    const staying = stayingReplicas(store, report, lastSeen, state, clock.monotonicMs());
    if (staying.size < votersFor(lostDisks)) {
      return 'tooFew';
    }
    await this.propose({kind: 'retireStore', name});
    return this.retireState(name);
  }

  private retireState(name: VmId): RetireAnswer {
    const store = this.options.group.driver.read().stores.get(name);
    if (store === undefined || !store.retiring) {
      return 'unknown';
    }
    const {lostDisks} = this.options;
    return isEmptied(store, this.current().jobsReport, lostDisks) ? 'completed' : 'running';
  }
}
