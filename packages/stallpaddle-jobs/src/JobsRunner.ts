/**
 * Runs items at engines and takes in how their runs end: an item that was cut or broke off waits again, one that is whole,
 * impossible or has failed too often has its end recorded.
 */
import type {EngineId, LogFields} from 'stallpaddle';
import type {Term} from 'stallpaddle-replication';

import {errorMessage, unreachable} from 'stallpaddle';
import {engineOf, type EngineView, type FleetRoute, QUARANTINE_LEVEL} from 'stallpaddle-fleet';
import {hasOnlyBegun, RelayPace, requestDigest, SERVER_ERROR} from 'stallpaddle-relay';

import type {ItemDecision, JobsDispatcherOptions} from './JobsContext';
import type {JobsEngines} from './JobsEngines';
import type {JobsTasks, Task, TaskRun} from './JobsTasks';
import type {GiveUpReason, ItemOutcome} from './JobsTypes';
import type {JobsUrgency} from './JobsUrgency';

import {DECLINED_PAUSE_MS, HELD_LOOK_MS} from './JobsConstants';
import {JobsEnds} from './JobsEnds';
import {type ItemRun, type ItemRunEnd, startItemRun} from './JobsItemRun';
import {nextTrial} from './JobsTrial';

/** Status (RFC 9110) of an item that no engine can take. */
const UNPROCESSABLE = 422;

/** What it needs of its dispatcher. */
export interface JobsRunnerOptions {
  readonly engines: JobsEngines;
  /** Whether what is known of the fleet is new enough to start items. */
  readonly isFresh: () => boolean;
  /** Whether the dispatcher may decide. */
  readonly mayDecide: () => boolean;
  /** What the dispatcher needs of its process. */
  readonly needs: JobsDispatcherOptions;
  /** Called when there is room, or an item waits again. */
  readonly poke: () => void;
  readonly tasks: JobsTasks;
  /** Term in which the dispatcher decides; undefined in none. */
  readonly term: () => Term | undefined;
  readonly urgency: JobsUrgency;
}

/** See the module's comment. */
export class JobsRunner {
  private readonly ends: JobsEnds;
  private readonly needs: JobsDispatcherOptions;
  private readonly pace = new RelayPace();

  /**
   * @param options what it needs of its dispatcher
   */
  constructor(private readonly options: JobsRunnerOptions) {
    this.needs = options.needs;
    this.ends = new JobsEnds(options.needs);
  }

  /**
   * Ends an item's run so that it gives way; it goes on later.
   *
   * @param key the item
   */
  cut(key: string): void {
    const task = this.options.tasks.get(key);
    if (task?.run !== undefined && !task.run.isCut) {
      task.run.isCut = true;
      this.decide('itemCut', task, {engine: task.run.engine, events: task.events});
      task.run.run.cut();
    }
  }

  /** Records no more ends. */
  stop(): void {
    this.ends.stop();
  }

  /** Reads an item's body and what is recorded of its output, when it starts here for the first time. */
  private async readTask(task: Task): Promise<void> {
    if (task.body !== undefined) {
      return;
    }
    const {body, progress} = task.item;
    const parts = await Promise.all((progress?.parts ?? []).map(this.needs.readBlob));
    task.data = parts.map((part) => Buffer.from(part).toString());
    task.savedData = task.data.length;
    task.body = await this.needs.readBlob(body);
  }

  /**
   * Runs an item at an engine, to its end or its cut.
   *
   * @param key the item
   * @param engineId the engine
   */
  async start(key: string, engineId: EngineId): Promise<void> {
    const task = this.options.tasks.get(key);
    if (task === undefined) {
      return;
    }
    const endCount = this.options.tasks.registerAt(task, engineId);
    try {
      await this.startAt(task, engineId);
    } finally {
      endCount();
    }
    this.options.poke();
  }

  private async startAt(task: Task, engineId: string): Promise<void> {
    task.startsAt = engineId;
    try {
      await this.readTask(task);
    } catch (err) {
      this.decide('itemReturned', task, {reason: errorMessage(err)});
      task.notBefore = this.needs.clock.monotonicMs() + DECLINED_PAUSE_MS;
      return;
    } finally {
      task.startsAt = undefined;
    }
    if (this.isHeld(task)) {
      return;
    }
    // The disk may have taken long: the engine may leave by now, or another process lead.
    const engine = engineOf(this.needs.view(), engineId);
    const isOpen = this.options.isFresh() && engine?.draining === false;
    if (isOpen && this.options.tasks.get(task.key) === task && this.options.mayDecide()) {
      await this.run(task, engine);
    }
  }

  private digestOf(task: Task): string {
    const {customer: caller = '', host} = task.job;
    const {path} = task.item;
    task.digest ??= requestDigest({body: task.body!, caller, host, method: 'POST', path});
    return task.digest;
  }

  /** How many engines ended, one after the other, when they began to run an item. */
  private levelOf(task: Task): number {
    const {suspects} = this.needs;
    return suspects.isEmpty ? 0 : suspects.levelOf(this.digestOf(task));
  }

  /**
   * Whether an item is kept off the engines that it may end, until its next trial. It is not listed for that; its age gives it
   * up like any other.
   */
  private isHeld(task: Task): boolean {
    const level = this.levelOf(task);
    if (level < QUARANTINE_LEVEL) {
      return false;
    }
    const now = this.needs.clock.monotonicMs();
    const before = task.trial;
    task.trial = nextTrial(before, level, now);
    if (now >= task.trial.at) {
      return false;
    }
    if (task.trial !== before) {
      const waitMs = Math.round(task.trial.at - now);
      this.decide('itemHeld', task, {digest: task.digest, level, waitMs});
    }
    task.notBefore = now + HELD_LOOK_MS;
    return true;
  }

  private hasOnlyBegun({events, firstEventAt}: TaskRun): boolean {
    return hasOnlyBegun({events, firstAt: firstEventAt}, this.needs.clock.monotonicMs());
  }

  /** Looks whether the engine of a run that broke off has ended; the item waits until that is known. */
  private async onBreak(task: Task, engine: EngineView, known: number): Promise<void> {
    const {clock, suspects} = this.needs;
    task.notBefore = Infinity;
    const digest = this.digestOf(task);
    try {
      await suspects.noteBreak({digest, engine, id: task.item.id, known});
    } finally {
      task.notBefore = clock.monotonicMs();
      this.options.poke();
    }
  }

  private noteServed(task: Task): void {
    if (this.levelOf(task) > 0) {
      this.needs.suspects.noteServed(this.digestOf(task));
    }
  }

  private async run(task: Task, engine: EngineView): Promise<void> {
    const {clock} = this.needs;
    this.decide('itemPlaced', task, {
      engine: engine.id,
      resumeAfter: task.lastEvent ?? undefined,
      viewAgeMs: Math.round(clock.monotonicMs() - this.needs.view().asOf),
    });
    const known = this.levelOf(task);
    const run = this.startRun(task, engine);
    const startedAt = clock.monotonicMs();
    const taskRun: TaskRun = {
      engine: engine.id,
      engineStartMs: engine.startedAtMs,
      events: 0,
      firstEventAt: undefined,
      isCleared: false,
      isCut: false,
      lastEventAt: startedAt,
      run,
    };
    task.run = taskRun;
    const end = await run.ended;
    task.run = undefined;
    this.options.urgency.estimates.noteRun(taskRun.events, taskRun.lastEventAt - startedAt);
    if (this.options.tasks.get(task.key) === task) {
      this.onRunEnd(task, engine, end);
      if (end.kind === 'broken' && this.hasOnlyBegun(taskRun)) {
        void this.onBreak(task, engine, known);
      }
    }
  }

  private startRun(task: Task, engine: EngineView): ItemRun {
    return startItemRun(this.needs.wire, this.pace, {
      body: task.body!,
      customer: task.job.customer,
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
    const {run} = task;
    if (run !== undefined) {
      run.events++;
      run.firstEventAt ??= this.needs.clock.monotonicMs();
      run.lastEventAt = this.needs.clock.monotonicMs();
      if (!run.isCleared && !this.hasOnlyBegun(run)) {
        run.isCleared = true;
        this.noteServed(task);
      }
    }
  }

  private onRunEnd(task: Task, engine: EngineView, end: ItemRunEnd): void {
    this.decide('itemReturned', task, {
      engine: engine.id,
      events: task.events,
      how: end.kind,
      reason: 'reason' in end ? end.reason : undefined,
      status: end.kind === 'failed' ? end.status : undefined,
    });
    switch (end.kind) {
      case 'broken':
        this.options.engines.note(engine, false);
        return;
      case 'cut':
        return;
      case 'failed':
        this.noteServed(task);
        this.onItemFailure(task, end.status);
        return;
      case 'notRun':
        if (end.reason !== 'declined') {
          this.options.engines.note(engine, false);
        }
        task.notBefore = this.needs.clock.monotonicMs() + DECLINED_PAUSE_MS;
        return;
      case 'whole':
        this.options.engines.note(engine, true);
        this.noteServed(task);
        this.options.urgency.estimates.noteItem(task.job.route, task.events);
        this.endTask(task, 'completed');
        return;
      default:
        unreachable(end);
    }
  }

  private onItemFailure(task: Task, status: number): void {
    const route = this.options.urgency.routeOf(this.needs.view(), task);
    if (status === UNPROCESSABLE) {
      this.giveUp(task, 'impossible', route);
      return;
    }
    task.notBefore = this.needs.clock.monotonicMs() + DECLINED_PAUSE_MS;
    if (status < SERVER_ERROR) {
      return;
    }
    if (route !== undefined && task.item.failures + 1 >= route.maxAttempts) {
      this.giveUp(task, 'tooManyFailures', route);
      return;
    }
    const {index, job} = task;
    this.needs
      .propose({item: index, job: job.id, kind: 'countFailure'})
      .catch((err: unknown) => this.decide('itemReturned', task, {reason: errorMessage(err)}));
  }

  /**
   * Ends an item without an answer, and says what that rests on.
   *
   * @param task the item
   * @param why the reason
   * @param route its route as it is configured now
   */
  giveUp(task: Task, why: GiveUpReason, route: FleetRoute | undefined): void {
    const {clockMs} = this.needs.state();
    this.endTask(task, 'givenUp', {
      ageMs: Math.round(clockMs - task.acceptedAt),
      clockMs: Math.round(clockMs),
      failures: task.item.failures,
      mostAgeMs: route?.giveUpAfterMs,
      mostFailures: route?.maxAttempts,
      viewAgeMs: Math.round(this.needs.clock.monotonicMs() - this.needs.view().asOf),
      why,
    });
  }

  private endTask(task: Task, outcome: ItemOutcome, fields: LogFields = {}): void {
    const term = this.options.term();
    if (task.ending || term === undefined) {
      return;
    }
    task.ending = true;
    const {index, job, savedData, savedEvents} = task;
    const data = outcome === 'completed' ? task.data.slice(savedData) : [];
    const end = {after: savedEvents, data, item: index, job: job.id, outcome};
    this.decide('itemEnded', task, {events: task.events, outcome, ...fields});
    this.ends.add(end, term);
  }

  private decide(decision: ItemDecision, task: Task, fields: LogFields): void {
    this.needs.decide(decision, task.item.id, {job: task.job.id, ...fields});
  }
}
