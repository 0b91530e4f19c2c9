/**
 * What a dispatcher knows of the engines: who is silent or fails, what entry VMs and lost dispatchers have there, and
 * what its own items take.
 */
import type {EngineId, LogFields, MonotonicMs} from 'stallpaddle';
import type {EngineView, FleetView} from 'stallpaddle-fleet';

import {type EngineStart, isSound, RelayExperience} from 'stallpaddle-relay';

import type {JobsDispatcherOptions} from './JobsContext';
import type {PlannedEngine, PlannedRun} from './JobsPlan';
import type {JobsTasks, Task} from './JobsTasks';
import type {JobsUrgency} from './JobsUrgency';

import {ENGINE_STALL_MS, MIN_PASS_INTERVAL_MS} from './JobsConstants';
import {JobsOnlineCounts} from './JobsOnlineCounts';
import {excessRuns} from './JobsPlan';
import {JobsSurvey} from './JobsSurvey';

/** What it needs of its dispatcher. */
export interface JobsEngineTrackerOptions extends Pick<
  JobsDispatcherOptions,
  'clock' | 'view' | 'wire'
> {
  readonly decide: (engine: EngineId, fields: LogFields) => void;
  /** Whether this dispatcher may decide. */
  readonly mayDecide: () => boolean;
  /** Called when an engine's room is known, or has changed. */
  readonly onChange: () => void;
  readonly tasks: JobsTasks;
  readonly urgency: JobsUrgency;
}

/** What the last look found silent, and when. */
interface Silence {
  readonly at: MonotonicMs;
  readonly engines: readonly EngineId[];
}

function plannedRun(task: Task): Omit<PlannedRun, 'late'> {
  return {events: task.run?.events ?? 0, key: task.key};
}

/** See the module's comment. */
export class JobsEngineTracker {
  private readonly experience: RelayExperience;
  /** Online requests of all entry VMs. */
  readonly online: JobsOnlineCounts;
  private silence: Silence = {at: -Infinity, engines: []};
  private survey: JobsSurvey | undefined;

  /**
   * @param options what it needs of its dispatcher
   */
  constructor(private readonly options: JobsEngineTrackerOptions) {
    this.experience = new RelayExperience(options.clock);
    this.online = new JobsOnlineCounts(options.clock);
  }

  /** Whoever begins to lead asks the engines what they hold: its predecessor may have left runs there. */
  startSurvey(): void {
    const {decide, mayDecide, onChange, view, wire} = this.options;
    const {engines} = view().news;
    if (this.survey !== undefined || engines.length === 0) {
      return;
    }
    this.survey = new JobsSurvey({
      decide,
      engines,
      isLeft: (requestId, engine) => this.isLeft(requestId, engine),
      mayDecide,
      onChange,
      online: this.online,
      runsAt: (engine) => this.runsAt(engine),
      wire,
    });
  }

  /** Ends the survey; the next start asks anew. */
  stopSurvey(): void {
    this.survey?.stop();
    this.survey = undefined;
  }

  /**
   * Notes how a run at an engine went.
   *
   * @param start the engine, as it was when the run began
   * @param ok whether the engine did its part
   */
  note(start: EngineStart, ok: boolean): void {
    this.experience.note(start, ok);
  }

  /**
   * Items whose engine has started again since their run began: it knows nothing of them, and may never say so.
   *
   * @param view what is known of the fleet
   */
  outlived(view: FleetView): readonly string[] {
    const starts = new Map(view.news.engines.map(({id, startedAtMs}) => [id, startedAtMs]));
    return [...this.options.tasks.all()]
      .filter(({run}) => run !== undefined && run.engineStartMs < (starts.get(run.engine) ?? 0))
      .map(({key}) => key);
  }

  /** Engines all of whose items have fallen silent; found anew after some milliseconds, not for each that asks. */
  silent(): readonly EngineId[] {
    const now = this.options.clock.monotonicMs();
    if (now - this.silence.at >= MIN_PASS_INTERVAL_MS) {
      this.silence = {at: now, engines: this.findSilent(now)};
    }
    return this.silence.engines;
  }

  /**
   * Runs beyond an engine's slots, which give way.
   *
   * @param engine the engine
   */
  excessAt({id, slots}: EngineView): readonly Omit<PlannedRun, 'late'>[] {
    const runs = this.options.tasks.at(id).map(plannedRun);
    return excessRuns({online: this.online.at(id), runs, slots});
  }

  /** Number of items whose bodies are being read, so that their runs can begin. */
  beginning(): number {
    return [...this.options.tasks.all()].filter(({startsAt}) => startsAt !== undefined).length;
  }

  private findSilent(now: MonotonicMs): readonly EngineId[] {
    const oldest = now - ENGINE_STALL_MS;
    const heard = new Map<EngineId, boolean>();
    for (const {run} of this.options.tasks.all()) {
      if (run !== undefined) {
        heard.set(run.engine, (heard.get(run.engine) ?? false) || run.lastEventAt > oldest);
      }
    }
    return [...heard].filter(([, isHeard]) => !isHeard).map(([engine]) => engine);
  }

  /**
   * All engines with what they have to do.
   *
   * @param view what is known of the fleet
   */
  planned(view: FleetView): readonly PlannedEngine[] {
    const now = this.options.clock.monotonicMs();
    const totals = this.online.totals();
    const silent = new Set(this.silent());
    const runs = this.runsByEngine(view);
    return view.news.engines.map((engine) => ({
      id: engine.id,
      online: totals[engine.id] ?? 0,
      runs: runs.get(engine.id) ?? [],
      service: engine.service,
      slots: engine.slots,
      usable:
        !engine.draining &&
        !silent.has(engine.id) &&
        this.survey?.isPending(engine.id) !== true &&
        isSound(engine, this.experience.of(engine), now),
    }));
  }

  private runsByEngine(view: FleetView): ReadonlyMap<EngineId, readonly PlannedRun[]> {
    const {tasks, urgency} = this.options;
    const runs = new Map<EngineId, PlannedRun[]>();
    for (const task of tasks.all()) {
      const {run, startsAt} = task;
      const engine = run?.engine ?? startsAt;
      if (engine !== undefined) {
        const late = urgency.slackMs(view, task) < 0;
        const known = runs.get(engine) ?? [];
        known.push({...plannedRun(task), late});
        runs.set(engine, known);
      }
    }
    return runs;
  }

  private isLeft(requestId: string, engine: EngineId): boolean {
    const tasks = [...this.options.tasks.all()].filter(({item}) => item.id === requestId);
    return tasks.length > 0 && tasks.every(({run}) => run?.engine !== engine);
  }

  private runsAt(engine: EngineId): number {
    return this.options.tasks.at(engine).filter(({run}) => run !== undefined).length;
  }
}
