/**
 * Guards against online requests that preempt batch items, or queue, while other engines have free slots.
 */
import type {EngineView} from 'stallpaddle-fleet';

import {seededRandom} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import {INITIAL_HEALTH, selectEngine} from '../../RelayPlacement';
import {selectBySlots, type SlotPlacementInput} from '../../RelaySlotPlacement';

type Counts = Readonly<Record<string, number>>;

interface Loads {
  readonly items?: Counts;
  readonly online?: Counts;
  readonly speeds?: Counts;
  readonly unreported?: number;
}

const random = seededRandom(5);

function enginesOf(count: number): readonly EngineView[] {
  return Array.from({length: count}, (_, at) => ({
    address: `10.0.0.1:${at}`,
    draining: false,
    id: `e${at}`,
    sequence: 0,
    service: 's',
    silent: false,
    slots: 8,
    softwareVersion: 'v1',
    startedAtMs: 0,
    zone: at % 2 === 0 ? 'own' : 'other',
  }));
}

function inputOf({items = {}, online = {}, speeds = {}, unreported = 0}: Loads) {
  const input: SlotPlacementInput = {
    loads: {itemsAt: (id) => items[id] ?? 0, speedOf: (id) => speeds[id] ?? 1},
    onlineAt: (id) => online[id] ?? 0,
    random,
    tried: new Set(),
    unreported,
    zone: 'own',
  };
  return input;
}

/** How often each engine is selected in 1,000 draws. */
function selections(engines: readonly EngineView[], loads: Loads): Counts {
  const counts: Record<string, number> = {};
  for (let draw = 0; draw < 1_000; draw++) {
    const id = selectBySlots(engines, inputOf(loads))!.id;
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return counts;
}

describe('selectBySlots', () => {
  test('an engine with a free slot goes before one with fewer online requests that is full of items', () => {
    const loads = {items: {e0: 8}, online: {e1: 7}};
    expect(selections(enginesOf(2), loads)).toEqual({e1: 1_000});
  });

  test('an item is preempted rather than a request queued', () => {
    const loads = {items: {e1: 3}, online: {e0: 8, e1: 5, e2: 8}};
    expect(selections(enginesOf(3), loads)).toEqual({e1: 1_000});
  });

  test('without any slot the shortest queue is selected', () => {
    const loads = {online: {e0: 10, e1: 8, e2: 10}};
    expect(selections(enginesOf(3), loads)).toEqual({e1: 1_000});
  });

  test('with fewer free slots than other VMs take, some requests go where an item is preempted', () => {
    // Otherwise many requests meet at the last free slot, and wait there longer than a preemption lasts.
    const loads = {items: {e1: 8}, online: {e0: 6, e2: 8}, unreported: 4};
    const counts = selections(enginesOf(3), loads);
    expect(counts.e0).toBeGreaterThan(150);
    expect(counts.e0! + counts.e1!).toBe(1_000);
  });

  test('many VMs with the same counts do not all choose the same queue', () => {
    const engines = enginesOf(42);
    const online = Object.fromEntries(engines.map(({id}) => [id, id === 'e3' ? 8 : 9]));
    expect(selections(engines, {online}).e3).toBe(1_000);
    expect(selections(engines, {online, unreported: 20}).e3).toBeLessThan(150);
  });

  test('free slots of fast engines go before as many of slow ones', () => {
    expect(selections(enginesOf(4), {speeds: {e0: 0.6, e2: 0.6, e3: 1.6}})).toEqual({e3: 1_000});
  });

  test('an engine that is set apart gets nothing while it is busy, and a trickle while it is idle', () => {
    const speeds = {e0: 0.2};
    const busy = selections(enginesOf(20), {online: {e0: 1}, speeds, unreported: 100});
    const idle = selections(enginesOf(20), {speeds, unreported: 100});
    expect(busy.e0).toBeUndefined();
    expect(idle.e0).toBeGreaterThan(0);
    expect(idle.e0).toBeLessThan(60);
  });

  test('engines are used although all of them are set apart', () => {
    expect(selections(enginesOf(1), {online: {e0: 2}, speeds: {e0: 0.2}})).toEqual({e0: 1_000});
  });

  test('prefers its own zone at low load only', () => {
    const near = selections(enginesOf(2), {});
    const loaded = selections(enginesOf(2), {online: {e0: 6, e1: 5}});
    expect([near, loaded]).toEqual([{e0: 1_000}, {e1: 1_000}]);
  });

  test('64 VMs with the same counts rarely exceed the free slots of an engine in a burst', () => {
    const engines = enginesOf(42);
    // 11 engines full of items; the others have 4 free slots each.
    const items = Object.fromEntries(engines.slice(0, 11).map(({id}) => [id, 8]));
    const online = Object.fromEntries(engines.slice(11).map(({id}) => [id, 4]));
    let excess = 0;
    for (let round = 0; round < 100; round++) {
      const placed: Record<string, number> = {};
      for (let request = 0; request < 30; request++) {
        const {id} = selectBySlots(engines, inputOf({items, online, unreported: 30}))!;
        placed[id] = (placed[id] ?? 0) + 1;
      }
      excess += Object.values(placed).reduce((sum, count) => sum + Math.max(0, count - 4), 0);
      expect(engines.slice(0, 11).some(({id}) => placed[id] !== undefined)).toBe(false);
    }
    // Of 3,000 requests.
    expect(excess).toBeLessThan(30);
  });
});

describe('selectEngine with known items', () => {
  test('keeps its rules for engines that are unhealthy, unresponsive, draining or tried', () => {
    const engines = enginesOf(4).map((engine) => ({...engine, draining: engine.id === 'e0'}));
    const selected = selectEngine({
      ...inputOf({items: {e3: 8}}),
      engines,
      healthOf: ({id}) => ({...INITIAL_HEALTH, avoidUntil: id === 'e1' ? 2_000 : -Infinity}),
      isUnresponsive: (id) => id === 'e2',
      now: 1_000,
      service: 's',
      softwareVersion: undefined,
      suspectDigest: null,
    });
    expect(selected?.id).toBe('e3');
  });
});
