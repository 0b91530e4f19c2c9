/**
 * Records what runs have brought since the last record, so that the next leader can go on from there.
 */
import {errorMessage} from 'stallpaddle';

import type {JobsDispatcherOptions} from './JobsContext';
import type {Task} from './JobsTasks';
import type {ProgressPart} from './JobsTypes';

import {TARGET_COMMAND_BYTES} from './JobsConstants';

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

function bytesOf({data, savedData}: Task): number {
  let bytes = 0;
  for (let at = savedData; at < data.length; at++) {
    bytes += data[at]!.length;
  }
  return bytes;
}

/** The first items that have something to record, up to the size of one record; at least one. */
function nextPiece(tasks: readonly Task[]): {
  readonly piece: readonly Task[];
  readonly rest: readonly Task[];
} {
  const piece: Task[] = [];
  let bytes = 0;
  let at = 0;
  for (; at < tasks.length && bytes < TARGET_COMMAND_BYTES; at++) {
    const task = tasks[at]!;
    if (!task.ending && task.events > task.savedEvents) {
      piece.push(task);
      bytes += bytesOf(task);
    }
  }
  return {piece, rest: tasks.slice(at)};
}

/** See the module's comment. */
export class JobsProgress {
  /** The save under way. */
  private saving: Promise<void> | undefined;

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: Pick<JobsDispatcherOptions, 'decide' | 'propose'>) {}

  /**
   * Records all items in pieces, one after the other, so that submissions and ends of items go between them. While
   * another save is under way this waits for that one.
   *
   * @param all all open items
   * @param maySave whether to go on with the next piece
   */
  save(all: Iterable<Task>, maySave: () => boolean): Promise<void> {
    this.saving ??= this.saveAll([...all], maySave).finally(() => {
      this.saving = undefined;
    });
    return this.saving;
  }

  private async saveAll(open: readonly Task[], maySave: () => boolean): Promise<void> {
    open.forEach(catchUp);
    let left = open;
    try {
      while (left.length > 0 && maySave()) {
        // Runs go on meanwhile: each piece holds what they have brought until it is made.
        const {piece, rest} = nextPiece(left);
        left = rest;
        if (piece.length > 0) {
          await this.record(piece);
        }
      }
    } catch (err) {
      this.options.decide('progressNotSaved', '', {left: left.length, reason: errorMessage(err)});
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
