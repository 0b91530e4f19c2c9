/**
 * An entry VM that has nothing to tell learns all the same, and at once, how many requests the others have.
 */
import type {JobsDispatcher} from 'stallpaddle-jobs';

import {systemClock} from 'stallpaddle';
import {JobsOnline} from 'stallpaddle-jobs';
import {describe, expect, test} from 'vitest';

import {NodeOnlineDesk} from '../../NodeOnlineDesk';

/** Longest hold of the questions below, in milliseconds. */
const HOLD_MS = 2_000;

function deskOf() {
  const online = new JobsOnline(systemClock);
  const dispatcher = {online, poke: () => {}, silentEngines: () => []} as never as JobsDispatcher;
  const desk = new NodeOnlineDesk(systemClock);
  const tell = (sender: string, sequence: number, own: Readonly<Record<string, number>>) =>
    desk.tell({kind: 'tellOnline', own, sender, sequence}, dispatcher);
  const watch = (sender: string, known: number, waitMs = HOLD_MS) =>
    desk.watch({kind: 'watchOnline', known, sender, waitMs}, dispatcher);
  return {tell, watch};
}

describe('NodeOnlineDesk', () => {
  test('answers a held question when another VM tells new counts', async () => {
    const {tell, watch} = deskOf();
    const held = watch('idle', 0);
    tell('busy', 1, {e0: 3});
    const startedAt = performance.now();
    expect(await held).toMatchObject({others: {e0: 3}});
    expect(performance.now() - startedAt).toBeLessThan(HOLD_MS / 2);
  });

  test('leaves the asker’s own requests out', async () => {
    const {tell, watch} = deskOf();
    tell('a', 1, {e0: 1});
    expect(tell('b', 1, {e0: 2, e1: 5}).others).toEqual({e0: 1});
    expect((await watch('a', -1)).others).toEqual({e0: 2, e1: 5});
  });

  test('holds a question for its whole time while nothing is new', async () => {
    const {tell, watch} = deskOf();
    tell('a', 1, {e0: 1});
    const {version} = await watch('b', 0);
    const startedAt = performance.now();
    tell('a', 2, {e0: 1});
    await watch('b', version, 100);
    expect(performance.now() - startedAt).toBeGreaterThan(90);
  });

  test('gathers what many requests change into one answer', async () => {
    const {tell, watch} = deskOf();
    const {version} = await watch('b', -1);
    let answers = 0;
    let known = version;
    const end = performance.now() + 200;
    for (let count = 1; performance.now() < end; count++) {
      tell('a', count, {e0: count});
      if (count % 10 === 0) {
        ({version: known} = await watch('b', known));
        answers++;
      }
    }
    expect(answers).toBeLessThanOrEqual(12);
  });
});
