/** Replication of the output of running items. */
import {errorMessage} from 'stallpaddle';

import type {JobsDispatcherOptions} from './JobsContext';
import type {Task} from './JobsTasks';
import type {ProgressPart} from './JobsTypes';

import {TARGET_COMMAND_BYTES} from './JobsConstants';

function partOf(task: Task): ProgressPart {
  const {data, events, index, job, lastEvent, restarts, savedData, savedEvents, softwareVersion} =
    task;
  return {
    after: savedEvents,
    events: events - savedEvents,
    item: index,
    job: job.id,
    lastEvent,
    restarts: restarts === 0 ? undefined : restarts,
    softwareVersion,
    text: Buffer.from(data.slice(savedData).join('\n')),
  };
}

/** Skips events of a record whose outcome was unknown but that was committed. */
function skipRecorded(task: Task): void {
  const {events: recorded = 0, restarts = 0} = task.item.progress ?? {};
  if (restarts !== task.restarts) {
    return;
  }
  if (recorded > task.savedEvents) {
    // Entries of `data` after the recorded parts hold one event each.
    task.savedData += recorded - task.savedEvents;
    task.savedEvents = recorded;
  }
}

function unsavedBytesOf({data, savedData}: Task): number {
  let bytes = 0;
  for (let at = savedData; at < data.length; at++) {
    bytes += data[at]!.length;
  }
  return bytes;
}

/** The first items with unsaved output, up to the size of one command; at least one if there are any. */
function nextBatch(tasks: readonly Task[]): {
  readonly batch: readonly Task[];
  readonly rest: readonly Task[];
} {
  const batch: Task[] = [];
  let bytes = 0;
  let at = 0;
  for (; at < tasks.length && bytes < TARGET_COMMAND_BYTES; at++) {
    const task = tasks[at]!;
    if (!task.ending && task.events > task.savedEvents) {
      batch.push(task);
      bytes += unsavedBytesOf(task);
    }
  }
  return {batch, rest: tasks.slice(at)};
}

/** Saves the output of running items in the replicated state, so that the next leader can resume from it. */
export class JobsProgress {
  /** The save in progress. */
  private saving: Promise<void> | undefined;

  /**
   * @param options services of the process
   */
  constructor(private readonly options: Pick<JobsDispatcherOptions, 'decide' | 'propose'>) {}

  /**
   * Saves all items in batches, one after the other, so that submissions and ends of items are not delayed. Joins a
   * save that is already in progress.
   *
   * @param all all open items
   * @param maySave whether to continue with the next batch
   */
  save(all: Iterable<Task>, maySave: () => boolean): Promise<void> {
    this.saving ??= this.saveAll([...all], maySave).finally(() => {
      this.saving = undefined;
    });
    return this.saving;
  }

  private async saveAll(open: readonly Task[], maySave: () => boolean): Promise<void> {
    open.forEach(skipRecorded);
    let left = open;
    try {
      while (left.length > 0 && maySave()) {
        // Runs continue meanwhile: each batch holds their output up to its creation.
        const {batch, rest} = nextBatch(left);
        left = rest;
        if (batch.length > 0) {
          await this.record(batch);
        }
      }
    } catch (err) {
      this.options.decide('progressNotSaved', '', {left: left.length, reason: errorMessage(err)});
    }
  }

  private async record(tasks: readonly Task[]): Promise<void> {
    // Runs continue during the proposal: only the output that it holds counts as saved.
    const saved = tasks.map((task) => ({
      data: task.data.length,
      events: task.events,
      restarts: task.restarts,
      task,
    }));
    await this.options.propose({kind: 'saveProgress', parts: tasks.map(partOf)});
    saved.forEach(({data, events, restarts, task}) => {
      if (restarts === task.restarts) {
        task.savedData = data;
        task.savedEvents = events;
      }
    });
  }
}
