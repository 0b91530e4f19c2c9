/**
 * Answers all processes while this one leads the control group.
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
import {NodeStatusPublisher} from './NodeStatusPublisher';
import {chooseFounders, isEmptied, stayingReplicas} from './NodeStorePlan';
import {NodeSuspectsHandler} from './NodeSuspectsHandler';

/**
 * Time between looks at what has changed, in milliseconds. News go out as often at most: while a fleet of 200 processes
 * starts, each of them would otherwise be news to all the others at once.
 */
const REFRESH_MS = 100;

/** What the desk needs of its process. */
export interface NodeControlHandlerOptions {
  readonly clock: Clock;
  /** The control group's replica here. */
  readonly group: Pick<NodeGroup<FleetState>, 'driver' | 'registerListener'>;
  /** Where this process last heard that batch jobs are kept. */
  readonly lastKnownJobsReplicas: () => readonly ReplicaId[];
  readonly log: (message: string, fields: LogFields) => void;
  readonly lostDisks: number;
  /** Time between two reports of an engine, in milliseconds. */
  readonly reportMs: number;
}

/** See the module's comment. */
export class NodeControlHandler {
  private readonly publisher: NodeStatusPublisher;
  /** Version of the configuration that was told last. */
  private publishedConfigVersion: number | undefined;
  /** Whether a proposal of founders is under way. */
  private founding = false;
  private lastSeen = new NodeLastSeen(-1, -Infinity);
  private refreshedAt: MonotonicMs = -Infinity;
  private readonly suspects: NodeSuspectsHandler;
  private readonly timer: NodeJS.Timeout;
  /** The configuration that is held here, as others are told of it. */
  private publicConfigCache: {readonly config: FleetConfig | null; readonly stored: StoredConfig | null} = {
    config: null,
    stored: null,
  };

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: NodeControlHandlerOptions) {
    this.publisher = new NodeStatusPublisher(options.clock, () => ({
      ageMs: 0,
      config: this.publicConfig(options.group.driver.read().config),
    }));
    this.suspects = new NodeSuspectsHandler({
      clock: options.clock,
      group: options.group,
      log: options.log,
      propose: (command) => this.propose(command),
    });
    this.timer = setInterval(() => this.refresh(), REFRESH_MS);
    options.group.registerListener(() => this.refreshSoon());
  }

  /** Whether this replica leads. */
  get leads(): boolean {
    return this.options.group.driver.leads;
  }

  /** Ends the looks. */
  stop(): void {
    clearInterval(this.timer);
    this.publisher.wakeAll();
  }

  /** Processes that may belong to the control group. */
  candidates(): readonly Candidate[] {
    const now = this.options.clock.monotonicMs();
    return [...this.lastSeen.controls].map(([id, at]) => ({id, retiring: false, silentMs: now - at}));
  }

  /**
   * Answers a request.
   *
   * @param request the request
   * @throws {NotLeaderError} without leadership or lease
   */
  async answer(request: FleetRequest): Promise<unknown> {
    switch (request.kind) {
      case 'introduce':
        // A replica knows the others from its log.
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
      case 'watch':
        return this.watch(request);
      default:
        return unreachable(request);
    }
  }

  /** What this replica holds, without proof that it is the latest. */
  peek(): WatchAnswer {
    const config = this.publicConfig(this.options.group.driver.localState.config);
    const update = {kind: 'whole', news: this.buildStatus()} as const;
    const term = UNPROVEN_TERM;
    return {ageMs: 0, config, fleet: 0, heldMs: 0, proven: false, term, update};
  }

  /** A configuration without the operator's text; made once for each. */
  private publicConfig(config: StoredConfig | null): FleetConfig | null {
    if (this.publicConfigCache.stored !== config) {
      this.publicConfigCache = {config: config === null ? null : withoutSource(config), stored: config};
    }
    return this.publicConfigCache.config;
  }

  private propose(command: FleetCommand): Promise<FleetAnswer> {
    return this.options.group.driver.propose(encodeValue(command)) as Promise<FleetAnswer>;
  }

  /**
   * Whether the control group bears the losses. Its founders are fewer; once something was recorded that needs it, fewer
   * voters are there only because disks were lost, and those count among the losses.
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

  /** The members are recorded before the configuration: when it is acknowledged, as many have both as must. */
  private async putConfig(config: StoredConfig): Promise<FleetAnswer> {
    if (!this.toleratesLosses()) {
      const {group, log, lostDisks} = this.options;
      const voters = group.driver.status.log.members.voters.join(',');
      log('The control group can’t bear the losses yet.', {voters, wanted: votersFor(lostDisks)});
      // Whoever asks tries again: the other replicas join within a second.
      throw new NotLeaderError(null);
    }
    return this.propose({config, kind: 'putConfig'});
  }

  private async handleEngineReport(report: EngineReport): Promise<FleetAnswer> {
    const state = this.options.group.driver.read();
    if (isOutdated(state, report) || this.isAddressReused(state, report)) {
      const {address, id, startedAtMs} = report;
      this.options.log('A report of an earlier start of an engine came late.', {
        address,
        engine: id,
        startedAtMs,
      });
      return {kind: 'applied'};
    }
    this.current().engines.set(report.id, this.options.clock.monotonicMs());
    return changesEngine(state, report)
      ? this.propose({kind: 'reportEngine', report})
      : {kind: 'applied'};
  }

  /** Whether an engine that started later has the report's address, and lives. */
  private isAddressReused(state: FleetState, report: EngineReport): boolean {
    const {clock, reportMs} = this.options;
    const now = clock.monotonicMs();
    const heard = this.current();
    return laterHolders(state, report).some((id) => !hasMissedReports(heard, id, now, reportMs));
  }

  private watch(request: Extract<FleetRequest, {kind: 'watch'}>): Promise<WatchAnswer> {
    const {clock, group} = this.options;
    const now = clock.monotonicMs();
    // Only a leader hears, and answers.
    group.driver.read();
    request.hellos.forEach((hello) => this.recordHeartbeat(hello, now));
    request.relayed.forEach(({ageMs, hello}) => this.recordHeartbeat(hello, now - ageMs));
    if (this.publisher.latest?.term !== this.current().term) {
      this.refresh();
    }
    return this.publisher.answer(request.known, request.waitMs);
  }

  /** What this leader has heard; begins anew with each term. */
  private current(): NodeLastSeen {
    const {clock, group} = this.options;
    const {driver} = group;
    if (this.lastSeen.term !== driver.status.term) {
      this.lastSeen = new NodeLastSeen(driver.status.term, clock.monotonicMs());
    }
    return this.lastSeen;
  }

  private recordHeartbeat(hello: FleetHeartbeat, at: MonotonicMs): void {
    const {group} = this.options;
    const heard = this.current();
    heard.record(hello, at);
    if (hello.kind === 'store') {
      const known = group.driver.localState.stores.get(hello.name)?.replica;
      // A lost disk's last words may be passed on after its successor's first.
      const isLate = known !== undefined && (heard.stores.get(known)?.at ?? -Infinity) > at;
      if (known !== hello.replica && !isLate) {
        this.recordStore(hello.name, hello.replica);
      }
    }
  }

  private recordStore(name: VmId, replica: ReplicaId): void {
    const {log} = this.options;
    this.propose({kind: 'seeStore', name, replica}).then(
      () => log('A store process joins.', {name, replica}),
      // It says so again with its next question.
      () => {},
    );
  }

  /** The first change after a pause is told at once, what comes soon after it with the next look. */
  private refreshSoon(): void {
    if (this.options.clock.monotonicMs() - this.refreshedAt >= REFRESH_MS) {
      this.refresh();
    }
  }

  /** Makes the news anew and tells those that wait what has changed. */
  private refresh(): void {
    const {clock, group} = this.options;
    const {driver} = group;
    this.refreshedAt = clock.monotonicMs();
    if (!driver.leads) {
      this.publisher.wakeAll();
      return;
    }
    this.foundJobs();
    this.suspects.tickIfDue();
    const isPut = this.publishStatus();
    const version = driver.localState.config?.version;
    if (!isPut && version !== this.publishedConfigVersion) {
      this.publisher.wakeAll();
    }
    this.publishedConfigVersion = version;
  }

  /** Numbers the news anew when they have changed, or belong to a new term; returns whether they have. */
  private publishStatus(): boolean {
    const news = this.buildStatus();
    const {term} = this.current();
    const {latest} = this.publisher;
    const isSame = latest?.term === term && isEmptyDelta(diffStatus(latest.news, news));
    if (!isSame) {
      this.publisher.publish({fleet: (latest?.fleet ?? 0) + 1, news, term});
    }
    return !isSame;
  }

  private buildStatus(): FleetStatus {
    const {clock, group, lastKnownJobsReplicas: jobsBefore, reportMs} = this.options;
    const {driver} = group;
    return buildFleetStatus({
      lastSeen: this.current(),
      lastKnownJobsReplicas: jobsBefore(),
      members: driver.status.log.members,
      now: clock.monotonicMs(),
      reportMs,
      state: driver.localState,
    });
  }

  /** Founds the group that keeps batch jobs, once enough store processes are there to bear a loss. */
  private foundJobs(): void {
    const {group, log, lostDisks} = this.options;
    const {driver} = group;
    const heard = this.current();
    if (driver.localState.jobsFounders !== null || !this.toleratesLosses()) {
      return;
    }
    const now = this.options.clock.monotonicMs();
    const founders = chooseFounders([...heard.stores.values()], lostDisks, now);
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
        // The next look tries again.
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
    const heard = this.current();
    const report = heard.jobsReport;
    if (report === null) {
      throw new NotLeaderError(null);
    }
    const {clock, lostDisks} = this.options;
    const staying = stayingReplicas(store, report, heard, state, clock.monotonicMs());
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
