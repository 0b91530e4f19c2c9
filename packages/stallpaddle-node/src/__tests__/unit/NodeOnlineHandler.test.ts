/**
 * Each word of an entry VM is answered with what the others have begun and ended since its last one.
 */
import type {JobsDispatcher, OnlineAnswer, OnlineVersion} from 'stallpaddle-jobs';

import {seededRandom, systemClock} from 'stallpaddle';
import {JobsOnline} from 'stallpaddle-jobs';
import {RelayOnline} from 'stallpaddle-relay';
import {describe, expect, test} from 'vitest';

import {NodeOnlineHandler} from '../../NodeOnlineHandler';

type Counts = Readonly<Record<string, number>>;

function deskOf() {
  const online = new JobsOnline(systemClock);
  const learnOnline = (sender: string, sequence: number, own: Counts) =>
    void online.learn(sender, sequence, own);
  const dispatcher = {learnOnline, online, silentEngines: () => ['quiet']} as never;
  const desk = new NodeOnlineHandler();
  const sequences = new Map<string, number>();
  const tell = (sender: string, own: Counts, known: null | OnlineVersion = null): OnlineAnswer => {
    const sequence = (sequences.get(sender) ?? 0) + 1;
    sequences.set(sender, sequence);
    const request = {kind: 'tellOnline', known, own, sender, sequence} as const;
    return desk.exchange(request, dispatcher as JobsDispatcher);
  };
  return {tell};
}

describe('NodeOnlineHandler', () => {
  test('answers a word with what another VM has told before it', () => {
    const {tell} = deskOf();
    const {version} = tell('idle', {});
    tell('busy', {e0: 3});
    const answer = tell('idle', {}, version);
    expect(answer).toMatchObject({isAll: false, others: {e0: 3}, suspects: ['quiet']});
    expect(tell('idle', {}, answer.version)).toMatchObject({isAll: false, others: {}});
  });

  test('leaves the asker’s own requests out', () => {
    const {tell} = deskOf();
    tell('a', {e0: 1});
    expect(tell('b', {e0: 2, e1: 5}).others).toEqual({e0: 1});
    expect(tell('a', {e0: 1}).others).toEqual({e0: 2, e1: 5});
  });

  test('names only engines whose counts have changed, and all to a VM that knew another process', () => {
    const {tell} = deskOf();
    tell('a', {e0: 1, e1: 1});
    const {version} = tell('b', {});
    tell('a', {e1: 2});
    expect(tell('b', {}, version)).toMatchObject({isAll: false, others: {e0: 0, e1: 2}});
    tell('a', {e1: 3});
    expect(tell('b', {}, version).others).toEqual({e0: 0, e1: 3});
    const elsewhere = {...version, epoch: 'another'};
    expect(tell('b', {}, elsewhere)).toMatchObject({isAll: true, others: {e1: 3}});
  });

  test('a VM that merges all answers knows what a whole answer tells', () => {
    const {tell} = deskOf();
    const relay = new RelayOnline(systemClock);
    const random = seededRandom(20_265);
    const draw = (): Counts => {
      const own = [0, 1, 2].map((at) => [`e${at}`, Math.floor(random() * 4)] as const);
      return Object.fromEntries(own.filter(([, held]) => held > 0));
    };
    let known: null | OnlineVersion = null;
    for (let count = 1; count <= 400; count++) {
      tell(`s${count % 3}`, draw());
      if (random() < 0.5) {
        const answer: OnlineAnswer = tell('b', draw(), known);
        // An answer that is lost leaves the VM with what it knew.
        if (random() < 0.7) {
          known = answer.version;
          relay.learn(answer.others, answer.isAll, []);
          const {others} = tell('b', {});
          expect(['e0', 'e1', 'e2'].map((id) => relay.at(id))).toEqual(
            ['e0', 'e1', 'e2'].map((id) => others[id] ?? 0),
          );
        }
      }
    }
  });
});
