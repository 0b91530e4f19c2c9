import type {Clock, EngineId, LogFields, MonotonicMs, ReplicaId, VmId} from 'stallpaddle';

import {encodeValue, unreachable} from 'stallpaddle';
import {
  type EngineReport,
  type EntryView,
  type FleetAnswer,
  type FleetCommand,
  type FleetNews,
  type FleetRequest,
  type FleetState,
  type Hello,
  isNews,
  type JobsGroupReport,
  type RetireAnswer,
  type WatchAnswer,
} from 'stallpaddle-fleet';
import {NotLeaderError} from 'stallpaddle-replication';

/**
 * Answers all processes while this one leads the control group. What it hears of their lives is kept in
 * memory only, and begins anew with each leader.
 */
import type {Candidate, NodeGroup} from './NodeGroup';

import {ENTRY_SILENT_MS, MISSED_REPORTS, SETTLE_MS} from './NodeConstants';
import {votersFor} from './NodeKeeper';
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

interface HeardEntry extends EntryView {
  readonly at: MonotonicMs;
  readonly ready: boolean;
}

interface HeardStore {
  readonly at: MonotonicMs;
  readonly leads: JobsGroupReport | null;
  readonly name: VmId;
  readonly replica: ReplicaId;
  readonly zone: string;
}

/** What one leader has heard. */
interface Heard {
  readonly controls: Map<ReplicaId, MonotonicMs>;
  readonly engines: Map<EngineId, MonotonicMs>;
  readonly entries: Map<VmId, HeardEntry>;
  readonly since: MonotonicMs;
  readonly stores: Map<ReplicaId, HeardStore>;
  readonly term: number;
}

function emptyHeard(term: number, since: MonotonicMs): Heard {
  return {
    controls: new Map(),
    engines: new Map(),
    entries: new Map(),
    since,
    stores: new Map(),
    term,
  };
}

/** See the module's comment. */
export class NodeDesk {
  private fleet = 0;
  private heard = emptyHeard(-1, -Infinity);
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
  private peek(): WatchAnswer {
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
    if (this.hear(request.hello) || this.news === undefined) {
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
  private current(): Heard {
    const {clock, group} = this.options;
    const {driver} = group;
    if (this.heard.term !== driver.status.term) {
      this.heard = emptyHeard(driver.status.term, clock.monotonicMs());
      // What an earlier term of this leader knew may be older than what others have accepted since.
      this.news = undefined;
      this.newsText = '';
    }
    return this.heard;
  }

  /** Notes who calls; returns whether it tells anything new. */
  private hear(hello: Hello): boolean {
    const {controls, entries, stores} = this.current();
    const at = this.options.clock.monotonicMs();
    switch (hello.kind) {
      case 'control':
        controls.set(hello.replica, at);
        return false;
      case 'entry': {
        const {callerAddress, name, ready, zone} = hello;
        const isNew = entries.get(name)?.ready !== ready;
        entries.set(name, {address: callerAddress, at, name, ready, zone});
        return isNew;
      }
      case 'store': {
        const {leads, name, replica, zone} = hello;
        const isNew = JSON.stringify(stores.get(replica)?.leads) !== JSON.stringify(leads);
        stores.set(replica, {at, leads, name, replica, zone});
        this.recordStore(name, replica);
        return isNew;
      }
    }
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
    const {engines, jobsFounders, stores} = driver.localState;
    const heard = this.current();
    const now = clock.monotonicMs();
    const silentAfter = MISSED_REPORTS * reportMs;
    const isAlive = (at: MonotonicMs | undefined, most: number): boolean =>
      now - (at ?? heard.since) < most;
    return {
      controls: [...driver.status.log.members.voters, ...driver.status.log.members.learners],
      engines: [...engines.values()].map((engine) => ({
        ...engine,
        sequence: 0,
        silent: !isAlive(heard.engines.get(engine.id), silentAfter),
      })),
      entries: [...heard.entries.values()]
        .filter(({at, ready}) => ready && now - at < ENTRY_SILENT_MS)
        .map(({address, name, zone}) => ({address, name, zone}))
        .sort((a, b) => (a.name < b.name ? -1 : 1)),
      entriesComplete: now - heard.since > SETTLE_MS,
      jobsFounders,
      jobsReplicas: this.jobsReplicas(),
      stores: [...stores.values()].map((store) => ({
        ...store,
        heard: now - (heard.stores.get(store.replica)?.at ?? -Infinity) < ENTRY_SILENT_MS,
      })),
    };
  }

  private jobsReport(): JobsGroupReport | null {
    const reports = [...this.current().stores.values()].flatMap(({leads}) => leads ?? []);
    return reports.sort((a, b) => b.term - a.term)[0] ?? null;
  }

  private jobsReplicas(): readonly ReplicaId[] {
    const {jobsFounders} = this.options.group.driver.localState;
    return this.jobsReport()?.voters ?? jobsFounders ?? [];
  }

  /** Founds the group that keeps batch jobs, once enough store processes are there to bear a loss. */
  private foundJobs(): void {
    const {group, log, lostDisks} = this.options;
    const {driver} = group;
    const wanted = votersFor(lostDisks);
    const stores = [...this.current().stores.values()];
    if (driver.localState.jobsFounders !== null || stores.length < wanted) {
      return;
    }
    const founders = spreadOverZones(stores)
      .slice(0, wanted)
      .map(({replica}) => replica);
    this.propose({founders, kind: 'foundJobs'}).then(
      () => log('The group for batch jobs is founded.', {founders: founders.join(',')}),
      // The next look tries again.
      () => {},
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
    const report = this.jobsReport();
    if (report === null) {
      throw new NotLeaderError(null);
    }
    const staying = new Set([...report.voters, ...report.learners]);
    const {stores} = this.current();
    for (const {at, replica} of stores.values()) {
      if (this.options.clock.monotonicMs() - at < ENTRY_SILENT_MS) {
        staying.add(replica);
      }
    }
    for (const {replica, retiring} of state.stores.values()) {
      if (retiring || replica === store.replica) {
        staying.delete(replica);
      }
    }
    if (staying.size < votersFor(this.options.lostDisks)) {
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
    const report = this.jobsReport();
    const isOut =
      report !== null &&
      report.settled &&
      report.voters.length >= votersFor(this.options.lostDisks) &&
      ![...report.voters, ...report.learners].includes(store.replica);
    return isOut ? 'completed' : 'running';
  }
}

/** One store of each zone first, then the second of each, and so on. */
function spreadOverZones(stores: readonly HeardStore[]): readonly HeardStore[] {
  const seen = new Map<string, number>();
  const ranked = [...stores]
    .sort((a, b) => (a.replica < b.replica ? -1 : 1))
    .map((store) => {
      const rank = seen.get(store.zone) ?? 0;
      seen.set(store.zone, rank + 1);
      return {rank, store};
    });
  return ranked.sort((a, b) => a.rank - b.rank).map(({store}) => store);
}
