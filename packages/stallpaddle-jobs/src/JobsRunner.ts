/** Runs of batch items on engines. */
import type {EngineId, LogFields, MonotonicMs} from 'stallpaddle';
import type {QuarantinedGroup} from 'stallpaddle-relay';
import type {Term} from 'stallpaddle-replication';

import {errorMessage, invariant, unreachable} from 'stallpaddle';
import {
  engineOf,
  type EngineView,
  type FleetRoute,
  mayContinue,
  UNKNOWN_SOFTWARE,
} from 'stallpaddle-fleet';
import {
  isStarting,
  RelayLatencies,
  RelayStarts,
  SERVER_ERROR,
  UNCONFIRMED_SOFTWARE,
} from 'stallpaddle-relay';

import type {ItemDecision, JobsDispatcherOptions} from './JobsContext';
import type {JobsEngineTracker} from './JobsEngineTracker';
import type {JobsTasks, Task, TaskRun} from './JobsTasks';
import type {GiveUpReason, ItemOutcome} from './JobsTypes';
import type {JobsUrgency} from './JobsUrgency';

import {QUARANTINE_CHECK_MS, RETRY_DELAY_MS} from './JobsConstants';
import {JobsEndRecorder} from './JobsEndRecorder';
import {type ItemRun, type ItemRunEnd, startItemRun} from './JobsItemRun';
import {restartTask} from './JobsTasks';
import {nextRunDelayMs, PartsTrials} from './JobsTrial';

/** Status (RFC 9110) of an item that no engine can process. */
const UNPROCESSABLE = 422;

/** Whether the run's end may be the exit of its engine. */
function mayBeCrash(end: ItemRunEnd): boolean {
  return end.kind === 'broken' || (end.kind === 'whole' && !end.isFramed);
}

/** Interface between the runner and its dispatcher. */
export interface JobsRunnerOptions {
  readonly engines: JobsEngineTracker;
  /** Whether the fleet view is recent enough to start items. */
  readonly hasFreshView: () => boolean;
  /** Whether this process holds the lease in the term of the tasks. */
  readonly isLeading: () => boolean;
  /** Services of the process. */
  readonly runtime: JobsDispatcherOptions;
  /** Called when a slot is free or an item waits again. */
  readonly schedulePass: () => void;
  readonly tasks: JobsTasks;
  /** Term of the tasks; undefined while this process doesn't lead. */
  readonly term: () => Term | undefined;
  readonly urgency: JobsUrgency;
}

/**
 * Runs items on engines and handles how the runs end: preempted and broken runs put the item back into the queue;
 * completed, impossible and repeatedly failing items get their end recorded.
 */
export class JobsRunner {
  private readonly ends: JobsEndRecorder;
  private readonly runtime: JobsDispatcherOptions;
  private readonly latencies = new RelayLatencies();
  private readonly partsTrials = new PartsTrials();
  private readonly starts: RelayStarts;

  /**
   * @param options services of the dispatcher
   */
  constructor(private readonly options: JobsRunnerOptions) {
    this.runtime = options.runtime;
    this.ends = new JobsEndRecorder(options.runtime);
    this.starts = new RelayStarts(options.runtime.wire);
  }

  /**
   * Preempts the run of an item; the item resumes later.
   *
   * @param key the item
   */
  preempt(key: string): void {
    const task = this.options.tasks.get(key);
    if (task?.run !== undefined && !task.run.isPreempted) {
      task.run.isPreempted = true;
      this.decide('itemCut', task, {engine: task.run.engine, events: task.events});
      task.run.run.cancel();
    }
  }

  /** Stops recording ends. */
  stop(): void {
    this.ends.stop();
  }

  /** Reads an item's body and its recorded output before its first run in this process. */
  private async loadTask(task: Task): Promise<void> {
    if (task.body !== undefined) {
      return;
    }
    const {body, progress} = task.item;
    const parts = await Promise.all((progress?.parts ?? []).map(this.runtime.readBlob));
    task.data = parts.map((part) => Buffer.from(part).toString());
    task.savedData = task.data.length;
    task.body = await this.runtime.readBlob(body);
  }

  /**
   * Runs an item on an engine until it ends or is cancelled.
   *
   * @param key the item
   * @param engineId the engine
   */
  async start(key: string, engineId: EngineId): Promise<void> {
    const task = this.options.tasks.get(key);
    if (task === undefined) {
      return;
    }
    if (this.isHeldByParts(task)) {
      this.options.schedulePass();
      return;
    }
    const release = this.options.tasks.assign(task, engineId);
    try {
      await this.loadAndRun(task, engineId);
    } catch (err) {
      // An error that one item causes must not end the process, which runs the items of all customers.
      this.decide('itemReturned', task, {engine: engineId, reason: errorMessage(err)});
      task.notBefore = this.runtime.clock.monotonicMs() + RETRY_DELAY_MS;
    } finally {
      release();
    }
    this.options.schedulePass();
  }

  /** The item counts as starting until its run begins, so that no other pass starts it meanwhile. */
  private async loadAndRun(task: Task, engineId: string): Promise<void> {
    let ended: Promise<void> | undefined;
    task.startingOn = engineId;
    try {
      const engine = await this.prepare(task, engineId);
      ended = engine === undefined ? undefined : this.run(task, engine);
    } finally {
      task.startingOn = undefined;
    }
    await ended;
  }

  /** Reads the item and asks for its trial if it needs one; returns the engine unless the item may not run on it. */
  private async prepare(task: Task, engineId: string): Promise<EngineView | undefined> {
    try {
      await this.loadTask(task);
    } catch (err) {
      this.decide('itemReturned', task, {reason: errorMessage(err)});
      task.notBefore = this.runtime.clock.monotonicMs() + RETRY_DELAY_MS;
      return undefined;
    }
    if (!(await this.mayRunParts(task))) {
      return undefined;
    }
    // This may have taken long: the engine may be draining by now, the item given up, or another process may lead.
    const engine = engineOf(this.runtime.view(), engineId);
    const isOpen = this.options.hasFreshView() && engine?.draining === false;
    const isCurrent = this.options.tasks.get(task.key) === task && !task.ending;
    return isOpen && isCurrent && this.options.isLeading() ? engine : undefined;
  }

  /** Parts of the item's prompt that other requests may share. */
  private sharedPartsOf(task: Task): readonly string[] {
    task.sharedParts ??= this.runtime.wire.readSharedParts(
      Object.fromEntries(task.item.headers.map(([name, value]) => [name.toLowerCase(), value])),
    );
    return task.sharedParts;
  }

  /** Whether a quarantined part of the prompt holds the item; the check takes no slot of an engine. */
  private isHeldByParts(task: Task): boolean {
    const verdict = this.runtime.suspects.parts.verdictOn(this.sharedPartsOf(task));
    if (verdict.kind !== 'held' || this.mayTryParts(task, verdict.group)) {
      return false;
    }
    this.holdForParts(task, verdict.group);
    return true;
  }

  /** Whether the item may run with a quarantined group, as its trial has begun or has been due for too long. */
  private mayTryParts(task: Task, {parts}: QuarantinedGroup): boolean {
    const name = parts.join();
    return (
      task.triedParts === name || this.partsTrials.isDue(name, this.runtime.clock.monotonicMs())
    );
  }

  /** Whether the parts of the prompt allow a run, which may be the one trial of a quarantined part. */
  private async mayRunParts(task: Task): Promise<boolean> {
    const {parts} = this.runtime.suspects;
    const verdict = parts.verdictOn(this.sharedPartsOf(task));
    if (verdict.kind === 'allowed') {
      return true;
    }
    const {group} = verdict;
    const name = group.parts.join();
    if (task.triedParts === name) {
      return true;
    }
    const isGranted = verdict.kind === 'trialDue' && (await parts.requestTrial(group));
    if (isGranted || this.mayTryParts(task, group)) {
      task.triedParts = name;
      this.partsTrials.noteTrial(name, this.runtime.clock.monotonicMs());
      this.decide('itemTried', task, {isGranted, parts: name, trials: group.trials});
      return true;
    }
    this.holdForParts(task, group);
    return false;
  }

  private holdForParts(task: Task, {parts, trials}: QuarantinedGroup): void {
    const heldBy = parts.join();
    if (task.heldBy !== heldBy) {
      task.heldBy = heldBy;
      this.decide('itemHeld', task, {parts: heldBy, trials});
    }
    task.notBefore = this.runtime.clock.monotonicMs() + QUARANTINE_CHECK_MS;
  }

  private isStarting({events, firstEventAt}: TaskRun): boolean {
    return isStarting({events, firstAt: firstEventAt}, this.runtime.clock.monotonicMs());
  }

  /**
   * Checks whether the engine of a broken run has ended; the item waits for the result. An end counts neither against the item,
   * which is owed a result, nor against the parts that requests share with it.
   */
  private async onBrokenRun(task: Task, engine: EngineView): Promise<void> {
    const {clock, suspects} = this.runtime;
    task.notBefore = Infinity;
    let waitMs = 0;
    try {
      if (await suspects.hasExited(engine)) {
        task.endedEngines++;
        waitMs = nextRunDelayMs(task.endedEngines);
      }
    } catch (err) {
      this.decide('itemReturned', task, {engine: engine.id, reason: errorMessage(err)});
    }
    if (waitMs > 0) {
      this.decide('itemHeld', task, {endedEngines: task.endedEngines, waitMs});
    }
    task.notBefore = clock.monotonicMs() + waitMs;
    this.options.schedulePass();
  }

  /** Records that an engine has run the item past its start, which clears the parts of its prompt. */
  private noteServed(task: Task): void {
    task.endedEngines = 0;
    this.runtime.suspects.parts.noteServed(this.sharedPartsOf(task));
  }

  /** Discards the output of an item that begins anew because no engine has the software version that wrote it. */
  private restartAt(engine: EngineView, task: Task): void {
    const {events, softwareVersion} = task;
    restartTask(task);
    this.decide('itemRestarted', task, {
      engine: engine.id,
      events,
      from: softwareVersion,
      softwareVersion: engine.softwareVersion,
    });
  }

  private async run(task: Task, engine: EngineView): Promise<void> {
    const {clock} = this.runtime;
    invariant(task.run === undefined, 'Two runs of an item would both write its text.');
    if (task.events > 0 && !mayContinue(engine, task.softwareVersion ?? UNKNOWN_SOFTWARE)) {
      this.restartAt(engine, task);
    }
    this.decide('itemPlaced', task, {
      engine: engine.id,
      resumeAfter: task.lastEvent ?? undefined,
      softwareVersion: engine.softwareVersion,
      viewAgeMs: Math.round(clock.monotonicMs() - this.runtime.view().asOf),
    });
    const run = this.startRun(task, engine);
    const startedAt = clock.monotonicMs();
    const taskRun: TaskRun = {
      engine: engine.id,
      engineStartMs: engine.startedAtMs,
      events: 0,
      firstEventAt: undefined,
      isCleared: false,
      isPreempted: false,
      lastEventAt: startedAt,
      run,
      softwareVersion: UNCONFIRMED_SOFTWARE.softwareVersion,
    };
    task.run = taskRun;
    const end = await run.ended.finally(() => (task.run = undefined));
    this.options.urgency.estimates.addRun(
      taskRun.events,
      taskRun.lastEventAt - startedAt,
      this.runtime.speedOf?.(engine.id),
    );
    if (this.options.tasks.get(task.key) === task) {
      this.onRunEnd(task, engine, end, taskRun);
      if (mayBeCrash(end) && this.isStarting(taskRun)) {
        void this.onBrokenRun(task, engine);
      }
    }
  }

  private startRun(task: Task, engine: EngineView): ItemRun {
    return startItemRun(this.runtime.wire, this.latencies, {
      body: task.body!,
      confirmStart: () => this.starts.confirm(engine),
      customer: task.job.customer,
      engine,
      headers: task.item.headers,
      host: task.job.host,
      id: task.item.id,
      isContinued: task.events > 0,
      lastEvent: task.lastEvent,
      onConfirmed: () => {
        if (task.run !== undefined) {
          task.run.softwareVersion = engine.softwareVersion;
        }
      },
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
      task.softwareVersion = run.softwareVersion;
      const now = this.runtime.clock.monotonicMs();
      this.noteGap(run, now);
      run.events++;
      run.firstEventAt ??= now;
      run.lastEventAt = now;
      if (!run.isCleared && !this.isStarting(run)) {
        run.isCleared = true;
        this.noteServed(task);
      }
    }
  }

  /** The first gap is left out: an engine may send its first event as soon as it has read the prompt. */
  private noteGap({engine, engineStartMs, events, lastEventAt}: TaskRun, now: MonotonicMs): void {
    if (events > 1) {
      this.runtime.onEventGap?.({id: engine, startedAtMs: engineStartMs}, now - lastEventAt);
    }
  }

  /** An unframed output may also have ended because its engine exited, which clears nothing. */
  private noteComplete(task: Task, run: TaskRun, isFramed: boolean): void {
    if (isFramed || !this.isStarting(run)) {
      this.noteServed(task);
    }
  }

  private onRunEnd(task: Task, engine: EngineView, end: ItemRunEnd, run: TaskRun): void {
    this.decide('itemReturned', task, {
      check: 'check' in end ? end.check : undefined,
      engine: engine.id,
      error: 'error' in end ? end.error : undefined,
      events: task.events,
      how: end.kind,
      reason: 'reason' in end ? end.reason : undefined,
      status: end.kind === 'failed' ? end.status : undefined,
    });
    if (end.kind !== 'notRun') {
      task.triedParts = undefined;
    }
    switch (end.kind) {
      case 'broken':
        this.options.engines.recordOutcome(engine, false);
        return;
      case 'cut':
        return;
      case 'failed':
        task.endedEngines = 0;
        this.onItemFailure(task, end.status);
        return;
      case 'notRun':
        if (end.reason !== 'declined' && end.reason !== 'malformed') {
          this.options.engines.recordOutcome(engine, false);
        }
        task.notBefore = this.runtime.clock.monotonicMs() + RETRY_DELAY_MS;
        return;
      case 'unconfirmed':
        this.options.engines.recordOutcome(engine, false);
        task.notBefore = this.runtime.clock.monotonicMs() + RETRY_DELAY_MS;
        return;
      case 'whole':
        this.options.engines.recordOutcome(engine, true);
        this.noteComplete(task, run, end.isFramed);
        this.options.urgency.estimates.addItem(task.job.route, task.events);
        this.recordEnd(task, 'completed');
        return;
      default:
        unreachable(end);
    }
  }

  private onItemFailure(task: Task, status: number): void {
    const route = this.options.urgency.routeOf(this.runtime.view(), task);
    if (status === UNPROCESSABLE) {
      this.giveUp(task, 'impossible', route);
      return;
    }
    task.notBefore = this.runtime.clock.monotonicMs() + RETRY_DELAY_MS;
    if (status < SERVER_ERROR) {
      return;
    }
    // A failure whose record is delayed or lost counts, too.
    task.failures = Math.max(task.failures, task.item.failures) + 1;
    if (route !== undefined && task.failures >= route.maxAttempts) {
      this.giveUp(task, 'tooManyFailures', route);
      return;
    }
    const {index, job} = task;
    this.runtime
      .propose({item: index, job: job.id, kind: 'countFailure'})
      .catch((err: unknown) => this.decide('itemReturned', task, {reason: errorMessage(err)}));
  }

  /**
   * Gives an item up and logs the values that led to it.
   *
   * @param task the item
   * @param why the reason
   * @param route its route in the current configuration
   */
  giveUp(task: Task, why: GiveUpReason, route: FleetRoute | undefined): void {
    const {clockMs} = this.runtime.state();
    this.recordEnd(task, 'givenUp', {
      ageMs: Math.round(clockMs - task.acceptedAt),
      clockMs: Math.round(clockMs),
      failures: task.failures,
      mostAgeMs: route?.giveUpAfterMs,
      mostFailures: route?.maxAttempts,
      route: route?.name,
      viewAgeMs: Math.round(this.runtime.clock.monotonicMs() - this.runtime.view().asOf),
      why,
    });
  }

  private recordEnd(task: Task, outcome: ItemOutcome, fields: LogFields = {}): void {
    const term = this.options.term();
    if (task.ending || term === undefined) {
      return;
    }
    task.ending = true;
    const {index, job, restarts, savedData, savedEvents} = task;
    const data = outcome === 'completed' ? task.data.slice(savedData) : [];
    const end = {
      after: savedEvents,
      data,
      item: index,
      job: job.id,
      outcome,
      restarts: restarts === 0 ? undefined : restarts,
    };
    this.decide('itemEnded', task, {events: task.events, outcome, ...fields});
    this.ends.add(end, term);
  }

  private decide(decision: ItemDecision, task: Task, fields: LogFields): void {
    this.runtime.decide(decision, task.item.id, {job: task.job.id, ...fields});
  }
}
