/** Engine state for planning batch items. */
import type {EngineId, LogFields, MonotonicMs} from 'stallpaddle';
import type {EngineView, FleetView} from 'stallpaddle-fleet';

import {type EngineIncarnation, isHealthy, RelayEngineHealth} from 'stallpaddle-relay';

import type {JobsDispatcherOptions} from './JobsContext';
import type {PlannedRun} from './JobsPlan';
import type {JobsTasks, Task} from './JobsTasks';
import type {JobsUrgency} from './JobsUrgency';

import {ENGINE_STALL_MS} from './JobsConstants';
import {JobsOnlineCounts} from './JobsOnlineCounts';
import {MIN_PASS_INTERVAL_MS} from './JobsPace';
import {type EngineExcess, type PackedEngine, packedExcess} from './JobsPacking';
import {excessRuns} from './JobsPlan';
import {JobsSurvey} from './JobsSurvey';

/** Interface between the tracker and its dispatcher. */
export interface JobsEngineTrackerOptions extends Pick<
  JobsDispatcherOptions,
  'clock' | 'view' | 'wire'
> {
  readonly decide: (engine: EngineId, fields: LogFields) => void;
  /** Whether this process holds the lease in the term of the tasks. */
  readonly isLeading: () => boolean;
  /** Called when an engine's free capacity becomes known or changes. */
  readonly onChange: () => void;
  /** Speed of an engine as a factor of its service's median. */
  readonly speedOf: (engine: EngineId) => number;
  readonly tasks: JobsTasks;
  readonly urgency: JobsUrgency;
}

/** Engines that the last check found stalled, and its time. */
interface StallCheck {
  readonly at: MonotonicMs;
  readonly engines: readonly EngineId[];
}

/** Number of engines' slots by use. */
export interface EngineSlots {
  readonly id: EngineId;
  /** Runs of batch items. */
  readonly items: number;
  /** Online requests of all entry VMs. */
  readonly online: number;
  readonly service: string;
  readonly slots: number;
  readonly softwareVersion: string;
  readonly speed: number;
  /** False while the engine is draining, failing or unreachable. */
  readonly usable: boolean;
}

/** Tracks which engines are stalled or failing and how many of their slots online requests and batch items occupy. */
export class JobsEngineTracker {
  private readonly engineHealth: RelayEngineHealth;
  /** Counts of the online requests of all entry VMs. */
  readonly online: JobsOnlineCounts;
  private lastStallCheck: StallCheck = {at: -Infinity, engines: []};
  private survey: JobsSurvey | undefined;

  /**
   * @param options services of the dispatcher
   */
  constructor(private readonly options: JobsEngineTrackerOptions) {
    this.engineHealth = new RelayEngineHealth(options.clock);
    this.online = new JobsOnlineCounts(options.clock);
  }

  /** Starts the survey of a new leader: earlier leaders may have left runs on the engines. */
  startSurvey(): void {
    const {decide, isLeading, onChange, view, wire} = this.options;
    const {engines} = view().news;
    if (this.survey !== undefined || engines.length === 0) {
      return;
    }
    this.survey = new JobsSurvey({
      decide,
      engines,
      isAbandoned: (requestId, engine) => this.isAbandoned(requestId, engine),
      isLeading,
      onChange,
      online: this.online,
      runsAt: (engine) => this.runCountAt(engine),
      wire,
    });
  }

  /** Stops the survey; the next start runs a new one. */
  stopSurvey(): void {
    this.survey?.stop();
    this.survey = undefined;
  }

  /**
   * Records whether a run on an engine succeeded.
   *
   * @param start the engine when the run began
   * @param ok whether the engine behaved correctly
   */
  recordOutcome(start: EngineIncarnation, ok: boolean): void {
    this.engineHealth.recordAttempt(start, ok);
  }

  /**
   * Items whose engine has restarted since their run began. The engine has lost them, but their connections may stay
   * open.
   *
   * @param view the fleet view
   */
  runsOnRestartedEngines(view: FleetView): readonly string[] {
    const starts = new Map(view.news.engines.map(({id, startedAtMs}) => [id, startedAtMs]));
    return [...this.options.tasks.all()]
      .filter(({run}) => run !== undefined && run.engineStartMs < (starts.get(run.engine) ?? 0))
      .map(({key}) => key);
  }

  /** Engines that run items, none of which has brought an event lately; cached for a few milliseconds. */
  stalled(): readonly EngineId[] {
    const now = this.options.clock.monotonicMs();
    if (now - this.lastStallCheck.at >= MIN_PASS_INTERVAL_MS) {
      this.lastStallCheck = {at: now, engines: this.findStalled(now)};
    }
    return this.lastStallCheck.engines;
  }

  /**
   * Runs that exceed an engine's slots and are to be preempted.
   *
   * @param engine the engine
   */
  excessRunsAt({id, slots}: EngineView): readonly Omit<PlannedRun, 'late'>[] {
    return excessRuns({online: this.online.at(id), runs: this.runsAt(id), slots});
  }

  /**
   * The same where items are packed.
   *
   * @param engine the engine
   */
  packedExcessAt({id, slots}: EngineView): EngineExcess {
    return packedExcess({online: this.online.at(id), runs: this.runsAt(id), slots});
  }

  private runsAt(id: EngineId): readonly Omit<PlannedRun, 'late'>[] {
    const now = this.options.clock.monotonicMs();
    return this.options.tasks.assignedTo(id).map((task) => this.plannedRun(task, now));
  }

  private plannedRun(task: Task, now: MonotonicMs): Omit<PlannedRun, 'late'> {
    const {events, item, job, key, run, savedEvents} = task;
    const {speedOf, urgency} = this.options;
    const speed = run === undefined ? 1 : speedOf(run.engine);
    const remainingMs = urgency.estimates.remainingMs(job.route, events, speed);
    const hasEstimate = run !== undefined && remainingMs > 0;
    return {
      endsInMs: hasEstimate ? run.lastEventAt + remainingMs - now : undefined,
      events: run?.events ?? 0,
      isPreempted: run?.isPreempted ?? false,
      isStarting: run === undefined,
      key,
      unrecorded: events - Math.max(savedEvents, item.progress?.events ?? 0),
    };
  }

  /** Number of items whose bodies are being read; those that wait for the answer to a trial delay no others. */
  readingCount(): number {
    return [...this.options.tasks.all()].filter(
      ({body, startingOn}) => startingOn !== undefined && body === undefined,
    ).length;
  }

  private findStalled(now: MonotonicMs): readonly EngineId[] {
    const oldest = now - ENGINE_STALL_MS;
    const active = new Map<EngineId, boolean>();
    for (const {run} of this.options.tasks.all()) {
      if (run !== undefined) {
        active.set(run.engine, (active.get(run.engine) ?? false) || run.lastEventAt > oldest);
      }
    }
    return [...active].filter(([, isActive]) => !isActive).map(([engine]) => engine);
  }

  /**
   * All engines with their load.
   *
   * @param view the fleet view
   */
  plannedEngines(view: FleetView): readonly PackedEngine[] {
    const runs = this.runsByEngine(view);
    return this.slotsByEngine(view).map(({items: _, ...engine}) => ({
      ...engine,
      runs: runs.get(engine.id) ?? [],
    }));
  }

  /**
   * Use of the slots of all engines.
   *
   * @param view the fleet view
   */
  slotsByEngine(view: FleetView): readonly EngineSlots[] {
    const now = this.options.clock.monotonicMs();
    const stalled = new Set(this.stalled());
    return view.news.engines.map((engine) => ({
      ...this.slotsAt(engine),
      usable:
        !engine.draining &&
        !stalled.has(engine.id) &&
        this.survey?.isPending(engine.id) !== true &&
        isHealthy(engine, this.engineHealth.of(engine), now),
    }));
  }

  /**
   * Use of the slots of an engine.
   *
   * @param engine the engine
   */
  slotsAt({id, service, slots, softwareVersion}: EngineView): Omit<EngineSlots, 'usable'> {
    return {
      id,
      items: this.runCounts().get(id) ?? 0,
      online: this.online.at(id),
      service,
      slots,
      softwareVersion,
      speed: this.options.speedOf(id),
    };
  }

  private runsByEngine(view: FleetView): ReadonlyMap<EngineId, readonly PlannedRun[]> {
    const {clock, tasks, urgency} = this.options;
    const now = clock.monotonicMs();
    const runs = new Map<EngineId, PlannedRun[]>();
    for (const task of tasks.all()) {
      const {run, startingOn} = task;
      const engine = run?.engine ?? startingOn;
      if (engine !== undefined) {
        const late = urgency.slackMs(view, task) < 0;
        const known = runs.get(engine) ?? [];
        known.push({...this.plannedRun(task, now), late});
        runs.set(engine, known);
      }
    }
    return runs;
  }

  /** Number of runs by engine, including those that are starting; the same object until a number changes. */
  runCounts(): ReadonlyMap<EngineId, number> {
    return this.options.tasks.assignedCounts();
  }

  private isAbandoned(requestId: string, engine: EngineId): boolean {
    const tasks = [...this.options.tasks.all()].filter(({item}) => item.id === requestId);
    return tasks.length > 0 && tasks.every(({run}) => run?.engine !== engine);
  }

  private runCountAt(engine: EngineId): number {
    return this.options.tasks.assignedTo(engine).filter(({run}) => run !== undefined).length;
  }
}
