/**
 * Quarantine of requests by engine exits, which VMs report late, repeatedly and in any order.
 */
import fc from 'fast-check';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {FleetSuspects, NoteEngineEnd} from '../../FleetSuspects';

import {fleetMachine} from '../../FleetMachine';
import {
  afterEngineEnd,
  afterRelease,
  afterTick,
  FIRST_QUARANTINE_MS,
  QUARANTINE_LEVEL,
  suspectView,
} from '../../FleetSuspects';

const NONE: FleetSuspects = new Map();

function endOf(changes: Partial<NoteEngineEnd> = {}): NoteEngineEnd {
  return {
    digest: 'd',
    engine: 'e1',
    kind: 'noteEngineEnd',
    known: 0,
    startedAtMs: 0,
    ...changes,
  };
}

function after(ends: readonly Partial<NoteEngineEnd>[], now = 0): FleetSuspects {
  return ends.reduce((suspects, end) => afterEngineEnd(suspects, endOf(end), now), NONE);
}

function levelOf(suspects: FleetSuspects, digest = 'd'): number {
  return suspects.get(digest)?.level ?? 0;
}

const SECOND = {engine: 'e2', known: 1};

describe('requests that were starting when engines exited', () => {
  test('a second exit quarantines a request only if its attempt started when the first was known', () => {
    expect(levelOf(after([{}]))).toBe(1);
    expect(levelOf(after([{}, SECOND]))).toBe(QUARANTINE_LEVEL);
    // Engines that exit at the same moment, each while starting the same request.
    const simultaneous = Array.from({length: 60}, (_, at) => ({engine: `e${at}`}));
    expect(levelOf(after(simultaneous))).toBe(1);
  });

  test('an exit reported by several VMs counts once; an exit of the next incarnation counts again', () => {
    expect(levelOf(after([{}, {known: 1}, {known: 1}]))).toBe(1);
    expect(levelOf(after([{}, {known: 1, startedAtMs: 7}]))).toBe(QUARANTINE_LEVEL);
  });

  test('the level does not depend on the order in which exits are reported', async () => {
    // The report of a second exit may overtake that of the first.
    const ends = [{}, SECOND, {engine: 'e3', known: 2}, {engine: 'e4'}, {engine: 'e5', known: 1}];
    const orders = fc.shuffledSubarray(ends, {maxLength: 5, minLength: 5});
    const property = fc.property(orders, (order) => {
      expect(levelOf(after(order))).toBe(3);
    });
    await assertHistories('orders of exits', property, 200);
  });

  test('after a lost report of an exit, the next exit that is reported quarantines the request', () => {
    expect(levelOf(after([{known: 1}, {engine: 'e2', known: 1}]))).toBe(QUARANTINE_LEVEL);
  });

  test('a completed attempt clears it; late reports of earlier exits start again from level 1', () => {
    const cleared = afterRelease(after([{}]), {by: 'engine', digest: 'd', kind: 'releaseRequest'});
    expect(levelOf(cleared)).toBe(0);
    expect(levelOf(afterEngineEnd(cleared, endOf(SECOND), 0))).toBe(1);
  });

  test('is quarantined, then on trial; one more exit doubles the quarantine; finally it is dropped', () => {
    const quarantined = after([{}, SECOND]);
    expect(suspectView(quarantined.get('d')!).holdMs).toBe(FIRST_QUARANTINE_MS);
    expect(levelOf(afterTick(quarantined, FIRST_QUARANTINE_MS - 1))).toBe(QUARANTINE_LEVEL);
    const onTrial = afterTick(quarantined, FIRST_QUARANTINE_MS);
    expect(levelOf(onTrial)).toBe(QUARANTINE_LEVEL - 1);
    const again = afterEngineEnd(onTrial, endOf({engine: 'e3', known: 1}), FIRST_QUARANTINE_MS);
    expect(suspectView(again.get('d')!).holdMs).toBe(2 * FIRST_QUARANTINE_MS);
    expect(afterTick(onTrial, 2 * FIRST_QUARANTINE_MS).size).toBe(0);
    expect(afterTick(after([{}]), FIRST_QUARANTINE_MS).size).toBe(0);
  });

  test('a flood of other suspects evicts no quarantined one', () => {
    let suspects = after([{}, SECOND]);
    for (let at = 0; at < 5_000; at++) {
      suspects = afterEngineEnd(suspects, endOf({digest: `other ${at}`}), 0);
    }
    expect(suspects.size).toBeLessThanOrEqual(4_096);
    expect(levelOf(suspects)).toBe(QUARANTINE_LEVEL);
  });

  test('the level never exceeds the number of engine exits, and repeated reports never raise it', async () => {
    const end = fc.record({
      digest: fc.constantFrom('a', 'b'),
      engine: fc.constantFrom('e1', 'e2', 'e3', 'e4'),
      known: fc.nat(3),
      startedAtMs: fc.nat(1),
    });
    const property = fc.property(fc.array(end, {maxLength: 12}), (ends) => {
      const once = after(ends);
      for (const digest of ['a', 'b']) {
        const reports = ends.filter((other) => other.digest === digest);
        const starts = new Set(reports.map(({engine, startedAtMs}) => `${engine}@${startedAtMs}`));
        expect(levelOf(once, digest)).toBeLessThanOrEqual(starts.size);
        const senders = new Set(reports.map(({known}) => known));
        if (senders.size === 1 && senders.has(0)) {
          expect(levelOf(once, digest)).toBe(1);
        }
      }
      // Repeating all reports changes nothing.
      const twice = ends.reduce(
        (suspects, other) => afterEngineEnd(suspects, endOf(other), 0),
        once,
      );
      expect(twice).toEqual(once);
    });
    await assertHistories('engine exits', property, 500);
  });

  test('is part of the snapshot; a snapshot of an earlier release has no suspects', () => {
    const state = {...fleetMachine.initial(), clockMs: 5, suspects: after([{}, SECOND])};
    expect(fleetMachine.decode(fleetMachine.encode(state))).toEqual(state);
    const before: Record<string, unknown> = {...fleetMachine.initial()};
    delete before.suspects;
    delete before.clockMs;
    const encoded = fleetMachine.encode({
      ...fleetMachine.initial(),
      ...before,
      suspects: new Map(),
    });
    expect(fleetMachine.decode(encoded).suspects.size).toBe(0);
  });
});
