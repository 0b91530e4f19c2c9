/**
 * An entry VM that has nothing to tell learns all the same, and at once, how many requests the others have.
 */
import type {JobsDispatcher, OnlineAnswer, OnlineVersion} from 'stallpaddle-jobs';

import {delay, seededRandom, systemClock} from 'stallpaddle';
import {JobsOnline} from 'stallpaddle-jobs';
import {RelayOnline} from 'stallpaddle-relay';
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
  const watch = (sender: string, known: null | OnlineVersion, waitMs = HOLD_MS) =>
    desk.watch({kind: 'watchOnline', known, sender, waitMs}, dispatcher);
  return {tell, watch};
}

describe('NodeOnlineDesk', () => {
  test('answers a held question when another VM tells new counts', async () => {
    const {tell, watch} = deskOf();
    const {version} = await watch('idle', null);
    const held = watch('idle', version);
    tell('busy', 1, {e0: 3});
    const startedAt = performance.now();
    expect(await held).toMatchObject({isAll: false, others: {e0: 3}});
    expect(performance.now() - startedAt).toBeLessThan(HOLD_MS / 2);
  });

  test('leaves the asker’s own requests out', async () => {
    const {tell, watch} = deskOf();
    tell('a', 1, {e0: 1});
    tell('b', 1, {e0: 2, e1: 5});
    expect((await watch('b', null)).others).toEqual({e0: 1});
    expect((await watch('a', null)).others).toEqual({e0: 2, e1: 5});
  });

  test('holds a question for its whole time while nothing is new', async () => {
    const {tell, watch} = deskOf();
    tell('a', 1, {e0: 1});
    await delay(50);
    const {version} = await watch('b', null);
    const startedAt = performance.now();
    tell('a', 2, {e0: 1});
    await watch('b', version, 100);
    expect(performance.now() - startedAt).toBeGreaterThan(90);
  });

  test('names only engines whose counts have changed, and all to a VM that knew another process', async () => {
    const {tell, watch} = deskOf();
    tell('a', 1, {e0: 1, e1: 1});
    await delay(50);
    const {version} = await watch('b', null);
    tell('a', 2, {e1: 2});
    expect(await watch('b', version)).toMatchObject({isAll: false, others: {e0: 0, e1: 2}});
    tell('a', 3, {e1: 3});
    expect((await watch('b', version)).others).toEqual({e0: 0, e1: 3});
    const elsewhere = {...version, epoch: 'another'};
    expect(await watch('b', elsewhere)).toMatchObject({isAll: true, others: {e1: 3}});
  });

  test('a VM that merges all answers knows what a whole answer tells', async () => {
    const {tell, watch} = deskOf();
    const relay = new RelayOnline(systemClock);
    const random = seededRandom(20_265);
    let known: null | OnlineVersion = null;
    for (let count = 1; count <= 40; count++) {
      const own = [0, 1, 2].map((at) => [`e${at}`, Math.floor(random() * 4)] as const);
      tell(`s${count % 3}`, count, Object.fromEntries(own.filter(([, held]) => held > 0)));
      await delay(random() * 10);
      const answer: OnlineAnswer = await watch('b', known, 30);
      known = answer.version;
      relay.learn(answer.others, answer.isAll, []);
      const {others} = await watch('b', null);
      expect(['e0', 'e1', 'e2'].map((id) => relay.at(id))).toEqual(
        ['e0', 'e1', 'e2'].map((id) => others[id] ?? 0),
      );
    }
  });

  test('gathers what many requests change into one answer', async () => {
    const {tell, watch} = deskOf();
    const {version} = await watch('b', null);
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
