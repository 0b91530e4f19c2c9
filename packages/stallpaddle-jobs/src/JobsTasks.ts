/** Open items of a group and their runs. */
import type {EngineId, MonotonicMs} from 'stallpaddle';
import type {GroupMs} from 'stallpaddle-replication';

import type {ItemRun} from './JobsItemRun';
import type {Job, JobId, JobItem, JobsState} from './JobsTypes';

/** A run in progress. */
export interface TaskRun {
  readonly engine: EngineId;
  /** Start time of the engine process that runs it, as reported by the engine, in Unix milliseconds. */
  readonly engineStartMs: number;
  /** Number of events received in this run. */
  events: number;
  /** Time of the first event; undefined before it. */
  firstEventAt: MonotonicMs | undefined;
  /** The run got past its beginning. */
  isCleared: boolean;
  /** The run was preempted and is about to end. */
  isPreempted: boolean;
  /** Time of the last event, or of the start. */
  lastEventAt: MonotonicMs;
  readonly run: ItemRun;
  /** Version of the engine's software, once the engine was confirmed as the start that was selected. */
  softwareVersion: string;
}

/** An open item with its output so far; unsaved output is lost with the process. */
export interface Task {
  readonly acceptedAt: GroupMs;
  body: Uint8Array | undefined;
  /** Data of the events so far: one entry per recorded part that was read, then one per event. */
  data: string[];
  /** Its end is queued or proposed, but not recorded yet. */
  ending: boolean;
  /** Number of engines that ended, one after the other, while they began to run it. */
  endedEngines: number;
  /** Number of runs that failed, also of those that are not recorded yet. */
  failures: number;
  /** Quarantined parts that hold it, as last logged. */
  heldBy: string | undefined;
  /** Number of events of all runs so far. */
  events: number;
  readonly index: number;
  item: JobItem;
  readonly job: Job;
  readonly key: string;
  /** When this dispatcher learned of it, which is later than its acceptance. */
  readonly knownSince: MonotonicMs;
  lastEvent: string | null;
  /** Earliest time of the next run. */
  notBefore: MonotonicMs;
  /** Number of times that the output was discarded. */
  restarts: number;
  run: TaskRun | undefined;
  /** Number of entries of `data` that are recorded. */
  savedData: number;
  /** Number of events that are recorded. */
  savedEvents: number;
  /** Parts of its prompt that other requests may share; undefined until they are read. */
  sharedParts: readonly string[] | undefined;
  /** Version of the engine software that wrote the output; undefined before the first event, and where it is unknown. */
  softwareVersion: string | undefined;
  /** Quarantined parts whose trial it is; undefined once an engine has run it. */
  triedParts: string | undefined;
  /** Engine on which it is starting: its body is read, or its trial is asked for. */
  startingOn: EngineId | undefined;
}

/** Numbers of open items; each item counts once. */
export interface TaskCounts {
  /** Its end is being recorded. */
  readonly ending: number;
  /** Waits until a time: for quarantined parts, after a failure, or until its engine is checked. */
  readonly held: number;
  readonly running: number;
  /** Its body is being read, or its trial is asked for. */
  readonly starting: number;
  /** Waits for a slot. */
  readonly waiting: number;
}

/**
 * Counts items by their state.
 *
 * @param tasks the items
 * @param now the current time
 */
export function countTasks(tasks: Iterable<Task>, now: MonotonicMs): TaskCounts {
  const counts = {ending: 0, held: 0, running: 0, starting: 0, waiting: 0};
  for (const {ending, notBefore, run, startingOn} of tasks) {
    if (ending) {
      counts.ending++;
    } else if (run !== undefined) {
      counts.running++;
    } else if (startingOn !== undefined) {
      counts.starting++;
    } else if (now < notBefore) {
      counts.held++;
    } else {
      counts.waiting++;
    }
  }
  return counts;
}

function taskOf(job: Job, index: number, knownSince: MonotonicMs): Task {
  const item = job.items[index]!;
  const {events = 0, lastEvent = null, restarts = 0, softwareVersion} = item.progress ?? {};
  return {
    acceptedAt: job.acceptedAt,
    body: undefined,
    data: [],
    endedEngines: 0,
    ending: false,
    events,
    failures: item.failures,
    heldBy: undefined,
    index,
    item,
    job,
    key: `${job.id}/${index}`,
    knownSince,
    lastEvent,
    notBefore: -Infinity,
    restarts,
    run: undefined,
    savedData: 0,
    savedEvents: events,
    sharedParts: undefined,
    softwareVersion,
    startingOn: undefined,
    triedParts: undefined,
  };
}

/**
 * Discards an item's output, so that its next run begins anew.
 *
 * @param task the item, not running
 */
export function restartTask(task: Task): void {
  task.data = [];
  task.events = 0;
  task.lastEvent = null;
  task.restarts++;
  task.savedData = 0;
  task.savedEvents = 0;
  task.softwareVersion = undefined;
}

/** Keeps the open items of the group in step with its state, and which engine each one runs on. */
export class JobsTasks {
  /** Items that run or start, by engine. */
  private readonly byEngine = new Map<EngineId, Set<Task>>();
  /** Numbers of those items; undefined after a change. */
  private counts: ReadonlyMap<EngineId, number> | undefined;
  private readonly jobs = new Map<JobId, Job>();
  private readonly tasks = new Map<string, Task>();

  /** All items. */
  all(): IterableIterator<Task> {
    return this.tasks.values();
  }

  /**
   * An item by its key.
   *
   * @param key id of the job and index of the item
   */
  get(key: string): Task | undefined {
    return this.tasks.get(key);
  }

  /**
   * Items that run or start on an engine.
   *
   * @param engine the engine
   */
  assignedTo(engine: EngineId): readonly Task[] {
    return [...(this.byEngine.get(engine) ?? [])];
  }

  /** Number of items that run or start, by engine; the same object until a number changes. */
  assignedCounts(): ReadonlyMap<EngineId, number> {
    this.counts ??= new Map(
      [...this.byEngine]
        .filter(([, tasks]) => tasks.size > 0)
        .map(([engine, tasks]) => [engine, tasks.size]),
    );
    return this.counts;
  }

  /**
   * Assigns an item to an engine.
   *
   * @param task the item
   * @param engine the engine
   * @returns releases the item again
   */
  assign(task: Task, engine: EngineId): () => void {
    const tasks = this.byEngine.get(engine) ?? new Set<Task>();
    this.byEngine.set(engine, tasks);
    tasks.add(task);
    this.counts = undefined;
    return () => {
      tasks.delete(task);
      this.counts = undefined;
      if (tasks.size === 0 && this.byEngine.get(engine) === tasks) {
        this.byEngine.delete(engine);
      }
    };
  }

  /**
   * Updates the items to the group's state: adds new items, and cancels runs of items that have ended.
   *
   * @param state the group's state
   * @param now the current time
   */
  sync(state: JobsState, now: MonotonicMs): void {
    for (const id of state.open.keys()) {
      const job = state.jobs.get(id)!;
      if (this.jobs.get(id) !== job) {
        this.jobs.set(id, job);
        this.syncJob(job, now);
      }
    }
    for (const id of this.jobs.keys()) {
      if (!state.open.has(id)) {
        this.removeJob(id);
      }
    }
  }

  /** Cancels all runs and removes all items. */
  clear(): void {
    for (const id of this.jobs.keys()) {
      this.removeJob(id);
    }
  }

  private syncJob(job: Job, now: MonotonicMs): void {
    job.items.forEach((item, index) => {
      const key = `${job.id}/${index}`;
      const task = this.tasks.get(key);
      if (item.outcome !== null) {
        this.remove(key);
      } else if (task === undefined) {
        this.tasks.set(key, taskOf(job, index, now));
      } else {
        task.item = item;
      }
    });
  }

  private removeJob(id: JobId): void {
    this.jobs.get(id)?.items.forEach((_, index) => this.remove(`${id}/${index}`));
    this.jobs.delete(id);
  }

  private remove(key: string): void {
    const task = this.tasks.get(key);
    if (task === undefined) {
      return;
    }
    task.run?.run.cancel();
    this.tasks.delete(key);
    const engine = task.run?.engine ?? task.startingOn;
    if (engine !== undefined) {
      this.byEngine.get(engine)?.delete(task);
      this.counts = undefined;
    }
  }
}
