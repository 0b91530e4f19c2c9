/**
 * Runs the open items of a group in the slots that online requests leave, while this process leads it.
 */
import type {EngineId, LogFields, MonotonicMs} from 'stallpaddle';
import type {Term} from 'stallpaddle-replication';

import {errorMessage, unreachable} from 'stallpaddle';
import {engineOf, type EngineView, type FleetRoute} from 'stallpaddle-fleet';
import {RelayPace, SERVER_ERROR} from 'stallpaddle-relay';

import type {ItemDecision, JobsDispatcherOptions} from './JobsContext';
import type {JobsOnline} from './JobsOnline';
import type {GiveUpReason, ItemOutcome} from './JobsTypes';

import {
  DECLINED_PAUSE_MS,
  LOOK_AGAIN_MS,
  SAVE_MS,
  SPARE_SLOTS,
  START_FRESH_MS,
  STARTS_A_LOOK,
  TIDY_MS,
} from './JobsConstants';
import {JobsEnds} from './JobsEnds';
import {JobsEngines} from './JobsEngines';
import {type ItemRun, type ItemRunEnd, startItemRun} from './JobsItemRun';
import {planItems} from './JobsPlan';
import {JobsProgress} from './JobsProgress';
import {JobsTasks, type Task, type TaskRun} from './JobsTasks';
import {JobsUrgency} from './JobsUrgency';

/** Status (RFC 9110) of an item that no engine can take. */
const UNPROCESSABLE = 422;

/** See the module's comment. */
export class JobsDispatcher {
  private readonly engines: JobsEngines;
  private readonly ends: JobsEnds;
  private readonly pace = new RelayPace();
  private lookedAt: MonotonicMs = -Infinity;
  private planned = false;
  private readonly progress: JobsProgress;
  private stopped = false;
  private readonly tasks = new JobsTasks();
  /** Term to which the tasks belong; undefined while this process doesn't lead. */
  private term: Term | undefined;
  /** Run only while this process leads: most stores never do. */
  private timers: readonly NodeJS.Timeout[] = [];
  private readonly urgency: JobsUrgency;

  /**
   * @param options what the dispatcher needs of its process
   */
  constructor(private readonly options: JobsDispatcherOptions) {
    this.ends = new JobsEnds(options);
    this.progress = new JobsProgress(options);
    this.urgency = new JobsUrgency(() => options.state().clockMs);
    this.engines = new JobsEngines({
      clock: options.clock,
      decide: (engine, fields) => options.decide('engineSurveyed', engine, fields),
      mayDecide: () => this.mayDecide(),
      onChange: () => this.poke(),
      tasks: this.tasks,
      urgency: this.urgency,
      view: options.view,
      wire: options.wire,
    });
  }

  /** Looks soon at what may start and what must give way; many calls make one look. */
  poke(): void {
    if (this.planned || this.stopped) {
      return;
    }
    this.planned = true;
    const look = (): void => {
      this.planned = false;
      this.lookedAt = this.options.clock.monotonicMs();
      this.look();
    };
    const waitMs = this.lookedAt + LOOK_AGAIN_MS - this.options.clock.monotonicMs();
    if (waitMs > 0) {
      setTimeout(look, waitMs);
    } else {
      setImmediate(look);
    }
  }

  /**
   * Takes in an entry VM's online requests; runs give way to them at once.
   *
   * @param sender the VM's process
   * @param sequence number of its word
   * @param own its online requests by engine
   */
  learnOnline(sender: string, sequence: number, own: Readonly<Record<EngineId, number>>): void {
    const more = this.online.learn(sender, sequence, own);
    if (this.mayDecide()) {
      const view = this.options.view();
      more.forEach((id) => this.giveWay(engineOf(view, id)));
    }
    this.poke();
  }

  /** Cuts all runs and does nothing more. */
  stop(): void {
    this.stopped = true;
    this.engines.stopSurvey();
    this.ends.stop();
    this.stopTimers();
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

  /** Online requests of all entry VMs. */
  get online(): JobsOnline {
    return this.engines.online;
  }

  /** Engines all of whose items have fallen silent. */
  silentEngines(): readonly EngineId[] {
    return this.engines.silent();
  }

  /** Records what runs have brought since the last record, so that the next leader can go on from there. */
  async saveProgress(): Promise<void> {
    if (this.mayDecide()) {
      await this.progress.save(this.tasks.all(), () => this.mayDecide());
    }
  }

  private look(): void {
    this.followTerm();
    if (this.term === undefined) {
      return;
    }
    this.tasks.follow(this.options.state());
    // While the lease doesn't run, runs go on: nobody else leads as far as is known, and a lapse is often short.
    if (!this.mayDecide()) {
      return;
    }
    this.engines.startSurvey();
    const view = this.options.view();
    const now = this.options.clock.monotonicMs();
    const waiting = this.urgency.waiting(view, this.tasks.all(), now);
    const {cuts, starts} = planItems(this.engines.planned(view), waiting, SPARE_SLOTS);
    cuts.forEach((key) => this.cut(key));
    // Knowledge that is too old may name an engine that has left.
    if (this.isFresh()) {
      starts.slice(0, STARTS_A_LOOK).forEach(({engine, key}) => void this.start(key, engine));
      if (starts.length > STARTS_A_LOOK) {
        this.poke();
      }
    }
  }

  private giveWay(engine: EngineView | undefined): void {
    if (engine !== undefined) {
      this.engines.excessAt(engine).forEach(({key}) => this.cut(key));
    }
  }

  private cut(key: string): void {
    const task = this.tasks.get(key);
    if (task?.run !== undefined && !task.run.isCut) {
      task.run.isCut = true;
      this.decide('itemCut', task, {engine: task.run.engine, events: task.events});
      task.run.run.cut();
    }
  }

  /** Whether what is known of the fleet is new enough to decide on items. */
  private isFresh(): boolean {
    return this.options.clock.monotonicMs() - this.options.view().asOf < START_FRESH_MS;
  }

  /** Whether this process leads in the term to which the tasks here belong. */
  private mayDecide(): boolean {
    const leadership = this.options.leadership();
    return !this.stopped && leadership.kind === 'leads' && leadership.term === this.term;
  }

  /** Runs and what they brought belong to one term: other leaders may have gone on with the same items since. */
  private followTerm(): void {
    const leadership = this.options.leadership();
    const term = this.stopped || leadership.kind === 'follows' ? undefined : leadership.term;
    if (term === this.term) {
      return;
    }
    this.logTerm('dispatchEnded');
    this.tasks.clear();
    this.engines.stopSurvey();
    this.stopTimers();
    this.term = term;
    this.logTerm('dispatchBegan');
    if (term !== undefined) {
      this.timers = [
        setInterval(() => this.tidy(), TIDY_MS),
        setInterval(() => void this.saveProgress(), SAVE_MS),
      ];
    }
  }

  private stopTimers(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.timers = [];
  }

  private logTerm(decision: 'dispatchBegan' | 'dispatchEnded'): void {
    const {clockMs, open} = this.options.state();
    if (this.term !== undefined) {
      const fields = {clockMs: Math.round(clockMs), jobs: open.size, term: this.term};
      this.options.decide(decision, '', {...fields, ...this.counts()});
    }
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
    if (task === undefined) {
      return;
    }
    const endCount = this.tasks.registerAt(task, engineId);
    try {
      await this.startAt(task, engineId);
    } finally {
      endCount();
    }
    this.poke();
  }

  private async startAt(task: Task, engineId: string): Promise<void> {
    task.startsAt = engineId;
    try {
      await this.readTask(task);
    } catch (err) {
      this.decide('itemReturned', task, {reason: errorMessage(err)});
      task.notBefore = this.options.clock.monotonicMs() + DECLINED_PAUSE_MS;
      return;
    } finally {
      task.startsAt = undefined;
    }
    // The disk may have taken long: the engine may leave by now, or another process lead.
    const engine = engineOf(this.options.view(), engineId);
    const isOpen = this.isFresh() && engine?.draining === false;
    if (isOpen && this.tasks.get(task.key) === task && this.mayDecide()) {
      await this.run(task, engine);
    }
  }

  private async run(task: Task, engine: EngineView): Promise<void> {
    const {clock} = this.options;
    this.decide('itemPlaced', task, {
      engine: engine.id,
      resumeAfter: task.lastEvent ?? undefined,
      viewAgeMs: Math.round(clock.monotonicMs() - this.options.view().asOf),
    });
    const run = this.startRun(task, engine);
    const startedAt = clock.monotonicMs();
    const taskRun: TaskRun = {
      engine: engine.id,
      events: 0,
      isCut: false,
      lastEventAt: startedAt,
      run,
    };
    task.run = taskRun;
    const end = await run.ended;
    task.run = undefined;
    this.urgency.estimates.noteRun(taskRun.events, taskRun.lastEventAt - startedAt);
    if (this.tasks.get(task.key) === task) {
      this.onRunEnd(task, engine.id, end);
    }
  }

  private startRun(task: Task, engine: EngineView): ItemRun {
    return startItemRun(this.options.wire, this.pace, {
      body: task.body!,
      engine,
      headers: task.item.headers,
      host: task.job.host,
      id: task.item.id,
      lastEvent: task.lastEvent,
      onEvent: (data, id) => this.onEvent(task, data, id),
      path: task.item.path,
    });
  }

  private onEvent(task: Task, data: string, id: string | null): void {
    task.data.push(data);
    task.events++;
    task.lastEvent = id ?? task.lastEvent;
    if (task.run !== undefined) {
      task.run.events++;
      task.run.lastEventAt = this.options.clock.monotonicMs();
    }
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
        this.engines.note(engine, false);
        return;
      case 'cut':
        return;
      case 'failed':
        this.onItemFailure(task, end.status);
        return;
      case 'notRun':
        if (end.reason !== 'declined') {
          this.engines.note(engine, false);
        }
        task.notBefore = this.options.clock.monotonicMs() + DECLINED_PAUSE_MS;
        return;
      case 'whole':
        this.engines.note(engine, true);
        this.urgency.estimates.noteItem(task.job.route, task.events);
        this.endTask(task, 'completed');
        return;
      default:
        unreachable(end);
    }
  }

  private onItemFailure(task: Task, status: number): void {
    const route = this.urgency.routeOf(this.options.view(), task);
    if (status === UNPROCESSABLE) {
      this.giveUp(task, 'impossible', route);
      return;
    }
    task.notBefore = this.options.clock.monotonicMs() + DECLINED_PAUSE_MS;
    if (status < SERVER_ERROR) {
      return;
    }
    if (route !== undefined && task.item.failures + 1 >= route.maxAttempts) {
      this.giveUp(task, 'tooManyFailures', route);
      return;
    }
    const {index, job} = task;
    this.options
      .propose({item: index, job: job.id, kind: 'countFailure'})
      .catch((err: unknown) => this.decide('itemReturned', task, {reason: errorMessage(err)}));
  }

  /** Ends an item without an answer, and says what that rests on. */
  private giveUp(task: Task, why: GiveUpReason, route: FleetRoute | undefined): void {
    const {clockMs} = this.options.state();
    this.endTask(task, 'givenUp', {
      ageMs: Math.round(clockMs - task.acceptedAt),
      clockMs: Math.round(clockMs),
      failures: task.item.failures,
      mostAgeMs: route?.giveUpAfterMs,
      mostFailures: route?.maxAttempts,
      viewAgeMs: Math.round(this.options.clock.monotonicMs() - this.options.view().asOf),
      why,
    });
  }

  private endTask(task: Task, outcome: ItemOutcome, fields: LogFields = {}): void {
    if (task.ending || this.term === undefined) {
      return;
    }
    task.ending = true;
    const {index, job, savedData, savedEvents} = task;
    const data = outcome === 'completed' ? task.data.slice(savedData) : [];
    const end = {after: savedEvents, data, item: index, job: job.id, outcome};
    this.decide('itemEnded', task, {events: task.events, outcome, ...fields});
    this.ends.add(end, this.term);
  }

  /** Gives up items whose time is over or whose route was removed, and lets the group's clock run. */
  private tidy(): void {
    if (!this.mayDecide()) {
      this.poke();
      return;
    }
    const view = this.options.view();
    const {clockMs, open} = this.options.state();
    for (const task of this.isFresh() && view.config !== null ? [...this.tasks.all()] : []) {
      const route = this.urgency.routeOf(view, task);
      if (route === undefined || clockMs - task.acceptedAt > route.giveUpAfterMs) {
        task.run?.run.cut();
        this.giveUp(task, route === undefined ? 'noRoute' : 'tooOld', route);
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
