/** Placement and preemption of batch items. */
import fc from 'fast-check';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {planItems, type PlannedEngine} from '../../JobsPlan';

function engineOf(
  id: string,
  online: number,
  runs: readonly number[] = [],
  usable = true,
): PlannedEngine {
  return {
    id,
    online,
    runs: runs.map((events, at) => ({events, key: `${id}${at}`, late: false})),
    service: 's',
    slots: 4,
    softwareVersion: 'v1',
    usable,
  };
}

function itemsOf(count: number) {
  return Array.from({length: count}, (_, at) => ({key: `i${at}`, late: false, service: 's'}));
}

describe('planItems', () => {
  test('starts the most urgent items on the engines with the most free slots, except the reserved slot', () => {
    const {preemptions, starts} = planItems(
      [engineOf('a', 2), engineOf('b', 0, [1])],
      itemsOf(9),
      1,
    );
    expect(preemptions).toEqual([]);
    expect(starts.map(({engine, key}) => `${key} ${engine}`)).toEqual(['i0 b', 'i1 a', 'i2 b']);
  });

  test('preempts the runs with the fewest events when online requests need their slots', () => {
    const {preemptions} = planItems([engineOf('a', 3, [9, 2, 5])], [], 1);
    expect(preemptions).toEqual(['a1', 'a2']);
  });

  test('preempts a late run only for an item that can still be on time', () => {
    const runs = [1, 2, 3, 4].map((events) => ({events, key: `r${events}`, late: events > 2}));
    const engine = {...engineOf('a', 0), runs};
    expect(planItems([engine], itemsOf(1), 0).preemptions).toEqual(['r3']);
    const late = itemsOf(3).map((item) => ({...item, late: true}));
    expect(planItems([engine], late, 0).preemptions).toEqual([]);
  });

  test('starts nothing on unusable engines', () => {
    expect(planItems([engineOf('a', 0, [], false)], itemsOf(2), 1).starts).toEqual([]);
  });

  test('never exceeds the slots of an engine, and preempts only for online requests', async () => {
    const engine = fc.record({
      online: fc.nat(6),
      runs: fc.array(fc.nat(50), {maxLength: 5}),
      usable: fc.boolean(),
    });
    const property = fc.property(fc.array(engine, {maxLength: 5}), fc.nat(20), (all, waiting) => {
      const engines = all.map(({online, runs, usable}, at) =>
        engineOf(`e${at}`, online, runs, usable),
      );
      const {preemptions, starts} = planItems(engines, itemsOf(waiting), 1);
      expect(new Set(starts.map(({key}) => key)).size).toBe(starts.length);
      for (const {id, online, runs, slots, usable} of engines) {
        const preempted = runs.filter(({key}) => preemptions.includes(key)).length;
        const started = starts.filter(({engine: at}) => at === id).length;
        expect(started === 0 || online + runs.length + started <= slots - 1).toBe(true);
        expect(started === 0 || usable).toBe(true);
        expect(preempted).toBe(Math.min(runs.length, Math.max(0, online + runs.length - slots)));
      }
    });
    await assertHistories('plans of items', property, 300);
  });
});
