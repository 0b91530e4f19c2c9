import fc from 'fast-check';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

/**
 * Orders bring engines to their target although some are lost, duplicated or delayed.
 */
import type {FleetConfig} from '../../ControlTypes';

import {applyChanges, EMPTY_CONFIG, engineTarget} from '../../ControlConfig';
import {
  type EngineOrder,
  fencingToken,
  MAX_CONCURRENT_LOADS,
  nextOrders,
} from '../../ControlOrders';

const ENGINES = ['e1', 'e2', 'e3'] as const;

function configOf(placements: readonly (readonly number[])[]): FleetConfig {
  const engines = ENGINES.map((key) => ({
    key,
    record: {
      checksFencing: false,
      host: '127.0.0.1',
      port: 1,
      role: 'all' as const,
      slots: 1,
      zone: 'z',
    },
    table: 'engines' as const,
  }));
  const services = placements.map((places, number) => ({
    key: `s${number}`,
    record: {
      adapters: [],
      current: '1',
      kind: 'model' as const,
      model: `m${number}`,
      versions: [{engines: places.map((place) => ENGINES[place]!), version: '1'}],
    },
    table: 'services' as const,
  }));
  return applyChanges(EMPTY_CONFIG, [...engines, ...services]);
}

/** Engine model that follows the latest order it received and checks no fencing token. */
class NaiveEngine {
  loaded: readonly string[] = [];
  loading: readonly string[] = [];

  apply(order: EngineOrder): void {
    this.loaded = this.loaded.filter((name) => order.target.includes(name));
    this.loading = order.target.filter((name) => !this.loaded.includes(name));
  }

  finishLoading(): void {
    this.loaded = [...this.loaded, ...this.loading];
    this.loading = [];
  }
}

const places = fc.uniqueArray(fc.nat({max: 2}), {maxLength: 3, minLength: 1});
const placements = fc.array(places, {maxLength: 3, minLength: 1});

describe('nextOrders', () => {
  test(
    'reaches the target although orders are lost, duplicated or delayed',
    async () => {
      const history = fc.array(
        fc.record({
          change: fc.option(placements, {freq: 4}),
          fate: fc.constantFrom('arrives', 'doubled', 'late', 'lost'),
          loads: fc.boolean(),
        }),
        {maxLength: 40},
      );
      const property = fc.property(placements, history, (first, steps) => {
        let config = configOf(first);
        const engines = new Map(ENGINES.map((id) => [id as string, new NaiveEngine()]));
        let late: EngineOrder[] = [];
        const reports = () =>
          [...engines].map(([engine, {loaded, loading}]) => ({engine, loaded, loading}));
        const round = (fate: string): void => {
          const arriving = late;
          late = [];
          for (const order of nextOrders(config, reports())) {
            if (fate === 'late') {
              late.push(order);
            } else if (fate !== 'lost') {
              engines.get(order.engine)!.apply(order);
            }
          }
          arriving.forEach((order) => engines.get(order.engine)!.apply(order));
        };
        for (const {change, fate, loads} of steps) {
          config = change === null ? config : configOf(change);
          round(fate);
          if (fate === 'doubled') {
            round(fate);
          }
          if (loads) {
            engines.forEach((engine) => engine.finishLoading());
          }
        }
        for (let settle = 0; settle < 20; settle++) {
          round('arrives');
          engines.forEach((engine) => engine.finishLoading());
        }
        for (const [id, engine] of engines) {
          expect(engine.loaded.toSorted()).toEqual(engineTarget(config, id));
        }
      });
      await assertHistories('orders', property, 500);
    },
    fuzzTimeoutMs(),
  );

  test('keeps weights on their last engine until another has loaded them', () => {
    const config = configOf([[1]]);
    const before = [
      {engine: 'e1', loaded: ['m0@1'], loading: []},
      {engine: 'e2', loaded: [], loading: []},
    ];
    expect(nextOrders(config, before)).toEqual([{engine: 'e2', target: ['m0@1']}]);
    const loading = [before[0]!, {engine: 'e2', loaded: [], loading: ['m0@1']}];
    expect(nextOrders(config, loading)).toEqual([]);
    const after = [before[0]!, {engine: 'e2', loaded: ['m0@1'], loading: []}];
    expect(nextOrders(config, after)).toEqual([{engine: 'e1', target: []}]);
  });

  test('limits the number of concurrent loads', () => {
    const config = configOf([[0, 1, 2]]);
    const idle = ENGINES.map((engine) => ({engine, loaded: [], loading: []}));
    expect(nextOrders(config, idle)).toHaveLength(MAX_CONCURRENT_LOADS);
  });

  test('sends no order to an engine without a report', () => {
    expect(nextOrders(configOf([[0]]), [])).toEqual([]);
  });

  test('fencing tokens increase with the term, then with the order', () => {
    expect(fencingToken(2, 0)).toBeGreaterThan(fencingToken(1, 999_999));
    expect(fencingToken(2, 1)).toBeGreaterThan(fencingToken(2, 0));
  });
});
