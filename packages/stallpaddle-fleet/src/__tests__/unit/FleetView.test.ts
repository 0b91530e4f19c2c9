/**
 * The view of a process never returns to an older configuration or status, nor claims to be fresher than confirmed.
 */
import fc from 'fast-check';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {FleetConfig} from '../../FleetTypes';

import {diffStatus} from '../../FleetDelta';
import {applyWatchAnswer, EMPTY_VIEW, type WatchAnswer} from '../../FleetView';

function answerOf(changes: Partial<WatchAnswer>): WatchAnswer {
  return {
    ageMs: 0,
    config: null,
    fleet: 1,
    heldMs: 0,
    proven: true,
    term: 1,
    update: {kind: 'same'},
    ...changes,
  };
}

function configOf(version: number): FleetConfig {
  const limits = {headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1};
  return {limits, routes: [], services: [], version};
}

describe('applyWatchAnswer', () => {
  test('never goes back, in whatever order answers come', async () => {
    const answers = fc.array(
      fc.record({held: fc.nat(300), sentAt: fc.nat(1_000), version: fc.nat(9)}),
    );
    const property = fc.property(answers, (all) => {
      let view = EMPTY_VIEW;
      for (const {held, sentAt, version} of all) {
        const next = applyWatchAnswer(
          view,
          answerOf({config: configOf(version), heldMs: held}),
          sentAt,
        );
        expect(next.config!.version).toBeGreaterThanOrEqual(view.config?.version ?? -1);
        expect(next.asOf).toBe(Math.max(view.asOf, sentAt + held));
        view = next;
      }
    });
    await assertHistories('answers of leaders', property, 200);
  });

  test('ignores the time of an answer that no leader confirmed', () => {
    const view = applyWatchAnswer(EMPTY_VIEW, answerOf({config: configOf(3), proven: false}), 50);
    expect(view.config?.version).toBe(3);
    expect(view.asOf).toBe(-Infinity);
  });

  test('keeps entry VMs whose heartbeats a new leader still awaits', () => {
    const entry = (name: string) => ({address: `${name}:1`, name, zone: 'z'});
    const whole = (names: readonly string[], entriesComplete: boolean, fleet: number) =>
      answerOf({
        fleet,
        term: 2,
        update: {
          kind: 'whole',
          news: {...EMPTY_VIEW.news, entries: names.map(entry), entriesComplete},
        },
      });
    const before = applyWatchAnswer(EMPTY_VIEW, whole(['a', 'b'], true, 1), 0);
    const during = applyWatchAnswer(before, whole(['b'], false, 2), 1);
    expect(during.news.entries.map(({name}) => name).sort()).toEqual(['a', 'b']);
    const after = applyWatchAnswer(during, whole(['b'], true, 3), 2);
    expect(after.news.entries.map(({name}) => name)).toEqual(['b']);
  });

  test('subtracts the age of a forwarded status', () => {
    const view = applyWatchAnswer(EMPTY_VIEW, answerOf({ageMs: 350, heldMs: 200}), 1_000);
    expect(view.asOf).toBe(1_000 + 200 - 350);
    // A fresher answer advances the time, an older one does not move it back.
    expect(applyWatchAnswer(view, answerOf({ageMs: 900}), 1_100).asOf).toBe(view.asOf);
    expect(applyWatchAnswer(view, answerOf({ageMs: 10}), 1_100).asOf).toBe(1_090);
  });

  test('ignores the status of a lagging replica, whatever the term', () => {
    const whole = (name: string) =>
      ({kind: 'whole', news: {...EMPTY_VIEW.news, controls: [name]}}) as const;
    const held = applyWatchAnswer(
      EMPTY_VIEW,
      answerOf({fleet: 7, term: 3, update: whole('new')}),
      0,
    );
    const earlier = [
      {fleet: 6, term: 3},
      {fleet: 9, term: 2},
    ];
    for (const numbers of earlier) {
      const view = applyWatchAnswer(held, answerOf({...numbers, update: whole('old')}), 50);
      expect(view.news.controls).toEqual(['new']);
      expect([view.fleet, view.term]).toEqual([7, 3]);
      // The held status is at least as new as the replica's, so its time of confirmation still counts.
      expect(view.asOf).toBe(50);
    }
  });

  test('ignores a delta whose base it does not hold', () => {
    const update = {kind: 'whole', news: EMPTY_VIEW.news} as const;
    const held = applyWatchAnswer(EMPTY_VIEW, answerOf({fleet: 4, term: 1, update}), 0);
    const delta = diffStatus(EMPTY_VIEW.news, {...EMPTY_VIEW.news, controls: ['a']});
    const unknownBase = answerOf({fleet: 6, update: {delta, from: 5, kind: 'delta'}});
    expect(applyWatchAnswer(held, unknownBase, 100)).toEqual(held);
  });
});
