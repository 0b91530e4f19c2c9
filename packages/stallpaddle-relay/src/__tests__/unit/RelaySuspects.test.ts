/**
 * Requests that end engines, and requests that only stood beside: what each VM finds, and what it does with it.
 */
import {delay, VERDICT_HEADER} from 'stallpaddle';
import {QUARANTINE_LEVEL} from 'stallpaddle-fleet';
import {PLAIN, plainRelay, type StreamEngine, SuspectBoard} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import type {RelayContext} from '../../RelayTypes';

import {requestDigest} from '../../RelayDigest';
import {hasEnded} from '../../RelayProbe';
import {hasOnlyBegun} from '../../RelaySuspects';
import {ask, contextOf, routeOf, startEngines, startRelay, stopAll} from '../RelayFixture';

const FATAL = 'ends engines';
/** Time in which an end is looked into, in milliseconds: three looks and their pauses. */
const LOOKED_MS = 400;

afterEach(stopAll);

async function startFatal(count: number, eventsBeforeEnd = 0): Promise<readonly StreamEngine[]> {
  const engines = await startEngines(count);
  engines.forEach((engine) => {
    engine.fatal.add(FATAL);
    engine.eventsBeforeEnd = eventsBeforeEnd;
  });
  return engines;
}

function endedOf(engines: readonly StreamEngine[]): number {
  return engines.filter(({seen}) => seen.some(({body}) => body === FATAL)).length;
}

/** The context of one more VM before the same engines. */
function contextAt(board: SuspectBoard, engines: readonly StreamEngine[]): RelayContext {
  const context = contextOf(engines);
  return {...context, suspects: board.view(plainRelay, context.engines)};
}

describe('a request that ends engines', () => {
  test.each([0, 1])(
    'one attempt ends two engines at most (ends after event %i)',
    async (events) => {
      const engines = await startFatal(6, events);
      const {ends, port} = await startRelay(contextOf(engines), routeOf({maxAttempts: 4}));
      const answer = await ask(port, undefined, {}, FATAL);
      expect(endedOf(engines)).toBe(2);
      // What ran is never said not to have run.
      expect(answer.isWhole ? answer.status : 0).not.toBe(503);
      expect(['broken', 'refused']).toContain(ends[0]);
    },
  );

  test('what may not be repeated is answered at once, and found out all the same', async () => {
    const board = new SuspectBoard();
    const engines = await startFatal(6);
    const route = routeOf({maxAttempts: 1, resumable: false});
    const relays = await Promise.all(
      [1, 2, 3].map(() => startRelay(contextAt(board, engines), route)),
    );
    const statuses: number[] = [];
    for (const {port} of relays) {
      const sentAt = performance.now();
      statuses.push((await ask(port, undefined, {}, FATAL)).status);
      expect(performance.now() - sentAt).toBeLessThan(LOOKED_MS);
      await delay(LOOKED_MS);
    }
    expect(statuses).toEqual([502, 502, 503]);
    expect(endedOf(engines)).toBe(2);
  });

  test('is refused at every VM before it runs, with the time for which it is held; others are served', async () => {
    const board = new SuspectBoard();
    const engines = await startFatal(6);
    const route = routeOf();
    const [first, second] = await Promise.all(
      [1, 2].map(() => startRelay(contextAt(board, engines), route)),
    );
    await ask(first!.port, undefined, {}, FATAL);
    await delay(LOOKED_MS);
    const refused = await ask(second!.port, undefined, {}, FATAL);
    expect(refused).toMatchObject({isWhole: true, status: 503});
    expect(refused.headers[VERDICT_HEADER]).toBe('notRun');
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(60);
    // One byte more, another caller or another path: another request.
    expect((await ask(second!.port, undefined, {}, `${FATAL}.`)).status).toBe(200);
  });

  test('two VMs that run it at the same moment: both ends make one', async () => {
    const board = new SuspectBoard();
    const engines = await startFatal(6);
    const route = routeOf({maxAttempts: 1, resumable: false});
    const relays = await Promise.all(
      [1, 2].map(() => startRelay(contextAt(board, engines), route)),
    );
    await Promise.all(relays.map(({port}) => ask(port, undefined, {}, FATAL)));
    await delay(LOOKED_MS);
    const [suspect] = board.suspects.values();
    expect(suspect!.level).toBeLessThan(QUARANTINE_LEVEL);
  });

  test('counts at the VM that saw it though nobody can be told', async () => {
    const board = new SuspectBoard();
    board.isTold = false;
    const engines = await startFatal(6);
    const {port} = await startRelay(contextAt(board, engines), routeOf());
    await ask(port, undefined, {}, FATAL);
    expect((await ask(port, undefined, {}, FATAL)).status).toBe(503);
    expect(endedOf(engines)).toBe(2);
  });
});

describe('a request that ends no engine', () => {
  test.each(['reset', 'wrongRequest'] as const)(
    'is no suspect when engines that live answer with %s',
    async (kind) => {
      const board = new SuspectBoard();
      const engines = await startEngines(2);
      engines.forEach((engine) => (engine.manners = [{kind}, {kind}, {kind}]));
      const {port} = await startRelay(contextAt(board, engines), routeOf());
      await ask(port);
      await delay(LOOKED_MS);
      expect(board.suspects.size).toBe(0);
    },
  );

  test('is cleared for all VMs by a run to its end', async () => {
    const board = new SuspectBoard();
    const engines = await startEngines(3);
    const [first, second] = await Promise.all(
      [1, 2].map(() => startRelay(contextAt(board, engines), routeOf())),
    );
    engines.forEach((engine) => (engine.manners = [{after: 1, kind: 'pause'}]));
    const asked = ask(first!.port);
    await delay(50);
    const busy = engines.find(({seen}) => seen.length > 0)!;
    engines.forEach((engine) => (engine.manners = [{kind: 'reset'}]));
    // Ends by a cause from outside, soon after the request began.
    await busy.stop();
    await asked;
    await delay(LOOKED_MS);
    engines.forEach((engine) => (engine.manners = []));
    expect((await ask(second!.port)).status).toBe(200);
    expect(board.suspects.size).toBe(0);
  });

  /**
   * Seen with no other load: a stream that had passed several events was broken off. Others with the same body had stood beside
   * two ends, so its next engine was refused to it, though its own run had shown that it ends no engine.
   */
  test('that goes on from event to event is no suspect, and its stream goes on at the next engine', async () => {
    const board = new SuspectBoard();
    const engines = await startFatal(6, 2);
    const {port} = await startRelay(contextAt(board, engines), routeOf());
    expect(await ask(port, undefined, {}, FATAL)).toMatchObject({isWhole: true, status: 200});
    expect(endedOf(engines)).toBe(3);
    await delay(LOOKED_MS);
    expect(board.suspects.size).toBe(0);
  });

  test('is cleared once a run of it goes on past its begin, and goes on though it was held meanwhile', async () => {
    const board = new SuspectBoard();
    const engines = await startEngines(3);
    const context = contextAt(board, engines);
    const {port} = await startRelay(context, routeOf());
    const others = board.view(plainRelay, context.engines);
    const digest = requestDigest({
      body: Buffer.from('the body'),
      caller: '',
      host: 'a.example',
      method: 'POST',
      path: '/a/b?c=d',
    });
    const [gone] = await startEngines(1);
    const [view] = contextOf([gone!]).engines();
    await gone!.stop();
    const suspect = async (known: number): Promise<void> => {
      const engine = {...view!, id: 'e0', startedAtMs: known + 1};
      const seen = board.view(plainRelay, () => [engine]);
      expect(await seen.noteBreak({digest, engine, id: 'q', known})).toBe(true);
    };
    await suspect(0);
    engines.forEach((engine) => (engine.manners = [{after: 2, kind: 'pause'}]));
    const asked = ask(port);
    await delay(100);
    expect(board.suspects.size).toBe(0);
    await suspect(0);
    await suspect(1);
    expect(others.levelOf(digest)).toBe(QUARANTINE_LEVEL);
    engines.forEach((engine) => (engine.manners = []));
    await engines.find(({seen}) => seen.length > 0)!.stop();
    expect(await asked).toMatchObject({isWhole: true, status: 200});
    expect(others.levelOf(digest)).toBe(0);
  });

  test('is no suspect of an engine that said it would end', async () => {
    const board = new SuspectBoard();
    const [engine] = await startEngines(1);
    const [view] = contextOf([engine!]).engines();
    const run = {digest: 'd', engine: view!, id: 'q', known: 0};
    await engine!.stop();
    const leaving = board.view(plainRelay, () => [{...view!, draining: true}]);
    expect(await leaving.noteBreak(run)).toBe(false);
    expect(await board.view(plainRelay, () => []).noteBreak(run)).toBe(false);
    expect(await board.view(plainRelay, () => [view!]).noteBreak(run)).toBe(true);
  });

  test('long past its first event it is no suspect', () => {
    const begunAt = (firstAt: number | undefined, events = 0): boolean =>
      hasOnlyBegun({events, firstAt}, 10_000);
    expect([begunAt(undefined), begunAt(9_900), begunAt(9_900, 1)]).toEqual([true, true, true]);
    expect([begunAt(9_000), begunAt(9_900, 2)]).toEqual([false, false]);
  });
});

describe('whether an engine has ended', () => {
  test('one that answers lives, one that refuses connections has ended', async () => {
    const [engine] = await startEngines(1);
    const [view] = contextOf([engine!]).engines();
    expect(await hasEnded(plainRelay, view!)).toBe(false);
    await engine!.stop();
    expect(await hasEnded(plainRelay, view!)).toBe(true);
  });

  test('nothing is known of one that takes connections and says nothing', async () => {
    const [engine] = await startEngines(1);
    const [view] = contextOf([engine!]).engines();
    engine!.tellsOccupancy = false;
    expect(await hasEnded(plainRelay, view!)).toBe(false);
  });
});

describe('what makes two requests the same', () => {
  const input = {body: Buffer.from('b'), caller: 'k', host: 'h', method: 'POST', path: '/a?b'};

  test.each([
    {body: Buffer.from('c')},
    {caller: 'l'},
    {host: 'i'},
    {method: 'PUT'},
    {path: '/a'},
    {caller: 'kk', host: ''},
  ])('another %o is another request', (other) => {
    expect(requestDigest({...input, ...other})).not.toBe(requestDigest(input));
  });

  test('a host name in other letters is the same', () => {
    expect(requestDigest({...input, host: 'H'})).toBe(requestDigest(input));
  });

  test('the caller’s key tells callers apart', () => {
    const facts = plainRelay.readCaller({authorization: 'Bearer k', [PLAIN.request]: 'q'});
    expect(facts!.caller).toBe('Bearer k');
  });
});
