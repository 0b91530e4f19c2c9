/** Dispatcher of batch items. */
import type {EngineId, MonotonicMs} from 'stallpaddle';
import type {Term} from 'stallpaddle-replication';

import {errorMessage, unreachable} from 'stallpaddle';
import {engineOf, type EngineView} from 'stallpaddle-fleet';

import type {JobsDispatcherOptions} from './JobsContext';
import type {JobsOnlineCounts} from './JobsOnlineCounts';
import type {PlannedItem} from './JobsPlan';

import {JobsBursts} from './JobsBursts';
import {
  LOAD_LOG_INTERVAL_MS,
  MAINTENANCE_INTERVAL_MS,
  MAX_VIEW_AGE_MS,
  RESERVED_SLOTS,
  SAVE_INTERVAL_MS,
} from './JobsConstants';
import {JobsEngineTracker} from './JobsEngineTracker';
import {JobsFleetLoad} from './JobsFleetLoad';
import {JobsPace} from './JobsPace';
import {type PackedEngine, type PackedPlan, planPackedItems} from './JobsPacking';
import {JobsPackingLog, type PackingStatus, type PreemptionCause} from './JobsPackingLog';
import {planItems} from './JobsPlan';
import {JobsProgress} from './JobsProgress';
import {JobsRoom} from './JobsRoom';
import {JobsRunner} from './JobsRunner';
import {countTasks, JobsTasks, type TaskCounts} from './JobsTasks';
import {JobsUrgency} from './JobsUrgency';

/** Runs open batch items on engine slots that online requests leave free, while this process leads the group. */
export class JobsDispatcher {
  private readonly bursts = new JobsBursts();
  private readonly engines: JobsEngineTracker;
  /** Load reports for optional features. */
  readonly fleetLoad: JobsFleetLoad;
  private lastPassAt: MonotonicMs = -Infinity;
  private isPassScheduled = false;
  private readonly log: JobsPackingLog;
  private readonly pace: JobsPace;
  private readonly progress: JobsProgress;
  private readonly room: JobsRoom;
  private readonly runner: JobsRunner;
  private stopped = false;
  private readonly tasks = new JobsTasks();
  /** Term in which the tasks were loaded; undefined while this process doesn't lead. */
  private term: Term | undefined;
  /** Active only while this process leads. */
  private timers: readonly NodeJS.Timeout[] = [];
  private readonly urgency: JobsUrgency;

  /**
   * @param options services of the process
   */
  constructor(private readonly options: JobsDispatcherOptions) {
    this.log = new JobsPackingLog({
      decide: options.decide,
      isOn: options.isOn,
      reserved: () => this.bursts.reserved(),
      slotsAt: (id) => {
        const engine = engineOf(options.view(), id);
        return engine === undefined ? undefined : this.engines.slotsAt(engine);
      },
    });
    this.pace = new JobsPace(options.clock);
    this.progress = new JobsProgress(options);
    this.urgency = new JobsUrgency(
      () => options.state().clockMs,
      () => options.isOn('fairShares'),
    );
    this.engines = new JobsEngineTracker({
      clock: options.clock,
      decide: (engine, fields) => options.decide('engineSurveyed', engine, fields),
      isLeading: () => this.isLeading(),
      onChange: () => this.schedulePass(),
      speedOf: (engine) => (options.isOn('engineSpeeds') ? this.fleetLoad.speeds.of(engine) : 1),
      tasks: this.tasks,
      urgency: this.urgency,
      view: options.view,
      wire: options.wire,
    });
    this.room = new JobsRoom({
      burstEndsInMs: (now) => this.bursts.burstEndsInMs(now),
      clock: options.clock,
      engines: () => this.engines.slotsByEngine(options.view()),
      started: () => this.online.started,
    });
    this.fleetLoad = new JobsFleetLoad({
      isOn: options.isOn,
      room: () => (this.isLeading() ? this.room.report() : undefined),
      runs: () => this.engines.runCounts(),
    });
    this.runner = new JobsRunner({
      engines: this.engines,
      hasFreshView: () => this.hasFreshView(),
      isLeading: () => this.isLeading(),
      runtime: {...options, decide: (...decision) => this.log.decide(...decision)},
      schedulePass: () => this.schedulePass(),
      tasks: this.tasks,
      term: () => this.term,
      urgency: this.urgency,
    });
  }

  /** Schedules a pass that starts and preempts items; calls before it runs are coalesced. */
  schedulePass(): void {
    if (this.isPassScheduled || this.stopped) {
      return;
    }
    this.isPassScheduled = true;
    const now = this.options.clock.monotonicMs();
    // A timer even where a pass is due now, as its delay is the length of a turn of the event loop; in whole milliseconds, as a
    // fraction wakes the process twice.
    const waitMs = Math.max(1, Math.ceil(this.lastPassAt + this.pace.passIntervalMs - now));
    const pass = (): void => {
      this.isPassScheduled = false;
      this.lastPassAt = this.options.clock.monotonicMs();
      this.pace.noteDelay(this.lastPassAt - now - waitMs);
      this.runPass();
    };
    setTimeout(pass, waitMs);
  }

  /**
   * Updates the online request counts of an entry VM and preempts runs for added requests at once.
   *
   * @param sender the reporting process
   * @param sequence sequence number of the report
   * @param own its online requests by engine
   */
  updateOnlineCounts(
    sender: string,
    sequence: number,
    own: Readonly<Record<EngineId, number>>,
  ): void {
    const increased = this.online.update(sender, sequence, own);
    if (this.isLeading()) {
      const view = this.options.view();
      increased.forEach((id) => this.preemptExcess(engineOf(view, id)));
    }
    this.schedulePass();
  }

  /** Cancels all runs and stops for good. */
  stop(): void {
    this.stopped = true;
    this.engines.stopSurvey();
    this.runner.stop();
    this.stopTimers();
    this.tasks.clear();
  }

  /** Numbers of waiting and running items. */
  counts(): {readonly running: number; readonly waiting: number} {
    const {ending, held, running, starting, waiting} = this.taskCounts();
    return {running, waiting: ending + held + starting + waiting};
  }

  /** Time that entry VMs leave between two reports, in milliseconds; grows as this process runs out of processor time. */
  get reportSpacingMs(): number {
    return this.pace.reportSpacingMs;
  }

  /** Mean delay of the latest passes, in milliseconds. */
  get delayMs(): number {
    return this.pace.delayMs;
  }

  /** State of the placement of items, for metrics. */
  packingStatus(): PackingStatus {
    const reserved = [...this.bursts.reserved().values()];
    return {
      burst: this.bursts.estimate,
      packedEngines: this.engines.runCounts().size,
      reservedSlots: reserved.reduce((sum, slots) => sum + slots, 0),
    };
  }

  /** Counts of the online requests of all entry VMs. */
  get online(): JobsOnlineCounts {
    return this.engines.online;
  }

  /** Engines that run items, none of which has brought an event lately. */
  stalledEngines(): readonly EngineId[] {
    return this.engines.stalled();
  }

  /** Replicates the output since the last save, so that the next leader can resume from it. */
  async saveProgress(): Promise<void> {
    if (this.isLeading()) {
      await this.progress.save(this.tasks.all(), () => this.isLeading());
    }
  }

  private runPass(): void {
    this.syncTerm();
    if (this.term === undefined) {
      if (this.options.leadership().kind === 'unsure') {
        // No event signals the moment at which a newly elected leader gets its lease, so it is polled.
        this.schedulePass();
      }
      return;
    }
    this.tasks.sync(this.options.state(), this.options.clock.monotonicMs());
    // Runs continue while the lease has lapsed: lapses are often short, and no other leader is known.
    if (!this.isLeading()) {
      return;
    }
    this.engines.startSurvey();
    const view = this.options.view();
    const now = this.options.clock.monotonicMs();
    const waiting = this.urgency.waitingItems(view, this.tasks.all(), now);
    const engines = this.engines.plannedEngines(view);
    this.observe(engines, now);
    const {forUrgent, fromSetApart, preemptions, starts} = this.plan(engines, waiting);
    const forOnline = preemptions.length - forUrgent.length - fromSetApart.length;
    this.preempt('restart', this.engines.runsOnRestartedEngines(view));
    this.preempt('online', preemptions.slice(0, forOnline));
    this.preempt('setApart', fromSetApart);
    this.preempt('urgent', forUrgent);
    // A stale view may list engines that have left.
    if (this.hasFreshView()) {
      // Items of earlier passes whose bodies are still being read count too: many may be ready in the same turn.
      const limit = Math.max(0, this.pace.startsPerPass - this.engines.readingCount());
      const started = starts.slice(0, limit);
      started.forEach(({engine, key}) => void this.runner.start(key, engine));
      if (starts.length > limit) {
        this.schedulePass();
      }
    }
  }

  /** Adds the load to what is learned of bursts. */
  private observe(engines: readonly PackedEngine[], now: MonotonicMs): void {
    const {isOn} = this.options;
    if (isOn('batchPacking') || isOn('admission') || isOn('fairShares')) {
      this.bursts.observe(engines, now);
    }
  }

  private preempt(cause: PreemptionCause, keys: readonly string[]): void {
    this.log.withCause(cause, () => keys.forEach((key) => this.runner.preempt(key)));
  }

  private plan(engines: readonly PackedEngine[], waiting: readonly PlannedItem[]): PackedPlan {
    if (!this.options.isOn('batchPacking')) {
      return {
        deferred: 0,
        forUrgent: [],
        fromSetApart: [],
        ...planItems(engines, waiting, RESERVED_SLOTS),
      };
    }
    const plan = planPackedItems({
      engines,
      // One more than a pass starts, so that another pass follows.
      maxStarts: this.pace.startsPerPass + 1,
      reserved: this.reservedSlots(),
      waiting,
    });
    if (plan.deferred > 0) {
      // No event signals that a run is past its expected end.
      this.schedulePass();
    }
    return plan;
  }

  /** Slots that items leave free: those for a burst, and one for each online request that waits. */
  private reservedSlots(): ReadonlyMap<string, number> {
    const {waiting} = this.fleetLoad.shares;
    return new Map(
      [...this.bursts.reserved()].map(([service, slots]) => [service, slots + waiting]),
    );
  }

  private preemptExcess(engine: EngineView | undefined): void {
    if (engine !== undefined) {
      const runs = this.options.isOn('batchPacking')
        ? this.engines.packedExcessAt(engine).runs
        : this.engines.excessRunsAt(engine);
      this.preempt(
        'online',
        runs.map(({key}) => key),
      );
    }
  }

  /** Whether the fleet view is recent enough to decide on items. */
  private hasFreshView(): boolean {
    return this.options.clock.monotonicMs() - this.options.view().asOf < MAX_VIEW_AGE_MS;
  }

  /** Whether this process holds the lease in the term in which the tasks were loaded. */
  private isLeading(): boolean {
    const leadership = this.options.leadership();
    return !this.stopped && leadership.kind === 'leads' && leadership.term === this.term;
  }

  /**
   * Term in which this process dispatches. A newly elected leader has applied all records of earlier leaders only once
   * it holds the lease; loading items sooner would resume them after an older event than the recorded one. A later
   * lapse of the lease keeps the term.
   */
  private activeTerm(): Term | undefined {
    const leadership = this.options.leadership();
    switch (leadership.kind) {
      case 'follows':
        return undefined;
      case 'leads':
        return leadership.term;
      case 'unsure':
        return leadership.term === this.term ? this.term : undefined;
      default:
        return unreachable(leadership);
    }
  }

  /** Discards all tasks when the term changes: another leader may have continued the same items since. */
  private syncTerm(): void {
    const term = this.stopped ? undefined : this.activeTerm();
    if (term === this.term) {
      return;
    }
    this.logTerm('dispatchEnded');
    this.tasks.clear();
    this.engines.stopSurvey();
    this.bursts.clear();
    this.room.clear();
    this.stopTimers();
    this.term = term;
    this.logTerm('dispatchBegan');
    if (term !== undefined) {
      this.timers = [
        setInterval(() => this.runMaintenance(), MAINTENANCE_INTERVAL_MS),
        setInterval(() => void this.saveProgress(), SAVE_INTERVAL_MS),
        setInterval(() => this.logLoad(), LOAD_LOG_INTERVAL_MS),
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

  /** Gives up expired items and those whose route was removed, and advances the group's clock. */
  private runMaintenance(): void {
    if (!this.isLeading()) {
      this.schedulePass();
      return;
    }
    const view = this.options.view();
    const {clockMs, open} = this.options.state();
    for (const task of this.hasFreshView() && view.config !== null ? [...this.tasks.all()] : []) {
      if (view.asOf < task.knownSince) {
        // The status may lack the route that accepted the item.
        continue;
      }
      const route = this.urgency.routeOf(view, task);
      if (route === undefined || clockMs - task.acceptedAt > route.giveUpAfterMs) {
        task.run?.run.cancel();
        this.runner.giveUp(task, route === undefined ? 'noRoute' : 'tooOld', route);
      }
    }
    if (open.size > 0) {
      this.options.propose({kind: 'tick'}).catch((err: unknown) => this.logTickFailure(err));
    }
    this.schedulePass();
  }

  private taskCounts(): TaskCounts {
    return countTasks(this.tasks.all(), this.options.clock.monotonicMs());
  }

  private logLoad(): void {
    const {delayMs, reportSpacingMs} = this.pace;
    const counts = this.taskCounts();
    if (Object.values(counts).some((count) => count > 0)) {
      const fields = {delayMs: Math.round(delayMs), reportSpacingMs, ...counts};
      this.options.decide('dispatchLoad', '', fields);
    }
  }

  private logTickFailure(err: unknown): void {
    this.options.decide('tickFailed', '', {reason: errorMessage(err)});
  }
}
