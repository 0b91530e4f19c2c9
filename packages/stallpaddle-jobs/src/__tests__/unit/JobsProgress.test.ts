/** Saving the output of many runs in batches. */
import {delay} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import type {Task} from '../../JobsTasks';
import type {JobsChange, ProgressPart} from '../../JobsTypes';

import {TARGET_COMMAND_BYTES} from '../../JobsConstants';
import {JobsProgress} from '../../JobsProgress';

const EVENT = 'x'.repeat(1_000);
const EVENTS = 20;

function taskOf(index: number): Task {
  return {
    data: Array.from({length: EVENTS}, () => EVENT),
    ending: false,
    events: EVENTS,
    index,
    item: {progress: null},
    job: {id: 'job'},
    lastEvent: String(EVENTS),
    savedData: 0,
    savedEvents: 0,
  } as never as Task;
}

interface Recorder {
  readonly batches: (readonly ProgressPart[])[];
  readonly progress: JobsProgress;
  /** Maximum number of concurrent proposals. */
  readonly seen: {most: number};
}

function startRecorder(failAt = Infinity): Recorder {
  const batches: (readonly ProgressPart[])[] = [];
  const seen = {most: 0};
  let concurrent = 0;
  const progress = new JobsProgress({
    decide: () => {},
    propose: async (change: JobsChange) => {
      seen.most = Math.max(seen.most, ++concurrent);
      await delay(1);
      concurrent--;
      if (batches.length === failAt) {
        throw new Error('the outcome is unknown');
      }
      batches.push(change.kind === 'saveProgress' ? change.parts : []);
    },
  });
  return {batches, progress, seen};
}

function bytesOf(batch: readonly ProgressPart[]): number {
  return batch.reduce((sum, {text}) => sum + text.length, 0);
}

describe('JobsProgress', () => {
  test('saves all output in batches of bounded size, one after the other', async () => {
    const {batches, progress, seen} = startRecorder();
    const tasks = Array.from({length: 40}, (_, at) => taskOf(at));
    await Promise.all([progress.save(tasks, () => true), progress.save(tasks, () => true)]);
    const largest = EVENTS * (EVENT.length + 1);
    batches.forEach((batch) => expect(bytesOf(batch)).toBeLessThan(TARGET_COMMAND_BYTES + largest));
    expect(batches.flat().map(({item}) => item)).toEqual(tasks.map(({index}) => index));
    expect(tasks.every(({savedEvents}) => savedEvents === EVENTS)).toBe(true);
    expect(seen.most).toBe(1);
  });

  test('saves nothing twice, and events that arrive during a save with the next one', async () => {
    const {batches, progress} = startRecorder();
    const tasks = Array.from({length: 8}, (_, at) => taskOf(at));
    const first = progress.save(tasks, () => true);
    tasks.forEach((task) => {
      task.data.push('late');
      task.events++;
    });
    await first;
    await progress.save(tasks, () => true);
    await progress.save(tasks, () => true);
    const events = new Map<number, number>();
    for (const {after, events: count, item} of batches.flat()) {
      expect(after).toBe(events.get(item) ?? 0);
      events.set(item, after + count);
    }
    expect([...events.values()]).toEqual(tasks.map(() => EVENTS + 1));
  });

  test('stops after a failed batch, and when it may not continue', async () => {
    const failing = startRecorder(2);
    const tasks = Array.from({length: 40}, (_, at) => taskOf(at));
    await failing.progress.save(tasks, () => true);
    expect(failing.batches).toHaveLength(2);
    const {batches, progress} = startRecorder();
    await progress.save(tasks, () => batches.length < 1);
    expect(batches).toHaveLength(1);
  });
});
