/** Guards against items that spread over all engines, exceed slots, or are preempted although another run loses less. */
import fc from 'fast-check';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {PlannedItem, PlannedRun} from '../../JobsPlan';

import {type PackedEngine, packedExcess, planPackedItems} from '../../JobsPacking';

function runsOf(id: string, runs: readonly Partial<PlannedRun>[]): readonly PlannedRun[] {
  return runs.map((run, at) => ({events: 5, key: `${id}${at}`, late: false, ...run}));
}

function engineOf(
  id: string,
  online: number,
  items: number,
  changes: Partial<PackedEngine> = {},
): PackedEngine {
  const runs = runsOf(
    id,
    Array.from({length: items}, () => ({})),
  );
  return {
    id,
    online,
    runs,
    service: 's',
    slots: 8,
    softwareVersion: 'v1',
    speed: 1,
    usable: true,
    ...changes,
  };
}

function itemsOf(count: number, changes: Partial<PlannedItem> = {}): readonly PlannedItem[] {
  return Array.from({length: count}, (_, at) => ({
    key: `i${at}`,
    late: false,
    service: 's',
    ...changes,
  }));
}

function plan(
  engines: readonly PackedEngine[],
  waiting: readonly PlannedItem[],
  reserved = 0,
  service = 's',
) {
  const all = {engines, maxStarts: Infinity, reserved: new Map([[service, reserved]]), waiting};
  return planPackedItems(all);
}

function placed(...args: Parameters<typeof plan>): readonly string[] {
  return plan(...args).starts.map(({engine}) => engine);
}

describe('planPackedItems', () => {
  test('gives each engine an item, then fills the engine with the most items before it uses another', () => {
    const engines = [engineOf('a', 0, 1), engineOf('b', 1, 5), engineOf('c', 0, 0)];
    expect(placed(engines, itemsOf(4))).toEqual(['c', 'b', 'b', 'a']);
  });

  test('with an item at each engine the one with the most free slots is filled first', () => {
    expect(placed([engineOf('a', 5, 0), engineOf('b', 2, 0)], itemsOf(7))).toEqual([
      'b',
      'a',
      ...Array<string>(5).fill('b'),
    ]);
  });

  test('leaves the reserved slots of the service free, on engines with a single item', () => {
    const engines = [engineOf('a', 0, 6), engineOf('b', 4, 0), engineOf('c', 4, 0)];
    expect(placed(engines, itemsOf(20), 7)).toEqual(['b', 'c', 'a']);
    expect(placed(engines, itemsOf(20), 10)).toEqual([]);
  });

  test('the reserve never keeps an item in the slot of an online request, nor preempts one', () => {
    const engines = [engineOf('a', 2, 7), engineOf('b', 4, 4), engineOf('c', 0, 8)];
    const preemptions = [0, 5, 24].map((reserved) => plan(engines, [], reserved).preemptions);
    expect(preemptions).toEqual([['a0'], ['a0'], ['a0']]);
  });

  test('ends after the starts of one pass, so that a plan costs little with many waiting items', () => {
    const engines = [engineOf('a', 0, 0)];
    const input = {engines, maxStarts: 3, reserved: new Map<string, number>()};
    expect(planPackedItems({...input, waiting: itemsOf(5_000)}).starts).toHaveLength(3);
  });

  test('the reserve of one service does not hold back another', () => {
    expect(placed([engineOf('a', 0, 0)], itemsOf(8), 100, 'other')).toHaveLength(8);
  });

  test('items with slack go to slow engines, and those that may be late to fast ones', () => {
    const engines = [
      engineOf('usual', 0, 6),
      engineOf('slow', 0, 0, {speed: 0.6}),
      engineOf('fast', 0, 0, {speed: 1.6}),
    ];
    const urgent = itemsOf(1, {remainingMs: 1_000, slackMs: 1_500});
    const relaxed = itemsOf(1, {key: 'r', remainingMs: 1_000, slackMs: 9_000});
    expect(placed(engines, [...urgent, ...relaxed])).toEqual(['fast', 'slow']);
  });

  test('an engine that is set apart gets one item while it is idle, and none that is urgent', () => {
    const apart = engineOf('apart', 0, 0, {speed: 0.2});
    expect(placed([apart], itemsOf(3))).toEqual(['apart']);
    expect(placed([apart], itemsOf(3, {remainingMs: 1_000, slackMs: 1_500}))).toEqual([]);
    expect(placed([{...apart, online: 1}], itemsOf(3))).toEqual([]);
  });

  test('items leave an engine that was set apart while others have slots beyond the reserve, and one stays', () => {
    const apart = engineOf('a', 0, 5, {speed: 0.2});
    const fromSetApart = (online: number, reserved: number, waiting = 0) =>
      plan([apart, engineOf('b', online, 0)], itemsOf(waiting), reserved).fromSetApart;
    expect(fromSetApart(0, 0)).toEqual(['a0', 'a1', 'a2', 'a3']);
    expect(fromSetApart(5, 1)).toEqual(['a0', 'a1']);
    expect(fromSetApart(5, 1, 2)).toEqual([]);
    expect(plan([{...apart, online: 1}, engineOf('b', 0, 0)], []).fromSetApart).toHaveLength(5);
    expect(plan([apart], []).fromSetApart).toEqual([]);
  });

  test('runs that leave an engine that was set apart count until they end: a second pass preempts no others', () => {
    const runs = runsOf('a', [{isPreempted: true}, {isPreempted: true}, {}, {}, {endsInMs: 20}]);
    const apart = {...engineOf('a', 0, 0, {speed: 0.2}), runs};
    expect(plan([apart, engineOf('b', 6, 0)], []).fromSetApart).toEqual([]);
    expect(plan([apart, engineOf('b', 0, 0)], []).fromSetApart).toEqual(['a2', 'a3']);
  });

  test('a late run is preempted for an urgent item only where the reserve leaves it the slot', () => {
    const late = {...engineOf('a', 0, 0), runs: runsOf('a', Array(8).fill({late: true}))};
    expect(plan([late], itemsOf(2)).forUrgent).toEqual(['a0', 'a1']);
    expect(plan([late], itemsOf(2), 1).forUrgent).toEqual([]);
    expect(plan([{...late, speed: 0.2}], itemsOf(2)).forUrgent).toEqual([]);
  });

  test('no plan exceeds slots, uses the reserve, or preempts a run that is about to end', async () => {
    const engine = fc.record({
      online: fc.nat(10),
      runs: fc.array(
        fc.record({
          endsInMs: fc.option(fc.integer({max: 300, min: -50}), {nil: undefined}),
          events: fc.nat(50),
          isPreempted: fc.boolean(),
          isStarting: fc.boolean(),
          late: fc.boolean(),
        }),
        {maxLength: 8},
      ),
      speed: fc.constantFrom(0.2, 0.6, 1, 1.6),
      usable: fc.boolean(),
    });
    const property = fc.property(
      fc.array(engine, {maxLength: 6}),
      fc.nat(60),
      fc.nat(20),
      (all, waiting, reserved) => {
        const engines = all.map(({runs, ...load}, at) =>
          engineOf(`e${at}`, load.online, 0, {...load, runs: runsOf(`e${at}`, runs)}),
        );
        const {preemptions, starts} = plan(engines, itemsOf(waiting), reserved);
        expect(new Set(starts.map(({key}) => key)).size).toBe(starts.length);
        expect(new Set(preemptions).size).toBe(preemptions.length);
        let free = 0;
        let usual = 0;
        for (const {id, online, runs, slots, speed, usable} of engines) {
          const started = starts.filter((start) => start.engine === id).length;
          const most = speed < 0.35 ? Math.min(1, slots - online) : slots - online;
          expect(started === 0 || (usable && runs.length + started <= most)).toBe(true);
          free += usable && speed >= 0.35 ? Math.max(0, slots - online - runs.length) : 0;
          usual += speed >= 0.35 ? started : 0;
          for (const {endsInMs = 0, key} of runs) {
            expect(preemptions.includes(key) && endsInMs > 0 && endsInMs <= 60).toBe(false);
          }
        }
        expect(usual).toBe(
          Math.min(waiting - (starts.length - usual), Math.max(0, free - reserved)),
        );
      },
    );
    await assertHistories('plans of packed items', property, 300);
  });
});

describe('packedExcess', () => {
  const keysOf = (online: number, runs: readonly Partial<PlannedRun>[]) =>
    packedExcess({online, runs: runsOf('r', runs), slots: 8}).runs.map(({key}) => key);

  test('preempts the runs that lose the least: without an event, then with the fewest unrecorded ones', () => {
    const runs = [
      {events: 40, unrecorded: 2},
      {events: 9, unrecorded: 9},
      {events: 0, unrecorded: 30},
    ];
    expect(keysOf(6, runs)).toEqual(['r2']);
    expect(keysOf(7, runs)).toEqual(['r2', 'r0']);
  });

  test('waits for a run that ends within 40 ms, and never preempts one that ends within 60 ms', () => {
    expect(keysOf(7, [{endsInMs: 30}, {endsInMs: 500}])).toEqual([]);
    expect(keysOf(7, [{endsInMs: 50}, {endsInMs: 500}])).toEqual(['r1']);
    expect(packedExcess({online: 8, runs: runsOf('r', [{endsInMs: 50}]), slots: 8})).toEqual({
      deferred: 1,
      runs: [],
    });
  });

  test('a run that is past its expected end has no protection: many short items beside few long ones', () => {
    expect(keysOf(8, [{endsInMs: -5, events: 900}])).toEqual(['r0']);
    expect(keysOf(8, [{endsInMs: undefined}])).toEqual(['r0']);
  });

  test('a repeated decision preempts no further run while the first one still ends', () => {
    expect(keysOf(7, [{events: 0}, {events: 3, isPreempted: true}])).toEqual([]);
    expect(keysOf(8, [{events: 0}, {events: 3, isPreempted: true}])).toEqual(['r0']);
  });
});
