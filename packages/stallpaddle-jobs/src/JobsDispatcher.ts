import type {Clock, LogFields} from 'stallpaddle';
import type {BlobRef} from 'stallpaddle-storage';

import {errorMessage, unreachable} from 'stallpaddle';
import {type FleetRoute, type FleetView, RouteTable} from 'stallpaddle-fleet';
import {isSound, RelayExperience, type RelayWire} from 'stallpaddle-relay';

/**
 * Runs the open items of a group in the slots that online requests leave, while this process leads it.
 */
import type {ItemEnd, ItemOutcome, JobsChange, JobsState} from './JobsTypes';

import {
  DECLINED_PAUSE_MS,
  PROPOSE_AGAIN_MS,
  SPARE_SLOTS,
  START_FRESH_MS,
  TIDY_MS,
} from './JobsConstants';
import {type ItemRunEnd, startItemRun} from './JobsItemRun';
import {JobsOnline} from './JobsOnline';
import {planItems, type PlannedEngine} from './JobsPlan';
import {JobsTasks, type Task} from './JobsTasks';

/** Decisions on items. */
export type ItemDecision = 'itemCut' | 'itemEnded' | 'itemPlaced' | 'itemReturned';

/** What the dispatcher needs of its process. */
export interface JobsDispatcherOptions {
  readonly clock: Clock;
  readonly decide: (decision: ItemDecision, itemId: string, fields: LogFields) => void;
  /** Whether this process leads the group, and may decide for it. */
  readonly leads: () => boolean;
  /** Records a change; rejects when it may not have been recorded. */
  readonly propose: (change: JobsChange) => Promise<unknown>;
  readonly readBody: (ref: BlobRef) => Promise<Uint8Array>;
  readonly state: () => JobsState;
  readonly view: () => FleetView;
  readonly wire: RelayWire;
}

const UNPROCESSABLE = 422;
const SERVER_ERROR = 500;

/** See the module's comment. */
export class JobsDispatcher {
  private readonly experience: RelayExperience;
  /** Online requests of all entry VMs. */
  readonly online: JobsOnline;
  private pendingEnds: ItemEnd[] = [];
  private planned = false;
  private recording = false;
  private routes: {readonly table: RouteTable; readonly version: number} | undefined;
  private stopped = false;
  private readonly tasks = new JobsTasks();
  private readonly timer: NodeJS.Timeout;

  /**
   * @param options what the dispatcher needs of its process
   */
  constructor(private readonly options: JobsDispatcherOptions) {
    this.experience = new RelayExperience(options.clock);
    this.online = new JobsOnline(options.clock);
    this.timer = setInterval(() => this.tidy(), TIDY_MS);
  }

  /** Looks soon at what may start and what must give way; many calls make one look. */
  poke(): void {
    if (!this.planned && !this.stopped) {
      this.planned = true;
      setImmediate(() => {
        this.planned = false;
        this.look();
      });
    }
  }

  /** Cuts all runs and does nothing more. */
  stop(): void {
    this.stopped = true;
    clearInterval(this.timer);
    this.tasks.clear();
  }

  /** Items that wait and items that run. */
  counts(): {readonly running: number; readonly waiting: number} {
    let running = 0;
    let waiting = 0;
    for (const task of this.tasks.all()) {
      if (task.run !== undefined) {
        running++;
      } else {
        waiting++;
      }
    }
    return {running, waiting};
  }

  private look(): void {
    if (this.stopped || !this.options.leads()) {
      this.tasks.clear();
      return;
    }
    this.tasks.follow(this.options.state());
    const view = this.options.view();
    const {cuts, starts} = planItems(this.plannedEngines(view), this.waiting(view), SPARE_SLOTS);
    for (const key of cuts) {
      const task = this.tasks.get(key);
      if (task?.run !== undefined) {
        this.decide('itemCut', task, {engine: task.run.engine, events: task.data.length});
        task.run.run.cut();
      }
    }
    // Knowledge that is too old may name an engine that has left.
    if (this.options.clock.monotonicMs() - view.asOf < START_FRESH_MS) {
      starts.forEach(({engine, key}) => void this.start(key, engine));
    }
  }

  private plannedEngines(view: FleetView): readonly PlannedEngine[] {
    const now = this.options.clock.monotonicMs();
    const totals = this.online.totals();
    const runs = new Map<string, {events: number; key: string}[]>();
    for (const {data, key, run} of this.tasks.all()) {
      if (run !== undefined) {
        const known = runs.get(run.engine) ?? [];
        known.push({events: data.length, key});
        runs.set(run.engine, known);
      }
    }
    return view.news.engines.map((engine) => ({
      id: engine.id,
      online: totals[engine.id] ?? 0,
      runs: runs.get(engine.id) ?? [],
      service: engine.service,
      slots: engine.slots,
      usable: !engine.draining && isSound(engine, this.experience.of(engine.id), now),
    }));
  }

  private routeOf(view: FleetView, task: Task): FleetRoute | undefined {
    const {config} = view;
    if (config === null) {
      return undefined;
    }
    if (this.routes?.version !== config.version) {
      this.routes = {table: new RouteTable(config), version: config.version};
    }
    return this.routes.table.find(task.job.host, task.job.path);
  }

  /** Items that may start, the most urgent first; those that are late already come last. */
  private waiting(view: FleetView): readonly {readonly key: string; readonly service: string}[] {
    const now = this.options.clock.monotonicMs();
    const {clockMs} = this.options.state();
    const found: {due: number; key: string; late: boolean; service: string}[] = [];
    for (const task of this.tasks.all()) {
      const {ending, notBefore, run, starting} = task;
      if (run !== undefined || starting || ending || now < notBefore) {
        continue;
      }
      const route = this.routeOf(view, task);
      const service = route?.split.find(({weight}) => weight > 0)?.service;
      if (route !== undefined && service !== undefined) {
        const due = task.acceptedAt + route.targetMs;
        found.push({due, key: task.key, late: due < clockMs, service});
      }
    }
    return found.sort((a, b) => Number(a.late) - Number(b.late) || a.due - b.due);
  }

  private async start(key: string, engineId: string): Promise<void> {
    const task = this.tasks.get(key);
    const engine = this.options.view().news.engines.find(({id}) => id === engineId);
    if (task === undefined || engine === undefined) {
      return;
    }
    task.starting = true;
    try {
      task.body ??= await this.options.readBody(task.item.body);
    } catch (err) {
      this.decide('itemReturned', task, {reason: errorMessage(err)});
      task.notBefore = this.options.clock.monotonicMs() + DECLINED_PAUSE_MS;
      return;
    } finally {
      task.starting = false;
    }
    if (this.tasks.get(key) !== task || !this.options.leads()) {
      return;
    }
    const view = this.options.view();
    this.decide('itemPlaced', task, {
      engine: engineId,
      resumeAfter: task.lastEvent ?? undefined,
      viewAgeMs: Math.round(this.options.clock.monotonicMs() - view.asOf),
    });
    const run = startItemRun(this.options.wire, {
      body: task.body,
      engine,
      headers: task.item.headers,
      host: task.job.host,
      id: task.item.id,
      lastEvent: task.lastEvent,
      onEvent: (data, id) => {
        task.data.push(data);
        task.lastEvent = id ?? task.lastEvent;
      },
      path: task.item.path,
    });
    task.run = {engine: engineId, run};
    const end = await run.ended;
    task.run = undefined;
    if (this.tasks.get(key) === task) {
      this.onRunEnd(task, engineId, end);
    }
    this.poke();
  }

  private onRunEnd(task: Task, engine: string, end: ItemRunEnd): void {
    this.decide('itemReturned', task, {
      engine,
      events: task.data.length,
      how: end.kind,
      reason: 'reason' in end ? end.reason : undefined,
      status: end.kind === 'failed' ? end.status : undefined,
    });
    switch (end.kind) {
      case 'broken':
        this.experience.note(engine, false);
        return;
      case 'cut':
        return;
      case 'failed':
        this.onItemFailure(task, end.status);
        return;
      case 'notRun':
        if (end.reason !== 'declined') {
          this.experience.note(engine, false);
        }
        task.notBefore = this.options.clock.monotonicMs() + DECLINED_PAUSE_MS;
        return;
      case 'whole':
        this.experience.note(engine, true);
        this.endTask(task, 'completed');
        return;
      default:
        unreachable(end);
    }
  }

  private onItemFailure(task: Task, status: number): void {
    const route = this.routeOf(this.options.view(), task);
    if (status === UNPROCESSABLE) {
      this.endTask(task, 'givenUp');
      return;
    }
    task.notBefore = this.options.clock.monotonicMs() + DECLINED_PAUSE_MS;
    if (status < SERVER_ERROR) {
      return;
    }
    if (route !== undefined && task.item.failures + 1 >= route.maxAttempts) {
      this.endTask(task, 'givenUp');
      return;
    }
    const {index, job} = task;
    this.options
      .propose({item: index, job: job.id, kind: 'countFailure'})
      .catch((err: unknown) => this.decide('itemReturned', task, {reason: errorMessage(err)}));
  }

  private endTask(task: Task, outcome: ItemOutcome): void {
    if (task.ending) {
      return;
    }
    task.ending = true;
    const text = outcome === 'completed' ? Buffer.from(task.data.join('\n')) : null;
    this.pendingEnds.push({item: task.index, job: task.job.id, outcome, text});
    this.decide('itemEnded', task, {events: task.data.length, outcome});
    void this.record();
  }

  /** Records ends in groups: those that come while one is under way go with the next. */
  private async record(): Promise<void> {
    if (this.recording) {
      return;
    }
    this.recording = true;
    while (this.pendingEnds.length > 0 && !this.stopped && this.options.leads()) {
      const ends = this.pendingEnds;
      this.pendingEnds = [];
      try {
        await this.options.propose({ends, kind: 'endItems'});
      } catch {
        // An end may be recorded twice without harm: only the first counts.
        this.pendingEnds = [...ends, ...this.pendingEnds];
        await new Promise((resolve) => setTimeout(resolve, PROPOSE_AGAIN_MS));
      }
    }
    if (!this.options.leads()) {
      this.pendingEnds = [];
    }
    this.recording = false;
  }

  /** Gives up items whose time is over or whose route was removed, and lets the group's clock run. */
  private tidy(): void {
    if (this.stopped || !this.options.leads()) {
      this.poke();
      return;
    }
    const view = this.options.view();
    const isFresh = this.options.clock.monotonicMs() - view.asOf < START_FRESH_MS;
    const {clockMs, open} = this.options.state();
    for (const task of isFresh && view.config !== null ? [...this.tasks.all()] : []) {
      const route = this.routeOf(view, task);
      if (route === undefined || clockMs - task.acceptedAt > route.giveUpAfterMs) {
        task.run?.run.cut();
        this.endTask(task, 'givenUp');
      }
    }
    if (open.size > 0) {
      this.options.propose({kind: 'tick'}).catch((err: unknown) => this.logTick(err));
    }
    this.poke();
  }

  private logTick(err: unknown): void {
    this.options.decide('itemReturned', '', {reason: errorMessage(err)});
  }

  private decide(decision: ItemDecision, task: Task, fields: LogFields): void {
    this.options.decide(decision, task.item.id, {job: task.job.id, ...fields});
  }
}
