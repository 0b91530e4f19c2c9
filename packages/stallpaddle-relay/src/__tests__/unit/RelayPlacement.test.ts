/**
 * Which engine a request goes to.
 */
import type {EngineView} from 'stallpaddle-fleet';

import {seededRandom} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import {
  healthAfterAttempt,
  selectService,
  isHealthy,
  INITIAL_HEALTH,
  type PlacementInput,
  selectEngine,
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
    startedAtMs: 0,
    zone: 'z',
    ...changes,
  };
}

function place(engines: readonly EngineView[], changes: Partial<PlacementInput> = {}) {
  return selectEngine({
    apart: null,
    engines,
    experienceOf: () => INITIAL_HEALTH,
    isSuspect: () => false,
    now: 1_000,
    onlineAt: () => 0,
    random: seededRandom(7),
    service: 's',
    tried: new Set(),
    unseen: 0,
    zone: 'elsewhere',
    ...changes,
  })?.id;
}

describe('placeRequest', () => {
  test('takes the engine with the fewest requests for its slots', () => {
    const engines = [engineOf('1'), engineOf('2', {slots: 16}), engineOf('3')];
    const online: Record<string, number> = {'1': 3, '2': 4, '3': 5};
    expect(place(engines, {onlineAt: (id) => online[id]!})).toBe('2');
  });

  test('never takes one that leaves, was tried or serves something else', () => {
    const engines = [engineOf('1', {draining: true}), engineOf('2'), engineOf('3', {service: 't'})];
    expect(place(engines, {tried: new Set(['2'])})).toBeUndefined();
  });

  test('prefers its own availability zone by one request, and only while there is room', () => {
    const engines = [engineOf('near', {zone: 'own'}), engineOf('far')];
    const choose = (near: number, far: number) =>
      place(engines, {onlineAt: (id) => (id === 'near' ? near : far), zone: 'own'});
    expect([choose(0, 0), choose(2, 2), choose(3, 1)]).toEqual(['near', 'near', 'far']);
    expect(choose(5, 4)).toBe('far');
    expect(choose(4, 5)).toBe('near');
  });

  test('many VMs that know the same counts do not all choose the same engine', () => {
    const engines = Array.from({length: 40}, (_, at) => engineOf(`${at}`));
    // One engine is emptier than all others.
    const onlineAt = (id: string): number => (id === '0' ? 2 : 4);
    const random = seededRandom(11);
    const chosenBy = (unseen: number): number =>
      Array.from({length: 200}, () => place(engines, {onlineAt, random, unseen})).filter(
        (id) => id === '0',
      ).length;
    expect(chosenBy(1)).toBe(200);
    expect(chosenBy(20)).toBeLessThan(25);
  });

  test('never takes more requests to an engine than a draw of two would, with many unseen', () => {
    const engines = Array.from({length: 40}, (_, at) => engineOf(`${at}`));
    const random = seededRandom(12);
    const placed = new Map<string, number>();
    // Forty requests are placed before any count is told.
    for (let request = 0; request < 40; request++) {
      const id = place(engines, {onlineAt: (at) => Number(at) % 5, random, unseen: 20})!;
      placed.set(id, (placed.get(id) ?? 0) + 1);
    }
    expect(Math.max(...placed.values())).toBeLessThanOrEqual(6);
  });

  test('keeps off a suspect, but takes it when there is no other', () => {
    const suspect = healthAfterAttempt(INITIAL_HEALTH, false, 900);
    const experienceOf = ({id}: EngineView) => (id === '1' ? suspect : INITIAL_HEALTH);
    expect(
      place([engineOf('1'), engineOf('2')], {experienceOf, onlineAt: (id) => (id === '2' ? 7 : 0)}),
    ).toBe('2');
    expect(place([engineOf('1')], {experienceOf})).toBe('1');
  });

  test('keeps off an engine that others have found silent', () => {
    const isSuspect = (id: string) => id === '1';
    expect(
      place([engineOf('1'), engineOf('2')], {isSuspect, onlineAt: (id) => (id === '2' ? 7 : 0)}),
    ).toBe('2');
  });

  test('believes its own recent answer more than silence towards others', () => {
    const silent = engineOf('1', {silent: true});
    expect(isHealthy(silent, INITIAL_HEALTH, 1_000)).toBe(false);
    expect(isHealthy(silent, healthAfterAttempt(INITIAL_HEALTH, true, 500), 1_000)).toBe(true);
  });
});

describe('afterAttempt', () => {
  test('keeps off for longer with each failure in a row, up to a limit', () => {
    let seen = INITIAL_HEALTH;
    const pauses = Array.from({length: 6}, () => {
      seen = healthAfterAttempt(seen, false, 0);
      return seen.suspectUntil;
    });
    expect(pauses).toEqual([500, 1_000, 2_000, 4_000, 4_000, 4_000]);
    expect(healthAfterAttempt(seen, true, 0).failures).toBe(0);
  });
});

describe('drawService', () => {
  test('follows the weights and never draws a weight of 0', () => {
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
