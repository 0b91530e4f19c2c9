/**
 * Guards engines against requests that run at more of them than their route allows: its limit counts every engine that may
 * have run the request, whatever other engines have declined it or left the fleet meanwhile.
 */
import {type Random, seededRandom} from 'stallpaddle';
import {type EngineBehavior, PLAIN, type StreamEngine} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import type {RelayContext} from '../../RelayTypes';

import {RelayEngineSelector} from '../../RelayEngineSelector';
import {
  contextOf,
  forgetfulContextOf,
  requestOf,
  routeOf,
  sendRequest,
  startEngines,
  startRelay,
  stopAll,
} from '../RelayFixture';

afterEach(stopAll);

/** Context of engines e0, e1, and so on; `listed` are those in the fleet status. */
function changingContextOf(engines: readonly StreamEngine[]) {
  const base = contextOf(engines);
  const listed = new Set(base.engines().map(({id}) => id));
  const draining = new Set<string>();
  const context: RelayContext = {
    ...base,
    engines: () =>
      base
        .engines()
        .filter(({id}) => listed.has(id))
        .map((engine) => ({...engine, draining: draining.has(engine.id)})),
  };
  return {context, draining, listed};
}

async function selectorOf(count: number, maxAttempts: number) {
  const {context, draining, listed} = changingContextOf(await startEngines(count));
  const req = requestOf({route: routeOf({maxAttempts})});
  return {draining, listed, selector: new RelayEngineSelector(context, req, () => null)};
}

describe('RelayEngineSelector', () => {
  // Guards against a further engine that runs the request because it declined it before.
  test('an engine that declined a request gets it again only while an attempt is left', async () => {
    const {selector} = await selectorOf(2, 1);
    selector.noteSent('e0');
    selector.noteNotRun('declined');
    selector.noteSent('e1');
    expect(selector.hasAttemptLeft).toBe(false);
    expect(selector.next()?.id).toBe('e1');
  });

  // Guards against attempts that are forgotten when all engines have declined a caller's return.
  test('a request that all engines declined at last keeps its attempts', async () => {
    const {selector} = await selectorOf(3, 1);
    selector.noteSent('e0');
    selector.noteSent('e1');
    selector.noteNotRun('declined');
    selector.allowDeclined();
    expect(selector.hasAttemptLeft).toBe(false);
    expect(selector.next()?.id).toBe('e0');
  });

  // Guards against attempts that are forgotten when a stream waits for an engine.
  test('a stream whose engines are draining gets no further one', async () => {
    const {draining, selector} = await selectorOf(3, 1);
    selector.noteSent('e0');
    draining.add('e0');
    expect(selector.next()).toBeUndefined();
    selector.allowAllEngines();
    expect(selector.next()).toBeUndefined();
  });

  // Guards against a further engine for a request whose engine is too busy or too far away to accept a connection.
  test('an engine that may have run a request and can’t be reached is still an attempt', async () => {
    const {selector} = await selectorOf(2, 1);
    selector.noteSent('e0');
    selector.noteSent('e0');
    selector.noteNotRun('noConnection');
    expect(selector.hasAttemptLeft).toBe(false);
    selector.noteSent('e0');
    selector.noteNotRun('refused');
    expect(selector.hasAttemptLeft).toBe(true);
  });

  test('an engine that has left the fleet is no attempt any more', async () => {
    const {listed, selector} = await selectorOf(3, 1);
    selector.noteSent('e0');
    listed.delete('e0');
    expect(selector.hasAttemptLeft).toBe(true);
    expect(selector.next()).toBeDefined();
  });
});

/** Behaviors of engines in trouble; those that decline a request don't run it. */
const DECLINE: EngineBehavior = {kind: 'decline'};
const FAILURES: readonly EngineBehavior[] = [
  {after: 0, kind: 'breakOff'},
  {after: 2, kind: 'breakOff'},
  {after: 1, kind: 'endWithin'},
  {kind: 'fail', status: 500},
  {kind: 'reset'},
  {kind: 'wrongRequest'},
];
const ROUNDS = 60;

/** Behaviors of one engine for one request: it may decline it, fails once, and declines or serves it then. */
function behaviorsOf(random: Random): EngineBehavior[] {
  const failure = FAILURES[Math.floor(random() * FAILURES.length)]!;
  const declines = Array.from({length: Math.floor(random() * 3)}, () => DECLINE);
  return [...declines, failure, ...(random() < 0.5 ? [DECLINE] : [])];
}

/** Engines that have run the request. */
function ranAt(engines: readonly StreamEngine[], given: readonly EngineBehavior[][]): number[] {
  return engines.flatMap(({behaviors, seen}, at) => {
    const used = given[at]!.slice(0, given[at]!.length - behaviors.length);
    const served = seen.length > given[at]!.length;
    return served || used.some(({kind}) => kind !== 'decline') ? [at] : [];
  });
}

describe('a stream at engines that drain and fail', () => {
  // Guards against a count of attempts that starts anew whenever no engine is left.
  test.each([1, 2, 3])('runs at %i of them at most, and ends at once then', async (maxAttempts) => {
    const engines = await startEngines(5);
    const {context, draining} = changingContextOf(engines);
    engines.forEach((engine, at) => {
      engine.behaviors = Array.from({length: 10}, () => ({after: 1, kind: 'breakOff'}));
      engine.onRequest = () => draining.add(`e${at}`);
    });
    const {ends, port} = await startRelay(context, routeOf({maxAttempts}));
    const {isComplete} = await sendRequest(port);
    expect(isComplete).toBe(false);
    expect(ends).toEqual(['broken']);
    expect(engines.filter(({seen}) => seen.length > 0)).toHaveLength(maxAttempts);
  });
});

describe('a request at engines that decline and fail', () => {
  test.each([
    {isOn: false, maxAttempts: 1, spentMs: 0},
    {isOn: false, maxAttempts: 2, spentMs: 0},
    {isOn: true, maxAttempts: 1, spentMs: 0},
    {isOn: true, maxAttempts: 2, spentMs: 0},
    {isOn: true, maxAttempts: 1, spentMs: 400},
    {isOn: true, maxAttempts: 2, spentMs: 400},
  ])(
    'runs at $maxAttempts of them at most (admission $isOn, $spentMs ms spent)',
    async ({isOn, maxAttempts, spentMs}) => {
      const random = seededRandom(3);
      const engines = await startEngines(4);
      const context = Object.assign(forgetfulContextOf(engines), {isOn: () => isOn, random});
      const {port} = await startRelay(context, routeOf({maxAttempts}), spentMs);
      for (let round = 0; round < ROUNDS; round++) {
        const given = engines.map(() => behaviorsOf(random));
        engines.forEach((engine, at) => {
          engine.behaviors = [...given[at]!];
          engine.seen.length = 0;
        });
        await sendRequest(port, undefined, {[PLAIN.timeLeft]: '300'});
        const ran = ranAt(engines, given);
        expect([round, ran.length <= maxAttempts, ran]).toEqual([round, true, ran]);
      }
    },
    30_000,
  );
});
