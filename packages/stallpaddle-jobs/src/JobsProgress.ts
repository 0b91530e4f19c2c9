/**
 * Records what runs have brought since the last record, so that the next leader can go on from there.
 */
import {errorMessage} from 'stallpaddle';

import type {JobsDispatcherOptions} from './JobsContext';
import type {Task} from './JobsTasks';
import type {ProgressPart} from './JobsTypes';

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

/** A record whose outcome was unknown may stand after all: what is recorded is not recorded again. */
function catchUp(task: Task): void {
  const recorded = task.item.progress?.events ?? 0;
  if (recorded > task.savedEvents) {
    // After the recorded parts, each event is one entry.
    task.savedData += recorded - task.savedEvents;
    task.savedEvents = recorded;
  }
}

/** See the module's comment. */
export class JobsProgress {
  private saving = false;

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: Pick<JobsDispatcherOptions, 'decide' | 'propose'>) {}

  /**
   * Makes one record for all items; does nothing while another is under way.
   *
   * @param all all open items
   */
  async save(all: Iterable<Task>): Promise<void> {
    if (this.saving) {
      return;
    }
    this.saving = true;
    try {
      const open = [...all];
      open.forEach(catchUp);
      const tasks = open.filter(({ending, events, savedEvents}) => !ending && events > savedEvents);
      if (tasks.length > 0) {
        await this.record(tasks);
      }
    } catch (err) {
      this.options.decide('progressNotSaved', '', {reason: errorMessage(err)});
    } finally {
      this.saving = false;
    }
  }

  private async record(tasks: readonly Task[]): Promise<void> {
    // While the record is made, runs go on: only what it holds is saved.
    const saved = tasks.map((task) => ({data: task.data.length, events: task.events, task}));
    await this.options.propose({kind: 'saveProgress', parts: tasks.map(partOf)});
    saved.forEach(({data, events, task}) => {
      task.savedData = data;
      task.savedEvents = events;
    });
  }
}
