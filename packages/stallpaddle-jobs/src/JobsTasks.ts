/**
 * Items that have not ended, with what their runs brought so far. Runs are kept in memory only: what a
 * lost process had of them runs again.
 */
import type {EngineId, MonotonicMs} from 'stallpaddle';
import type {GroupMs} from 'stallpaddle-replication';

import type {ItemRun} from './JobsItemRun';
import type {ItemTrial} from './JobsQuarantine';
import type {Job, JobId, JobItem, JobsState} from './JobsTypes';

/** A run under way. */
export interface TaskRun {
  readonly engine: EngineId;
  /** Which of its engine's starts runs it: the time of day at which the engine says it started, in Unix milliseconds. */
  readonly engineStartMs: number;
  /** Events that this run has brought. */
  events: number;
  /** When its first event came; undefined before it. */
  firstEventAt: MonotonicMs | undefined;
  /** It has gone on past its begin, which speaks for its item. */
  isCleared: boolean;
  /** It gives way, and its end is on its way. */
  isPreempted: boolean;
  /** When its last event came, or its start. */
  lastEventAt: MonotonicMs;
  readonly run: ItemRun;
}

/** One item. */
export interface Task {
  readonly acceptedAt: GroupMs;
  body: Uint8Array | undefined;
  /** Data of the events so far; the recorded parts are one entry each once they were read. */
  data: string[];
  /** What the item's request is, whatever its run; worked out only while there are suspects. */
  digest: string | undefined;
  /** Its end was proposed and waits to be recorded. */
  ending: boolean;
  /** Number of events so far. */
  events: number;
  readonly index: number;
  item: JobItem;
  readonly job: Job;
  readonly key: string;
  lastEvent: string | null;
  /** It is not tried before. */
  notBefore: MonotonicMs;
  run: TaskRun | undefined;
  /** Entries of `data` that are recorded. */
  savedData: number;
  /** Events that are recorded. */
  savedEvents: number;
  /** Its next run while it is held off the engines; undefined before. */
  trial: ItemTrial | undefined;
  /** Engine for which a run is being prepared. */
  startsAt: EngineId | undefined;
}

function taskOf(job: Job, index: number): Task {
  const item = job.items[index]!;
  const {events = 0, lastEvent = null} = item.progress ?? {};
  return {
    acceptedAt: job.acceptedAt,
    body: undefined,
    data: [],
    digest: undefined,
    ending: false,
    events,
    index,
    item,
    job,
    key: `${job.id}/${index}`,
    lastEvent,
    notBefore: -Infinity,
    run: undefined,
    savedData: 0,
    savedEvents: events,
    startsAt: undefined,
    trial: undefined,
  };
}

/** All open items of a group. */
export class JobsTasks {
  /** Items that run or begin, by engine. */
  private readonly byEngine = new Map<EngineId, Set<Task>>();
  private readonly known = new Map<JobId, Job>();
  private readonly tasks = new Map<string, Task>();

  /** All items. */
  all(): IterableIterator<Task> {
    return this.tasks.values();
  }

  /**
   * An item by its key.
   *
   * @param key job and place
   */
  get(key: string): Task | undefined {
    return this.tasks.get(key);
  }

  /**
   * Items that run at an engine or begin there.
   *
   * @param engine the engine
   */
  at(engine: EngineId): readonly Task[] {
    return [...(this.byEngine.get(engine) ?? [])];
  }

  /**
   * Counts an item at an engine, from the moment it is given to it.
   *
   * @param task the item
   * @param engine the engine
   * @returns ends the count
   */
  registerAt(task: Task, engine: EngineId): () => void {
    const tasks = this.byEngine.get(engine) ?? new Set<Task>();
    this.byEngine.set(engine, tasks);
    tasks.add(task);
    return () => {
      tasks.delete(task);
      if (tasks.size === 0 && this.byEngine.get(engine) === tasks) {
        this.byEngine.delete(engine);
      }
    };
  }

  /**
   * Takes in the group's state: new items are added; runs of items that have ended are cut.
   *
   * @param state the group's state
   */
  follow(state: JobsState): void {
    for (const id of state.open.keys()) {
      const job = state.jobs.get(id)!;
      if (this.known.get(id) !== job) {
        this.known.set(id, job);
        this.followJob(job);
      }
    }
    for (const id of this.known.keys()) {
      if (!state.open.has(id)) {
        this.forgetJob(id);
      }
    }
  }

  /** Cuts all runs and forgets everything. */
  clear(): void {
    for (const id of this.known.keys()) {
      this.forgetJob(id);
    }
  }

  private followJob(job: Job): void {
    job.items.forEach((item, index) => {
      const key = `${job.id}/${index}`;
      const task = this.tasks.get(key);
      if (item.outcome !== null) {
        this.forget(key);
      } else if (task === undefined) {
        this.tasks.set(key, taskOf(job, index));
      } else {
        task.item = item;
      }
    });
  }

  private forgetJob(id: JobId): void {
    this.known.get(id)?.items.forEach((_, index) => this.forget(`${id}/${index}`));
    this.known.delete(id);
  }

  private forget(key: string): void {
    const task = this.tasks.get(key);
    if (task === undefined) {
      return;
    }
    task.run?.run.cancel();
    this.tasks.delete(key);
    const engine = task.run?.engine ?? task.startsAt;
    if (engine !== undefined) {
      this.byEngine.get(engine)?.delete(task);
    }
  }
}
