/**
 * What a process believes: never an older configuration, never a younger moment than was proved.
 */
import fc from 'fast-check';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {FleetConfig} from '../../FleetTypes';

import {EMPTY_VIEW, takeAnswer, type WatchAnswer} from '../../FleetView';

function answerOf(changes: Partial<WatchAnswer>): WatchAnswer {
  return {config: null, epoch: 'e', fleet: 1, heldMs: 0, news: null, proven: true, ...changes};
}

function configOf(version: number): FleetConfig {
  const limits = {headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1};
  return {limits, routes: [], services: [], source: '', version};
}

describe('takeAnswer', () => {
  test('never goes back, in whatever order answers come', async () => {
    const answers = fc.array(
      fc.record({held: fc.nat(300), sentAt: fc.nat(1_000), version: fc.nat(9)}),
    );
    const property = fc.property(answers, (all) => {
      let view = EMPTY_VIEW;
      for (const {held, sentAt, version} of all) {
        const next = takeAnswer(view, answerOf({config: configOf(version), heldMs: held}), sentAt);
        expect(next.config!.version).toBeGreaterThanOrEqual(view.config?.version ?? -1);
        expect(next.asOf).toBe(Math.max(view.asOf, sentAt + held));
        view = next;
      }
    });
    await assertHistories('answers of leaders', property, 200);
  });

  test('takes no moment from what nobody proved', () => {
    const view = takeAnswer(EMPTY_VIEW, answerOf({config: configOf(3), proven: false}), 50);
    expect(view.config?.version).toBe(3);
    expect(view.asOf).toBe(-Infinity);
  });

  test('keeps entry VMs that a new leader has not heard yet', () => {
    const entry = (name: string) => ({address: `${name}:1`, name, zone: 'z'});
    const news = (names: readonly string[], entriesComplete: boolean) => ({
      ...EMPTY_VIEW.news,
      entries: names.map(entry),
      entriesComplete,
    });
    const before = takeAnswer(EMPTY_VIEW, answerOf({news: news(['a', 'b'], true)}), 0);
    const during = takeAnswer(before, answerOf({news: news(['b'], false)}), 1);
    expect(during.news.entries.map(({name}) => name).sort()).toEqual(['a', 'b']);
    const after = takeAnswer(during, answerOf({news: news(['b'], true)}), 2);
    expect(after.news.entries.map(({name}) => name)).toEqual(['b']);
  });
});
