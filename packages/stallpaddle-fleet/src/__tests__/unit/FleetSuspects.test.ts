/**
 * Which requests are held off the engines, by the ends of engines that VMs tell of in any order, late and twice.
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

describe('requests during whose runs engines ended', () => {
  test('a second end holds a request only if its run began when the first was known', () => {
    expect(levelOf(after([{}]))).toBe(1);
    expect(levelOf(after([{}, SECOND]))).toBe(QUARANTINE_LEVEL);
    // Engines that end at one moment, each with a run of what all callers send.
    const herd = Array.from({length: 60}, (_, at) => ({engine: `e${at}`}));
    expect(levelOf(after(herd))).toBe(1);
  });

  test('an end that several VMs tell of counts once; the next start of that engine is another', () => {
    expect(levelOf(after([{}, {known: 1}, {known: 1}]))).toBe(1);
    expect(levelOf(after([{}, {known: 1, startedAtMs: 7}]))).toBe(QUARANTINE_LEVEL);
  });

  test('the ends make the same level in whatever order they are told', async () => {
    // Seen beside 20 busy processes: the word of a second end overtook that of the first, and both made one.
    const ends = [{}, SECOND, {engine: 'e3', known: 2}, {engine: 'e4'}, {engine: 'e5', known: 1}];
    const orders = fc.shuffledSubarray(ends, {maxLength: 5, minLength: 5});
    const property = fc.property(orders, (order) => {
      expect(levelOf(after(order))).toBe(3);
    });
    await assertHistories('orders of ends', property, 200);
  });

  test('the word of an end that is lost keeps later ends from counting no longer than once', () => {
    expect(levelOf(after([{known: 1}, {engine: 'e2', known: 1}]))).toBe(QUARANTINE_LEVEL);
  });

  test('a run to an end clears it; late words of ends from before begin anew', () => {
    const cleared = afterRelease(after([{}]), {by: 'engine', digest: 'd', kind: 'releaseRequest'});
    expect(levelOf(cleared)).toBe(0);
    expect(levelOf(afterEngineEnd(cleared, endOf(SECOND), 0))).toBe(1);
  });

  test('is held for minutes, then on trial; one more end holds it twice as long; at last it is forgotten', () => {
    const held = after([{}, SECOND]);
    expect(suspectView(held.get('d')!).holdMs).toBe(FIRST_QUARANTINE_MS);
    expect(levelOf(afterTick(held, FIRST_QUARANTINE_MS - 1))).toBe(QUARANTINE_LEVEL);
    const onTrial = afterTick(held, FIRST_QUARANTINE_MS);
    expect(levelOf(onTrial)).toBe(QUARANTINE_LEVEL - 1);
    const again = afterEngineEnd(onTrial, endOf({engine: 'e3', known: 1}), FIRST_QUARANTINE_MS);
    expect(suspectView(again.get('d')!).holdMs).toBe(2 * FIRST_QUARANTINE_MS);
    expect(afterTick(onTrial, 2 * FIRST_QUARANTINE_MS).size).toBe(0);
    expect(afterTick(after([{}]), FIRST_QUARANTINE_MS).size).toBe(0);
  });

  test('a flood of other requests pushes none out that is held', () => {
    let suspects = after([{}, SECOND]);
    for (let at = 0; at < 5_000; at++) {
      suspects = afterEngineEnd(suspects, endOf({digest: `other ${at}`}), 0);
    }
    expect(suspects.size).toBeLessThanOrEqual(4_096);
    expect(levelOf(suspects)).toBe(QUARANTINE_LEVEL);
  });

  test('whatever is told, in whatever order: no level beyond the engines that ended, and none by words alone', async () => {
    const end = fc.record({
      digest: fc.constantFrom('a', 'b'),
      engine: fc.constantFrom('e1', 'e2', 'e3', 'e4'),
      known: fc.nat(3),
      startedAtMs: fc.nat(1),
    });
    const property = fc.property(fc.array(end, {maxLength: 12}), (ends) => {
      const once = after(ends);
      for (const digest of ['a', 'b']) {
        const told = ends.filter((other) => other.digest === digest);
        const starts = new Set(told.map(({engine, startedAtMs}) => `${engine}@${startedAtMs}`));
        expect(levelOf(once, digest)).toBeLessThanOrEqual(starts.size);
        const senders = new Set(told.map(({known}) => known));
        if (senders.size === 1 && senders.has(0)) {
          expect(levelOf(once, digest)).toBe(1);
        }
      }
      // The same words once more change nothing.
      const twice = ends.reduce((held, other) => afterEngineEnd(held, endOf(other), 0), once);
      expect(twice).toEqual(once);
    });
    await assertHistories('ends of engines', property, 500);
  });

  test('is in the group’s snapshot; one of a release before has none', () => {
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
