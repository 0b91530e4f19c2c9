/**
 * Checks the invariants of placement, engine ownership and batch allowances.
 */
import fc from 'fast-check';
import {seededRandom} from 'stallpaddle';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {EngineLoad, PlacementRequest, RoutingEvent, RoutingState} from '../../RoutingTypes';

import {batchAllowance, ownerOf, streamsToCancel} from '../../RoutingBatch';
import {placeOnline} from '../../RoutingPlacement';
import {EMPTY_ROUTING, onlineStreams, stepRouting} from '../../RoutingView';

const ENGINES = ['e1', 'e2', 'e3'] as const;
const SLOTS = 4;

function load(changes: Partial<EngineLoad> = {}): EngineLoad {
  return {batch: 0, online: 0, queued: 0, tokenMs: 10, weights: ['w'], ...changes};
}

function request(changes: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    affinity: 'a',
    customer: 'c',
    excluded: [],
    serving: ENGINES,
    weights: 'w',
    zone: 'z',
    ...changes,
  };
}

function stateAfter(events: readonly RoutingEvent[], now = 0): RoutingState {
  const setups = ENGINES.map((engine) => ({engine, role: 'all' as const, slots: SLOTS, zone: 'z'}));
  const configured = stepRouting(EMPTY_ROUTING, {kind: 'configured', setups}, now);
  return events.reduce((state, event) => stepRouting(state, event, now), configured);
}

function loadReport(engine: string, changes: Partial<EngineLoad> = {}): RoutingEvent {
  return {ageMs: 0, engine, kind: 'loadHeard', load: load(changes)};
}

const allReports = ENGINES.map((engine) => loadReport(engine));

describe('placeOnline', () => {
  test(
    'never selects an engine that is excluded, off, full, quarantined or without the weights',
    async () => {
      const engineState = fc.record({
        failures: fc.nat({max: 4}),
        online: fc.nat({max: 8}),
        role: fc.constantFrom('all' as const, 'batch' as const, 'off' as const, 'online' as const),
        weights: fc.constantFrom(['w'], ['other']),
      });
      const property = fc.property(
        fc.tuple(engineState, engineState, engineState),
        fc.subarray([...ENGINES]),
        fc.integer(),
        (states, excluded, seed) => {
          const setups = ENGINES.map((engine, index) => {
            const {role} = states[index]!;
            return {engine, role, slots: SLOTS, zone: 'z'};
          });
          let state = stepRouting(EMPTY_ROUTING, {kind: 'configured', setups}, 0);
          states.forEach(({failures, online, weights}, index) => {
            const engine = ENGINES[index]!;
            state = stepRouting(state, loadReport(engine, {online, weights}), 0);
            for (let failure = 0; failure < failures; failure++) {
              state = stepRouting(state, {engine, kind: 'unreachable'}, 0);
            }
          });
          const placement = placeOnline(state, request({excluded}), 0, seededRandom(seed));
          if (placement.kind === 'engine') {
            const chosen = states[ENGINES.indexOf(placement.engine as 'e1')]!;
            expect(excluded).not.toContain(placement.engine);
            expect(['all', 'online']).toContain(chosen.role);
            expect(chosen.weights).toEqual(['w']);
            expect(chosen.online).toBeLessThan(SLOTS * 1.5);
            expect(chosen.failures).toBeLessThan(2);
          } else {
            expect(placement.retryAfterMs).toBeGreaterThan(0);
          }
        },
      );
      await assertHistories('placements', property, 1000);
    },
    fuzzTimeoutMs(),
  );

  test('keeps a prefix on its engine while it has free capacity, and moves only those of a failed one', () => {
    const state = stateAfter(allReports);
    const random = seededRandom(1);
    const keys = Array.from({length: 300}, (_, key) => `key-${key}`);
    const placeOf = (view: RoutingState, affinity: string): string => {
      const placement = placeOnline(view, request({affinity}), 0, random);
      return placement.kind === 'engine' ? placement.engine : 'none';
    };
    const before = keys.map((key) => placeOf(state, key));
    expect(keys.map((key) => placeOf(state, key))).toEqual(before);
    const without = stateAfter([
      ...allReports,
      {engine: 'e3', kind: 'unreachable'},
      {engine: 'e3', kind: 'unreachable'},
    ]);
    keys.forEach((key, index) => {
      if (before[index] !== 'e3') {
        expect(placeOf(without, key)).toBe(before[index]);
      }
    });
  });

  test('avoids an engine at a tenth of its speed', () => {
    const state = stateAfter([
      loadReport('e1', {tokenMs: 100}),
      loadReport('e2'),
      loadReport('e3'),
    ]);
    const random = seededRandom(2);
    for (let key = 0; key < 200; key++) {
      const placement = placeOnline(state, request({affinity: `k${key}`}), 0, random);
      expect(placement).not.toEqual({engine: 'e1', kind: 'engine'});
    }
  });

  test('probes an engine with one request at a time after its quarantine', () => {
    const quarantined = stateAfter([
      loadReport('e1'),
      {engine: 'e1', kind: 'unreachable'},
      {engine: 'e1', kind: 'unreachable'},
    ]);
    const only = request({serving: ['e1']});
    expect(placeOnline(quarantined, only, 0, Math.random).kind).toBe('noEngine');
    expect(placeOnline(quarantined, only, 600, Math.random).kind).toBe('engine');
    const probing = stepRouting(quarantined, {engine: 'e1', kind: 'started', work: 'online'}, 600);
    expect(placeOnline(probing, only, 601, Math.random).kind).toBe('noEngine');
  });
});

describe('batchAllowance', () => {
  test(
    'allows exactly the slots that are free of online requests',
    async () => {
      const change = fc.oneof(
        fc.record({
          kind: fc.constant('told' as const),
          online: fc.nat({max: 3}),
          vm: fc.constantFrom('v1', 'v2'),
        }),
        fc.record({kind: fc.constantFrom('start' as const, 'end' as const)}),
      );
      const property = fc.property(fc.array(change, {maxLength: 20}), (changes) => {
        let state = stateAfter([loadReport('e1')]);
        const reported = new Map<string, number>();
        let own = 0;
        for (const item of changes) {
          switch (item.kind) {
            case 'end':
              if (own > 0) {
                own--;
                state = stepRouting(
                  state,
                  {engine: 'e1', kind: 'ended', outcome: 'succeeded', tokenMs: 0, work: 'online'},
                  1,
                );
              }
              break;
            case 'start':
              own++;
              state = stepRouting(state, {engine: 'e1', kind: 'started', work: 'online'}, 1);
              break;
            case 'told':
              reported.set(item.vm, item.online);
              state = stepRouting(
                state,
                {engine: 'e1', kind: 'told', online: item.online, vm: item.vm},
                1,
              );
              break;
          }
          const online = own + [...reported.values()].reduce((sum, one) => sum + one, 0);
          expect(onlineStreams(state.engines.get('e1')!)).toBe(online);
          const {keep, start} = batchAllowance(state, 'e1', 1);
          expect(keep).toBe(Math.max(0, SLOTS - online));
          expect(start).toBe(keep);
        }
      });
      await assertHistories('batch allowances', property, 500);
    },
    fuzzTimeoutMs(),
  );

  test('starts nothing on stale load reports, and drops expired counts of other VMs', () => {
    const state = stateAfter([loadReport('e1'), {engine: 'e1', kind: 'told', online: 3, vm: 'v1'}]);
    expect(batchAllowance(state, 'e1', 10_000)).toEqual({keep: 1, start: 0});
    const later = stepRouting(state, loadReport('e1'), 10_000);
    expect(batchAllowance(later, 'e1', 10_000)).toEqual({keep: 4, start: 4});
  });
});

describe('streamsToCancel', () => {
  test('cancels the latest started streams first, and no non-repeatable ones', () => {
    const streams = [1, 2, 3, 4].map((startedAt) => ({
      id: String(startedAt),
      repeatable: startedAt !== 4,
      startedAt,
    }));
    expect(streamsToCancel(streams, 2).map(({id}) => id)).toEqual(['3', '2']);
    expect(streamsToCancel(streams, 4)).toEqual([]);
  });
});

describe('ownerOf', () => {
  test('changes the owner only of the engines of a lost VM, and spreads ownership', () => {
    const vms = ['v1', 'v2', 'v3', 'v4'];
    const engines = Array.from({length: 200}, (_, engine) => `e${engine}`);
    const counts = new Map<string, number>();
    for (const engine of engines) {
      const owner = ownerOf(engine, vms)!;
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
      if (owner !== 'v2') {
        expect(ownerOf(engine, ['v1', 'v3', 'v4'])).toBe(owner);
      }
    }
    expect(Math.min(...counts.values())).toBeGreaterThan(30);
  });
});
