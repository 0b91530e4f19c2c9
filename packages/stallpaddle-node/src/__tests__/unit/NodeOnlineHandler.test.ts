/**
 * Each report of an entry VM is answered with the changes of the others' counts since its last report.
 */
import type {JobsDispatcher, OnlineCountsAnswer, OnlineCountsVersion} from 'stallpaddle-jobs';

import {seededRandom, systemClock} from 'stallpaddle';
import {JobsFleetLoad, JobsOnlineCounts} from 'stallpaddle-jobs';
import {RelayOnlineLoad} from 'stallpaddle-relay';
import {describe, expect, test} from 'vitest';

import {NodeOnlineHandler} from '../../NodeOnlineHandler';

type Counts = Readonly<Record<string, number>>;

function handlerOf() {
  const online = new JobsOnlineCounts(systemClock);
  const updateOnlineCounts = (sender: string, sequence: number, own: Counts) =>
    void online.update(sender, sequence, own);
  const fleetLoad = new JobsFleetLoad({
    isOn: () => false,
    room: () => undefined,
    runs: () => new Map(),
  });
  const dispatcher = {
    fleetLoad,
    online,
    stalledEngines: () => ['quiet'],
    updateOnlineCounts,
  } as never;
  const handler = new NodeOnlineHandler();
  const sequences = new Map<string, number>();
  const report = (
    sender: string,
    own: Counts,
    known: null | OnlineCountsVersion = null,
  ): OnlineCountsAnswer => {
    const sequence = (sequences.get(sender) ?? 0) + 1;
    sequences.set(sender, sequence);
    const request = {kind: 'tellOnline', known, own, sender, sequence} as const;
    return handler.exchange(request, dispatcher as JobsDispatcher);
  };
  const record = (sender: string, own: Counts): void => {
    const sequence = (sequences.get(sender) ?? 0) + 1;
    sequences.set(sender, sequence);
    const request = {
      isOneWay: true,
      kind: 'tellOnline',
      known: null,
      own,
      sender,
      sequence,
    } as const;
    handler.record(request, dispatcher as JobsDispatcher);
  };
  /** Handles a report with demand that may have been overtaken. */
  const reportDemand = (sequence: number, waiting: Counts): number => {
    const demand = {running: {}, waiting};
    const request = {
      demand,
      kind: 'tellOnline',
      known: null,
      own: {},
      sender: 'a',
      sequence,
    } as const;
    handler.exchange(request, dispatcher as JobsDispatcher);
    return fleetLoad.shares.waiting;
  };
  return {fleetLoad, record, report, reportDemand};
}

describe('NodeOnlineHandler', () => {
  test('answers a report with what another VM has reported before', () => {
    const {report} = handlerOf();
    const {version} = report('idle', {});
    report('busy', {e0: 3});
    const answer = report('idle', {}, version);
    expect(answer).toMatchObject({isAll: false, others: {e0: 3}, suspects: ['quiet']});
    expect(report('idle', {}, answer.version)).toMatchObject({isAll: false, others: {}});
  });

  test('demand of a report that was overtaken by a later one is not counted', () => {
    const {fleetLoad, reportDemand} = handlerOf();
    fleetLoad.shares.connect({
      clock: systemClock,
      isOn: () => false,
      note: () => {},
      view: () => {
        throw new Error('not needed');
      },
    });
    expect(reportDemand(1, {big: 2})).toBe(2);
    expect(reportDemand(3, {big: 1})).toBe(1);
    expect(reportDemand(2, {big: 9})).toBe(1);
    expect(reportDemand(4, {big: 3})).toBe(3);
  });

  test('counts a report without an answer like one with it', () => {
    const {record, report} = handlerOf();
    const {version} = report('idle', {});
    record('busy', {e0: 3});
    expect(report('idle', {}, version)).toMatchObject({isAll: false, others: {e0: 3}});
  });

  test('leaves out the sender’s own requests', () => {
    const {report} = handlerOf();
    report('a', {e0: 1});
    expect(report('b', {e0: 2, e1: 5}).others).toEqual({e0: 1});
    expect(report('a', {e0: 1}).others).toEqual({e0: 2, e1: 5});
  });

  test('returns only changed counts, and all counts to a VM that last reported to another process', () => {
    const {report} = handlerOf();
    report('a', {e0: 1, e1: 1});
    const {version} = report('b', {});
    report('a', {e1: 2});
    expect(report('b', {}, version)).toMatchObject({isAll: false, others: {e0: 0, e1: 2}});
    report('a', {e1: 3});
    expect(report('b', {}, version).others).toEqual({e0: 0, e1: 3});
    const elsewhere = {...version, epoch: 'another'};
    expect(report('b', {}, elsewhere)).toMatchObject({isAll: true, others: {e1: 3}});
  });

  test('a VM that merges all answers holds the same counts as a full answer', () => {
    const {report} = handlerOf();
    const relay = new RelayOnlineLoad(systemClock);
    const random = seededRandom(20_265);
    const draw = (): Counts => {
      const own = [0, 1, 2].map((at) => [`e${at}`, Math.floor(random() * 4)] as const);
      return Object.fromEntries(own.filter(([, held]) => held > 0));
    };
    let known: null | OnlineCountsVersion = null;
    for (let count = 1; count <= 400; count++) {
      report(`s${count % 3}`, draw());
      if (random() < 0.5) {
        const answer: OnlineCountsAnswer = report('b', draw(), known);
        // A lost answer changes nothing at the VM.
        if (random() < 0.7) {
          known = answer.version;
          relay.applyReport(answer.others, answer.isAll, []);
          const {others} = report('b', {});
          expect(['e0', 'e1', 'e2'].map((id) => relay.requestsAt(id))).toEqual(
            ['e0', 'e1', 'e2'].map((id) => others[id] ?? 0),
          );
        }
      }
    }
  });
});
