import type {Clock, EngineId, LogFields} from 'stallpaddle';
import type {BlobRef} from 'stallpaddle-storage';

import {errorMessage, unreachable} from 'stallpaddle';
import {type FleetRoute, type FleetView, RouteTable} from 'stallpaddle-fleet';
import {isSound, RelayExperience, type RelayWire} from 'stallpaddle-relay';

/**
 * Runs the open items of a group in the slots that online requests leave, while this process leads it.
 */
import type {ItemEnd, ItemOutcome, JobsChange, JobsState, ProgressPart} from './JobsTypes';

import {
  DECLINED_PAUSE_MS,
  ENGINE_SILENT_MS,
  PROPOSE_AGAIN_MS,
  SAVE_MS,
  SPARE_SLOTS,
  START_FRESH_MS,
  TIDY_MS,
} from './JobsConstants';
import {JobsEstimates} from './JobsEstimates';
import {type ItemRunEnd, startItemRun} from './JobsItemRun';
import {JobsOnline} from './JobsOnline';
import {planItems, type PlannedEngine, type PlannedItem, type PlannedRun} from './JobsPlan';
import {JobsTasks, type Task} from './JobsTasks';

/** Decisions on items. */
export type ItemDecision =
  'itemCut' | 'itemEnded' | 'itemPlaced' | 'itemReturned' | 'progressNotSaved' | 'tickFailed';

/** What the dispatcher needs of its process. */
export interface JobsDispatcherOptions {
  readonly clock: Clock;
  readonly decide: (decision: ItemDecision, itemId: string, fields: LogFields) => void;
  /** Whether this process leads the group, and may decide for it. */
  readonly leads: () => boolean;
  /** Records a change; rejects when it may not have been recorded. */
  readonly propose: (change: JobsChange) => Promise<unknown>;
  /** Reads a body or a part of an output. */
  readonly readBlob: (ref: BlobRef) => Promise<Uint8Array>;
  readonly state: () => JobsState;
  readonly view: () => FleetView;
  readonly wire: RelayWire;
}

const UNPROCESSABLE = 422;
const SERVER_ERROR = 500;

/** In time before late; then whatever is due first, or, among the late, whatever ends first. */
function compareUrgency(
  a: {readonly late: boolean; readonly remainingMs: number; readonly slackMs: number},
  b: {readonly late: boolean; readonly remainingMs: number; readonly slackMs: number},
): number {
  if (a.late !== b.late) {
    return Number(a.late) - Number(b.late);
  }
  return a.late ? a.remainingMs - b.remainingMs : a.slackMs - b.slackMs;
}

function partOf(task: Task): ProgressPart {
  const {data, events, index, job, lastEvent, savedData, savedEvents} = task;
  return {
    after: savedEvents,
    events: events - savedEvents,
    item: index,
    job: job.id,
    lastEvent,
    text: Buffer.from(data.slice(savedData).join('\n')),
  };
}

/** See the module's comment. */
export class JobsDispatcher {
  private readonly experience: RelayExperience;
  /** Online requests of all entry VMs. */
  readonly online: JobsOnline;
  private pendingEnds: ItemEnd[] = [];
  private readonly estimates = new JobsEstimates();
  private planned = false;
  private recording = false;
  private readonly saver: NodeJS.Timeout;
  private saving = false;
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
    this.saver = setInterval(() => void this.saveProgress(), SAVE_MS);
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
    clearInterval(this.saver);
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

  /** Engines all of whose items have fallen silent. */
  silentEngines(): readonly EngineId[] {
    const oldest = this.options.clock.monotonicMs() - ENGINE_SILENT_MS;
    const heard = new Map<EngineId, boolean>();
    for (const {run} of this.tasks.all()) {
      if (run !== undefined) {
        heard.set(run.engine, (heard.get(run.engine) ?? false) || run.lastEventAt > oldest);
      }
    }
    return [...heard].filter(([, isHeard]) => !isHeard).map(([engine]) => engine);
  }

  /** Records what runs have brought since the last record, so that the next leader can go on from there. */
  async saveProgress(): Promise<void> {
    if (this.saving || this.stopped || !this.options.leads()) {
      return;
    }
    this.saving = true;
    const tasks = [...this.tasks.all()].filter(
      ({ending, events, savedEvents}) => !ending && events > savedEvents,
    );
    const saved = tasks.map((task) => ({data: task.data.length, events: task.events, task}));
    try {
      if (tasks.length > 0) {
        await this.options.propose({kind: 'saveProgress', parts: tasks.map(partOf)});
        saved.forEach(({data, events, task}) => {
          task.savedData = data;
          task.savedEvents = events;
        });
      }
    } catch (err) {
      this.options.decide('progressNotSaved', '', {reason: errorMessage(err)});
    } finally {
      this.saving = false;
    }
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
        this.decide('itemCut', task, {engine: task.run.engine, events: task.events});
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
    const silent = new Set(this.silentEngines());
    const runs = new Map<EngineId, PlannedRun[]>();
    for (const task of this.tasks.all()) {
      if (task.run !== undefined) {
        const known = runs.get(task.run.engine) ?? [];
        known.push({events: task.run.events, key: task.key, late: this.slackMs(view, task) < 0});
        runs.set(task.run.engine, known);
      }
    }
    return view.news.engines.map((engine) => ({
      id: engine.id,
      online: totals[engine.id] ?? 0,
      runs: runs.get(engine.id) ?? [],
      service: engine.service,
      slots: engine.slots,
      usable:
        !engine.draining &&
        !silent.has(engine.id) &&
        isSound(engine, this.experience.of(engine.id), now),
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

  /** Time until an item is due, in milliseconds; negative when it is late. */
  private slackMs(view: FleetView, task: Task): number {
    const due = task.acceptedAt + (this.routeOf(view, task)?.targetMs ?? 0);
    return due - this.options.state().clockMs;
  }

  /** Items that may start, the most urgent first; those that can't be in time come last. */
  private waiting(view: FleetView): readonly PlannedItem[] {
    const now = this.options.clock.monotonicMs();
    const found: (PlannedItem & {readonly remainingMs: number; readonly slackMs: number})[] = [];
    for (const task of this.tasks.all()) {
      const {ending, events, key, notBefore, run, starting} = task;
      if (run !== undefined || starting || ending || now < notBefore) {
        continue;
      }
      const route = this.routeOf(view, task);
      const service = route?.split.find(({weight}) => weight > 0)?.service;
      if (route !== undefined && service !== undefined) {
        const slackMs = this.slackMs(view, task);
        const remainingMs = this.estimates.remainingMs(route.name, events);
        found.push({key, late: slackMs < remainingMs, remainingMs, service, slackMs});
      }
    }
    return found.sort(compareUrgency);
  }

  /** Reads an item's body and what is recorded of its output, when it starts here for the first time. */
  private async readTask(task: Task): Promise<void> {
    if (task.body !== undefined) {
      return;
    }
    const {body, progress} = task.item;
    const parts = await Promise.all((progress?.parts ?? []).map(this.options.readBlob));
    task.data = parts.map((part) => Buffer.from(part).toString());
    task.savedData = task.data.length;
    task.body = await this.options.readBlob(body);
  }

  private async start(key: string, engineId: string): Promise<void> {
    const task = this.tasks.get(key);
    const engine = this.options.view().news.engines.find(({id}) => id === engineId);
    if (task === undefined || engine === undefined) {
      return;
    }
    task.starting = true;
    try {
      await this.readTask(task);
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
      body: task.body!,
      engine,
      headers: task.item.headers,
      host: task.job.host,
      id: task.item.id,
      lastEvent: task.lastEvent,
      onEvent: (data, id) => {
        task.data.push(data);
        task.events++;
        task.lastEvent = id ?? task.lastEvent;
        if (task.run !== undefined) {
          task.run.events++;
          task.run.lastEventAt = this.options.clock.monotonicMs();
        }
      },
      path: task.item.path,
    });
    const startedAt = this.options.clock.monotonicMs();
    const taskRun = {engine: engineId, events: 0, lastEventAt: startedAt, run, startedAt};
    task.run = taskRun;
    const end = await run.ended;
    task.run = undefined;
    this.estimates.noteRun(taskRun.events, taskRun.lastEventAt - startedAt);
    if (this.tasks.get(key) === task) {
      this.onRunEnd(task, engineId, end);
    }
    this.poke();
  }

  private onRunEnd(task: Task, engine: string, end: ItemRunEnd): void {
    this.decide('itemReturned', task, {
      engine,
      events: task.events,
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
        this.estimates.noteItem(task.job.route, task.events);
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
    this.decide('itemEnded', task, {events: task.events, outcome});
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
    this.options.decide('tickFailed', '', {reason: errorMessage(err)});
  }

  private decide(decision: ItemDecision, task: Task, fields: LogFields): void {
    this.options.decide(decision, task.item.id, {job: task.job.id, ...fields});
  }
}
