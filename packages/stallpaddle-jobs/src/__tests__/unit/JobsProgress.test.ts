/**
 * What many runs have brought, recorded in pieces.
 */
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
  readonly pieces: (readonly ProgressPart[])[];
  readonly progress: JobsProgress;
  /** Most records that were under way at once. */
  readonly seen: {most: number};
}

function startRecorder(failAt = Infinity): Recorder {
  const pieces: (readonly ProgressPart[])[] = [];
  const seen = {most: 0};
  let underWay = 0;
  const progress = new JobsProgress({
    decide: () => {},
    propose: async (change: JobsChange) => {
      seen.most = Math.max(seen.most, ++underWay);
      await delay(1);
      underWay--;
      if (pieces.length === failAt) {
        throw new Error('the outcome is unknown');
      }
      pieces.push(change.kind === 'saveProgress' ? change.parts : []);
    },
  });
  return {pieces, progress, seen};
}

function bytesOf(piece: readonly ProgressPart[]): number {
  return piece.reduce((sum, {text}) => sum + text.length, 0);
}

describe('JobsProgress', () => {
  test('records all in pieces of bounded size, one after the other', async () => {
    const {pieces, progress, seen} = startRecorder();
    const tasks = Array.from({length: 40}, (_, at) => taskOf(at));
    await Promise.all([progress.save(tasks, () => true), progress.save(tasks, () => true)]);
    const largest = EVENTS * (EVENT.length + 1);
    pieces.forEach((piece) => expect(bytesOf(piece)).toBeLessThan(TARGET_COMMAND_BYTES + largest));
    expect(pieces.flat().map(({item}) => item)).toEqual(tasks.map(({index}) => index));
    expect(tasks.every(({savedEvents}) => savedEvents === EVENTS)).toBe(true);
    expect(seen.most).toBe(1);
  });

  test('records nothing twice, and events that come meanwhile the next time', async () => {
    const {pieces, progress} = startRecorder();
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
    for (const {after, events: count, item} of pieces.flat()) {
      expect(after).toBe(events.get(item) ?? 0);
      events.set(item, after + count);
    }
    expect([...events.values()]).toEqual(tasks.map(() => EVENTS + 1));
  });

  test('stops at a record that fails, and when it may not go on', async () => {
    const failing = startRecorder(2);
    const tasks = Array.from({length: 40}, (_, at) => taskOf(at));
    await failing.progress.save(tasks, () => true);
    expect(failing.pieces).toHaveLength(2);
    const {pieces, progress} = startRecorder();
    await progress.save(tasks, () => pieces.length < 1);
    expect(pieces).toHaveLength(1);
  });
});
