/**
 * Guards against poor engine selection: overload, unavailable engines, needless traffic between zones.
 */
import type {EngineView} from 'stallpaddle-fleet';

import {seededRandom} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import {
  healthAfterAttempt,
  INITIAL_HEALTH,
  isHealthy,
  type PlacementInput,
  selectEngine,
  selectService,
} from '../../RelayPlacement';

function engineOf(id: string, changes: Partial<EngineView> = {}): EngineView {
  return {
    address: `10.0.0.1:${id}`,
    draining: false,
    id,
    sequence: 0,
    service: 's',
    silent: false,
    slots: 8,
    softwareVersion: 'v1',
    startedAtMs: 0,
    zone: 'z',
    ...changes,
  };
}

function place(engines: readonly EngineView[], changes: Partial<PlacementInput> = {}) {
  return selectEngine({
    engines,
    healthOf: () => INITIAL_HEALTH,
    isUnresponsive: () => false,
    now: 1_000,
    onlineAt: () => 0,
    random: seededRandom(7),
    service: 's',
    softwareVersion: undefined,
    suspectDigest: null,
    tried: new Set(),
    unreported: 0,
    zone: 'elsewhere',
    ...changes,
  })?.id;
}

describe('selectEngine', () => {
  test('selects the engine with the fewest requests per slot', () => {
    const engines = [engineOf('1'), engineOf('2', {slots: 16}), engineOf('3')];
    const online: Record<string, number> = {'1': 3, '2': 4, '3': 5};
    expect(place(engines, {onlineAt: (id) => online[id]!})).toBe('2');
  });

  test('never selects an engine that is draining, was tried or runs another service', () => {
    const engines = [engineOf('1', {draining: true}), engineOf('2'), engineOf('3', {service: 't'})];
    expect(place(engines, {tried: new Set(['2'])})).toBeUndefined();
  });

  test('prefers its own availability zone by one request, and only at low load', () => {
    const engines = [engineOf('near', {zone: 'own'}), engineOf('far')];
    const choose = (near: number, far: number) =>
      place(engines, {onlineAt: (id) => (id === 'near' ? near : far), zone: 'own'});
    expect([choose(0, 0), choose(2, 2), choose(3, 1)]).toEqual(['near', 'near', 'far']);
    expect(choose(5, 4)).toBe('far');
    expect(choose(4, 5)).toBe('near');
  });

  test('many VMs with the same counts do not all select the same engine', () => {
    const engines = Array.from({length: 40}, (_, at) => engineOf(`${at}`));
    // One engine has a lower load than all others.
    const onlineAt = (id: string): number => (id === '0' ? 2 : 4);
    const random = seededRandom(11);
    const chosenBy = (unreported: number): number =>
      Array.from({length: 200}, () => place(engines, {onlineAt, random, unreported})).filter(
        (id) => id === '0',
      ).length;
    expect(chosenBy(1)).toBe(200);
    expect(chosenBy(20)).toBeLessThan(25);
  });

  test('with many unreported requests, no engine gets more than with two random choices', () => {
    const engines = Array.from({length: 40}, (_, at) => engineOf(`${at}`));
    const random = seededRandom(12);
    const placed = new Map<string, number>();
    // All forty requests are placed before any count is reported.
    for (let request = 0; request < 40; request++) {
      const id = place(engines, {onlineAt: (at) => Number(at) % 5, random, unreported: 20})!;
      placed.set(id, (placed.get(id) ?? 0) + 1);
    }
    expect(Math.max(...placed.values())).toBeLessThanOrEqual(6);
  });

  test('avoids an engine that failed, but selects it when there is no other', () => {
    const failed = healthAfterAttempt(INITIAL_HEALTH, false, 900);
    const healthOf = ({id}: EngineView) => (id === '1' ? failed : INITIAL_HEALTH);
    expect(
      place([engineOf('1'), engineOf('2')], {healthOf, onlineAt: (id) => (id === '2' ? 7 : 0)}),
    ).toBe('2');
    expect(place([engineOf('1')], {healthOf})).toBe('1');
  });

  test('avoids an engine that was reported as unresponsive', () => {
    const isUnresponsive = (id: string) => id === '1';
    expect(
      place([engineOf('1'), engineOf('2')], {
        isUnresponsive,
        onlineAt: (id) => (id === '2' ? 7 : 0),
      }),
    ).toBe('2');
  });

  test('a recent success of this sender outweighs missing heartbeats', () => {
    const silent = engineOf('1', {silent: true});
    expect(isHealthy(silent, INITIAL_HEALTH, 1_000)).toBe(false);
    expect(isHealthy(silent, healthAfterAttempt(INITIAL_HEALTH, true, 500), 1_000)).toBe(true);
  });
});

describe('healthAfterAttempt', () => {
  test('backs off longer after each consecutive failure, up to a limit', () => {
    let health = INITIAL_HEALTH;
    const backoffs = Array.from({length: 6}, () => {
      health = healthAfterAttempt(health, false, 0);
      return health.avoidUntil;
    });
    expect(backoffs).toEqual([500, 1_000, 2_000, 4_000, 4_000, 4_000]);
    expect(healthAfterAttempt(health, true, 0).failures).toBe(0);
  });
});

describe('selectService', () => {
  test('follows the weights and never selects a weight of 0', () => {
    const random = seededRandom(3);
    const split = [
      {service: 'a', weight: 90},
      {service: 'b', weight: 10},
      {service: 'c', weight: 0},
    ];
    const counts: Record<string, number> = {};
    for (let draw = 0; draw < 2_000; draw++) {
      const service = selectService({split} as never, random)!;
      counts[service] = (counts[service] ?? 0) + 1;
    }
    expect(counts.a! / 2_000).toBeCloseTo(0.9, 1);
    expect(counts.c).toBeUndefined();
  });
});
