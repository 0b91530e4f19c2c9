/**
 * Answers all processes while this one leads the control group.
 */

import type {Clock, LogFields, ReplicaId, VmId} from 'stallpaddle';

import {encodeValue, unreachable} from 'stallpaddle';
import {
  type EngineReport,
  type FleetAnswer,
  type FleetCommand,
  type FleetNews,
  type FleetRequest,
  type FleetState,
  type Hello,
  isNews,
  type RetireAnswer,
  type WatchAnswer,
} from 'stallpaddle-fleet';
import {NotLeaderError} from 'stallpaddle-replication';

import type {Candidate, NodeGroup} from './NodeGroup';

import {NodeHeard} from './NodeHeard';
import {votersFor} from './NodeKeeper';
import {makeNews} from './NodeNews';
import {chooseFounders, isEmptied, stayingReplicas} from './NodeStorePlan';
import {NodeWaiters} from './NodeWaiters';

/** Time between looks at what has fallen silent, in milliseconds: a third of the shortest hold. */
const REFRESH_MS = 100;

/** What the desk needs of its process. */
export interface NodeDeskOptions {
  readonly clock: Clock;
  /** The control group's replica here. */
  readonly group: Pick<NodeGroup<FleetState>, 'driver' | 'registerListener'>;
  readonly log: (message: string, fields: LogFields) => void;
  readonly lostDisks: number;
  /** Time between two reports of an engine, in milliseconds. */
  readonly reportMs: number;
  readonly self: ReplicaId;
}

/** See the module's comment. */
export class NodeDesk {
  private fleet = 0;
  /** Whether a proposal of founders is under way. */
  private founding = false;
  private heard = new NodeHeard(-1, -Infinity);
  private news: FleetNews | undefined;
  private newsText = '';
  private readonly timer: NodeJS.Timeout;
  private readonly waiters = new NodeWaiters();

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: NodeDeskOptions) {
    this.timer = setInterval(() => this.refresh(), REFRESH_MS);
    options.group.registerListener(() => this.refresh());
  }

  /** Ends the looks. */
  stop(): void {
    clearInterval(this.timer);
    this.waiters.wakeAll();
  }

  /** Processes that may belong to the control group. */
  candidates(): readonly Candidate[] {
    const now = this.options.clock.monotonicMs();
    return [...this.heard.controls].map(([id, at]) => ({id, retiring: false, silentMs: now - at}));
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
      case 'peek':
        return this.peek();
      case 'putConfig':
        return this.propose({config: request.config, kind: 'putConfig'});
      case 'readConfig':
        return this.options.group.driver.read().config;
      case 'removeEngine':
        return this.propose({id: request.id, kind: 'removeEngine'});
      case 'reportEngine':
        return this.takeReport(request.report);
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
    const {config} = this.options.group.driver.localState;
    return {config, epoch: '', fleet: 0, heldMs: 0, news: this.makeNews(), proven: false};
  }

  private propose(command: FleetCommand): Promise<FleetAnswer> {
    return this.options.group.driver.propose(encodeValue(command)) as Promise<FleetAnswer>;
  }

  private async takeReport(report: EngineReport): Promise<FleetAnswer> {
    const state = this.options.group.driver.read();
    this.current().engines.set(report.id, this.options.clock.monotonicMs());
    return isNews(state, report) ? this.propose({kind: 'reportEngine', report}) : {kind: 'applied'};
  }

  private async watch(request: Extract<FleetRequest, {kind: 'watch'}>): Promise<WatchAnswer> {
    const {clock, group} = this.options;
    const {driver} = group;
    const arrivedAt = clock.monotonicMs();
    driver.read();
    const told = request.hellos.map((hello) => this.hear(hello));
    if (told.includes(true) || this.news === undefined) {
      this.refresh();
    }
    const end = arrivedAt + request.waitMs;
    for (;;) {
      const answer = this.newsFor(request.known);
      const left = end - clock.monotonicMs();
      if (answer.config !== null || answer.news !== null || left <= 0) {
        return {...answer, heldMs: clock.monotonicMs() - arrivedAt};
      }
      await this.waiters.wait(left);
    }
  }

  private newsFor(known: {config: number | null; epoch: string; fleet: number}): WatchAnswer {
    const {config} = this.options.group.driver.read();
    const {epoch} = this;
    const isNewer = config !== null && config.version > (known.config ?? -Infinity);
    const isKnown = known.epoch === epoch && known.fleet === this.fleet;
    return {
      config: isNewer ? config : null,
      epoch,
      fleet: this.fleet,
      heldMs: 0,
      news: isKnown ? null : (this.news ?? null),
      proven: true,
    };
  }

  private get epoch(): string {
    return `${this.options.self} ${this.heard.term}`;
  }

  /** What this leader has heard; begins anew with each term. */
  private current(): NodeHeard {
    const {clock, group} = this.options;
    const {driver} = group;
    if (this.heard.term !== driver.status.term) {
      this.heard = new NodeHeard(driver.status.term, clock.monotonicMs());
      // What an earlier term of this leader knew may be older than what others have accepted since.
      this.news = undefined;
      this.newsText = '';
    }
    return this.heard;
  }

  /** Notes who calls; returns whether it tells anything new. */
  private hear(hello: Hello): boolean {
    const isNew = this.current().hear(hello, this.options.clock.monotonicMs());
    if (hello.kind === 'store') {
      this.recordStore(hello.name, hello.replica);
    }
    return isNew;
  }

  private recordStore(name: VmId, replica: ReplicaId): void {
    const {group, log} = this.options;
    const {driver} = group;
    if (driver.localState.stores.get(name)?.replica !== replica) {
      this.propose({kind: 'seeStore', name, replica}).then(
        () => log('A store process joins.', {name, replica}),
        // It says so again with its next question.
        () => {},
      );
    }
  }

  /** Makes the news anew and wakes those that wait for it. */
  private refresh(): void {
    const {driver} = this.options.group;
    if (!driver.leads) {
      this.waiters.wakeAll();
      return;
    }
    this.foundJobs();
    const news = this.makeNews();
    const text = JSON.stringify(news);
    const {config} = driver.localState;
    const versionText = `${config?.version ?? ''} ${text}`;
    if (versionText === this.newsText) {
      return;
    }
    if (this.news === undefined || !this.newsText.endsWith(text)) {
      this.fleet++;
      this.news = news;
    }
    this.newsText = versionText;
    this.waiters.wakeAll();
  }

  private makeNews(): FleetNews {
    const {clock, group, reportMs} = this.options;
    const {driver} = group;
    return makeNews({
      heard: this.current(),
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
    if (driver.localState.jobsFounders !== null) {
      return;
    }
    const founders = chooseFounders([...heard.stores.values()], lostDisks);
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
