/**
 * Quarantine of parts of prompts: exits are reported late, repeatedly and in any order, and each implicates all parts of all
 * requests that were starting on the engine.
 */
import fc from 'fast-check';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {FleetSuspects, NoteEngineEnd} from '../../FleetSuspects';

import {fleetMachine} from '../../FleetMachine';
import {quarantinedGroups, suspectPartViews} from '../../FleetPartCauses';
import {
  afterPartsEnd,
  afterPartsRelease,
  afterPartsTick,
  afterPartsTrial,
  type FleetSuspectParts,
  type KnownPart,
  partTrialDelayMs,
} from '../../FleetSuspectParts';
import {afterEngineEnd, FIRST_QUARANTINE_MS, QUARANTINE_LEVEL} from '../../FleetSuspects';

/** Delay of the first trial of a part that engines have never run. */
const DELAY_MS = partTrialDelayMs({failedTrials: 0, served: false});
const NONE: FleetSuspectParts = new Map();
const NO_REQUESTS: FleetSuspects = new Map();

/** An exit of engine `e<at>` while it was starting request `r<at>` with the given parts. */
function exitOf(
  at: number,
  parts: readonly (Partial<KnownPart> & {part: string})[],
  changes: Partial<NoteEngineEnd> = {},
): NoteEngineEnd {
  return {
    digest: `r${at}`,
    engine: `e${at}`,
    kind: 'noteEngineEnd',
    known: 0,
    parts: parts.map((part) => ({known: 0, served: false, ...part})),
    startedAtMs: 0,
    ...changes,
  };
}

function after(ends: readonly NoteEngineEnd[], before = NONE, now = 0): FleetSuspectParts {
  return ends.reduce((suspects, end) => afterPartsEnd(suspects, end, now), before);
}

/** Exits one after the other, each known to the next sender, with the same parts. */
function consecutive(from: number, count: number, ...parts: readonly string[]): NoteEngineEnd[] {
  return Array.from({length: count}, (_, at) =>
    exitOf(
      from + at,
      parts.map((part) => ({known: at, part})),
    ),
  );
}

function released(suspects: FleetSuspectParts, ...parts: readonly string[]): FleetSuspectParts {
  return afterPartsRelease(suspects, {by: 'engine', kind: 'releaseParts', parts}, 0);
}

/** The groups while no request is quarantined by itself. */
function groupsOf(suspects: FleetSuspectParts): readonly (readonly string[])[] {
  return quarantinedGroups(suspects, NO_REQUESTS);
}

function levelOf(suspects: FleetSuspectParts, part: string): number {
  return suspects.get(part)?.level ?? 0;
}

describe('levels of parts', () => {
  test('rise with exits of runs that started when the one before was known', () => {
    expect(levelOf(after(consecutive(0, 2, 'x')), 'x')).toBe(QUARANTINE_LEVEL);
    const simultaneous = Array.from({length: 60}, (_, at) => exitOf(at, [{part: 'x'}]));
    expect(levelOf(after(simultaneous), 'x')).toBe(1);
  });

  test('quarantine nothing while one request returns: its own quarantine covers that', () => {
    const ends = consecutive(0, 5, 'x').map((end) => ({...end, digest: 'same'}));
    expect(groupsOf(after(ends))).toEqual([]);
    const other = exitOf(7, [{known: 5, part: 'x'}]);
    expect(groupsOf(after([...ends, other]))).toEqual([['x']]);
  });

  test('rise when requests return that crashed engines at the same moment', () => {
    const together = [0, 1, 2].map((at) => exitOf(at, [{part: 'x'}]));
    const again = together.map((end, at) => ({
      ...end,
      engine: `f${at}`,
      parts: [{known: 1, part: 'x', served: false}],
    }));
    expect(groupsOf(after([...together, ...again]))).toEqual([['x']]);
  });

  test('do not rise when several requests report the same exit', () => {
    const [first] = consecutive(0, 1, 'x');
    const beside = exitOf(1, [{known: 1, part: 'x'}], {engine: 'e0'});
    expect(levelOf(after([first!, beside]), 'x')).toBe(1);
  });

  test('do not depend on the order of reports, and repeated reports change nothing', async () => {
    const ends = [
      ...consecutive(0, 3, 'x', 'a'),
      exitOf(7, [{part: 'x'}]),
      exitOf(8, [{part: 'a'}]),
    ];
    const orders = fc.shuffledSubarray(ends, {maxLength: ends.length, minLength: ends.length});
    const property = fc.property(orders, (order) => {
      const suspects = after(order);
      expect([levelOf(suspects, 'x'), levelOf(suspects, 'a')]).toEqual([3, 3]);
      expect(after(order, suspects)).toEqual(suspects);
    });
    await assertHistories('orders of exits', property, 200);
  });
});

describe('quarantined groups', () => {
  test('a part that engines ran before is not held beside one that they never ran', () => {
    const ends = [0, 1].map((at) =>
      exitOf(at, [
        {known: at, part: 'a', served: at === 1},
        {known: at, part: 'x'},
      ]),
    );
    expect(groupsOf(after(ends))).toEqual([['x']]);
  });

  test('parts that always occurred together are held together, until one occurs without the other', () => {
    const suspects = after(consecutive(0, 2, 'a', 'x'));
    expect(groupsOf(suspects)).toEqual([['a', 'x']]);
    expect(groupsOf(after([exitOf(5, [{known: 2, part: 'x'}])], suspects))).toEqual([['x']]);
    expect(groupsOf(released(suspects, 'a'))).toEqual([['x']]);
  });

  test('a part that two others explain is not held', () => {
    const first = consecutive(0, 2, 'x', 'a').map((end) => end);
    const second = consecutive(2, 2, 'y', 'a');
    // All exits of the shared part, while it was never run: it explains more than either.
    const unknown = after([...first, ...second]);
    expect(groupsOf(unknown)).toEqual([['a']]);
    const served = after([exitOf(9, [{known: 4, part: 'a', served: true}, {part: 'z'}])], unknown);
    expect(groupsOf(served)).toEqual([['x'], ['y']]);
  });

  test('a part that was served before is held only after four exits that nothing else explains', () => {
    const ends = [0, 1, 2, 3].map((at) =>
      exitOf(at, [{known: at, part: 'a', served: true}, {part: `own ${at}`}]),
    );
    expect(groupsOf(after(ends.slice(0, 3)))).toEqual([]);
    expect(groupsOf(after(ends))).toEqual([['a']]);
    // A part that an engine has run since counts as served although no sender remembers it.
    const again = consecutive(10, 3, 'a');
    expect(groupsOf(after(again, released(after(ends), 'a')))).toEqual([]);
    expect(groupsOf(after(again))).toEqual([['a']]);
  });

  test('a part that all requests share is not held beside one whose crashes nobody knew of yet', () => {
    // Each request with the cause started before the crashes of the others were known.
    const fatal = [0, 1, 2].map((at) =>
      exitOf(at, [
        {known: Math.min(at, 1), part: 'all', served: true},
        {known: 0, part: 'x'},
      ]),
    );
    const beside = exitOf(7, [{known: 1, part: 'all', served: true}, {part: 'rare'}]);
    const suspects = after([...fatal, beside]);
    expect([levelOf(suspects, 'x'), levelOf(suspects, 'all')]).toEqual([1, 2]);
    expect(groupsOf(suspects)).toEqual([]);
  });

  test('a part whose requests only ran beside one that returns is not held', () => {
    // The request crashes three engines; two requests with a rare part were starting beside it.
    const fatal = [0, 1, 2].map((at) =>
      exitOf(at, [{known: at, part: 'a'}], {digest: 'd', known: at}),
    );
    const beside = [1, 2].map((at) =>
      exitOf(at, [{known: at - 1, part: 'rare'}], {digest: `beside ${at}`}),
    );
    const ends = [...fatal, ...beside];
    const requests = ends.reduce((all, end) => afterEngineEnd(all, end, 0), NO_REQUESTS);
    const parts = after(ends);
    expect(levelOf(parts, 'rare')).toBe(QUARANTINE_LEVEL);
    expect(quarantinedGroups(parts, requests)).toEqual([]);
  });

  test('a part is held although each request that has it crashed two engines by itself', () => {
    const ends = [0, 1, 2, 3].map((at) => {
      const known = Math.floor(at / 2);
      return exitOf(at, [{known, part: 'x'}], {digest: `r${known}`, known: at % 2});
    });
    const requests = ends.reduce((all, end) => afterEngineEnd(all, end, 0), NO_REQUESTS);
    expect([...requests.values()].map(({level}) => level)).toEqual([2, 2]);
    expect(quarantinedGroups(after(ends), requests)).toEqual([['x']]);
  });

  test('whatever the exits and releases, each group explains two exits that no other does', async () => {
    const part = fc.constantFrom('a', 'b', 'x', 'y');
    const step = fc.oneof(
      {
        arbitrary: fc.record({
          engine: fc.constantFrom('e1', 'e2', 'e3', 'e4', 'e5'),
          known: fc.nat(3),
          parts: fc.uniqueArray(part, {minLength: 1}),
          request: fc.constantFrom('r1', 'r2', 'r3', 'r4'),
          served: fc.boolean(),
        }),
        weight: 5,
      },
      {arbitrary: part.map((release) => ({release})), weight: 1},
    );
    const property = fc.property(fc.array(step, {maxLength: 30}), (steps) => {
      let suspects = NONE;
      for (const [at, next] of steps.entries()) {
        if ('release' in next) {
          suspects = released(suspects, next.release);
        } else {
          const {engine, known, parts, request, served} = next;
          const knownParts = parts.map((name) => ({known, part: name, served}));
          suspects = after([exitOf(at, knownParts, {digest: request, engine})], suspects);
        }
        const explained = new Set<string>();
        for (const group of groupsOf(suspects)) {
          const {exits} = suspects.get(group[0]!)!;
          const own = exits.filter(({incarnation}) => !explained.has(incarnation));
          expect(own.length).toBeGreaterThanOrEqual(2);
          own.forEach(({incarnation}) => explained.add(incarnation));
        }
        const last = 'release' in next ? next.release : undefined;
        expect(last === undefined ? 0 : levelOf(suspects, last)).toBe(0);
      }
    });
    await assertHistories('exits and releases', property, 300);
  });
});

describe('trials', () => {
  const HELD = after(consecutive(0, 2, 'x'));
  const TRY = {kind: 'tryParts', parts: ['x'], trials: 0} as const;

  test('are granted to one of all senders, and only when due', () => {
    const dueAt = DELAY_MS;
    expect(afterPartsTrial(HELD, TRY, dueAt - 1)).toBeUndefined();
    const tried = afterPartsTrial(HELD, TRY, dueAt)!;
    expect(suspectPartViews(tried, NO_REQUESTS)).toMatchObject([
      {group: 'x', part: 'x', trials: 1},
    ]);
    // Another VM that knows of no trial yet.
    expect(afterPartsTrial(tried, TRY, dueAt)).toBeUndefined();
    expect(afterPartsTrial(tried, TRY, 2 * dueAt)).toBeUndefined();
    const next = {...TRY, trials: 1};
    expect(afterPartsTrial(tried, next, 2 * dueAt - 1)).toBeUndefined();
    expect(afterPartsTrial(tried, next, 2 * dueAt)).toBeDefined();
  });

  test('are denied for parts that are not quarantined or no longer suspects', () => {
    const later = 2 * FIRST_QUARANTINE_MS;
    expect(afterPartsTrial(NONE, TRY, later)).toBeUndefined();
    expect(afterPartsTrial(after(consecutive(0, 1, 'x')), TRY, later)).toBeUndefined();
    expect(afterPartsTrial(HELD, {...TRY, parts: ['x', 'gone']}, later)).toBeUndefined();
  });

  test('come again after the same delay while no engine exits: a trial may be cut short', () => {
    let suspects = HELD;
    for (const trials of [0, 1, 2]) {
      const now = (trials + 1) * DELAY_MS;
      suspects = afterPartsTrial(suspects, {...TRY, trials}, now)!;
    }
    const failed = after([exitOf(9, [{known: 2, part: 'x'}])], suspects, 3 * DELAY_MS);
    const [view] = suspectPartViews(failed, NO_REQUESTS);
    expect(view!.trialDelayMs).toBe(partTrialDelayMs({failedTrials: 1, served: false}));
  });

  test('crash few engines in an hour, while a crashed one postpones the next', () => {
    let suspects = HELD;
    let crashes = 0;
    for (let now = 0; now < 3_600_000; now += 1_000) {
      const {trials} = suspects.get('x')!;
      const granted = afterPartsTrial(suspects, {...TRY, trials}, now);
      if (granted !== undefined) {
        const exit = exitOf(100 + crashes++, [{known: levelOf(granted, 'x'), part: 'x'}]);
        suspects = afterPartsEnd(granted, exit, now);
      }
    }
    expect(crashes).toBeLessThanOrEqual(4);
  });
});

describe('suspect parts', () => {
  test('expire: a suspect soon, a quarantined one when nobody asks for its trial', () => {
    expect(afterPartsTick(after(consecutive(0, 1, 'x')), FIRST_QUARANTINE_MS).size).toBe(0);
    const held = after(consecutive(0, 2, 'x'));
    expect(afterPartsTick(held, FIRST_QUARANTINE_MS)).toBe(held);
    expect(afterPartsTick(held, FIRST_QUARANTINE_MS + DELAY_MS).size).toBe(0);
  });

  test('are bounded; a flood of others evicts no quarantined one', () => {
    let suspects = after(consecutive(0, 2, 'x'));
    for (let at = 10; at < 5_000; at++) {
      suspects = after([exitOf(at, [{part: `other ${at}`}])], suspects);
    }
    expect(suspects.size).toBeLessThanOrEqual(4_096);
    expect(groupsOf(suspects)).toEqual([['x']]);
  });

  test('are part of the snapshot', () => {
    const state = {...fleetMachine.initial(), suspectParts: after(consecutive(0, 2, 'x', 'a'))};
    expect(fleetMachine.decode(fleetMachine.encode(state))).toEqual(state);
  });
});
