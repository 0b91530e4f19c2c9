/**
 * Guards against requests that crash engine after engine, and against quarantine of requests that only ran beside
 * them.
 */
import {delay, VERDICT_HEADER} from 'stallpaddle';
import {QUARANTINE_LEVEL} from 'stallpaddle-fleet';
import {FakeSuspectStore, PLAIN, plainRelay, type StreamEngine} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import type {RelayContext} from '../../RelayTypes';

import {requestDigest} from '../../RelayDigest';
import {hasExited} from '../../RelayProbe';
import {isStarting} from '../../RelaySuspects';
import {contextOf, routeOf, sendRequest, startEngines, startRelay, stopAll} from '../RelayFixture';

const FATAL = 'ends engines';
/** Time in which the check of an engine completes, in milliseconds: all probes and their pauses. */
const CHECK_MS = 400;

afterEach(stopAll);

async function startCrashingEngines(
  count: number,
  eventsBeforeCrash = 0,
): Promise<readonly StreamEngine[]> {
  const engines = await startEngines(count);
  engines.forEach((engine) => {
    engine.fatal.add(FATAL);
    engine.eventsBeforeCrash = eventsBeforeCrash;
  });
  return engines;
}

function crashedCount(engines: readonly StreamEngine[]): number {
  return engines.filter(({seen}) => seen.some(({body}) => body === FATAL)).length;
}

/** Context of another VM with the same engines. */
function contextOfVm(store: FakeSuspectStore, engines: readonly StreamEngine[]): RelayContext {
  const context = contextOf(engines);
  return {...context, suspects: store.view(plainRelay, context.engines)};
}

describe('a request that crashes engines', () => {
  test.each([0, 1])(
    'one attempt crashes two engines at most (crash after event %i)',
    async (events) => {
      const engines = await startCrashingEngines(6, events);
      const {ends, port} = await startRelay(contextOf(engines), routeOf({maxAttempts: 4}));
      const response = await sendRequest(port, undefined, {}, FATAL);
      expect(crashedCount(engines)).toBe(2);
      // A request that ran is never reported as not run.
      expect(response.isComplete ? response.status : 0).not.toBe(503);
      expect(['broken', 'refused']).toContain(ends[0]);
    },
  );

  test('a request that may not be repeated gets its response at once and is still detected', async () => {
    const store = new FakeSuspectStore();
    const engines = await startCrashingEngines(6);
    const route = routeOf({maxAttempts: 1, resumable: false});
    const relays = await Promise.all(
      [1, 2, 3].map(() => startRelay(contextOfVm(store, engines), route)),
    );
    const statuses: number[] = [];
    for (const {port} of relays) {
      const sentAt = performance.now();
      statuses.push((await sendRequest(port, undefined, {}, FATAL)).status);
      expect(performance.now() - sentAt).toBeLessThan(CHECK_MS);
      await delay(CHECK_MS);
    }
    expect(statuses).toEqual([502, 502, 503]);
    expect(crashedCount(engines)).toBe(2);
  });

  test('is refused at every VM with the quarantine time as retry-after; other requests are served', async () => {
    const store = new FakeSuspectStore();
    const engines = await startCrashingEngines(6);
    const route = routeOf();
    const [first, second] = await Promise.all(
      [1, 2].map(() => startRelay(contextOfVm(store, engines), route)),
    );
    await sendRequest(first!.port, undefined, {}, FATAL);
    await delay(CHECK_MS);
    const refused = await sendRequest(second!.port, undefined, {}, FATAL);
    expect(refused).toMatchObject({isComplete: true, status: 503});
    expect(refused.headers[VERDICT_HEADER]).toBe('notRun');
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(60);
    // A request with one more byte is a different one.
    expect((await sendRequest(second!.port, undefined, {}, `${FATAL}.`)).status).toBe(200);
  });

  test('concurrent crashes at two VMs raise the level only once', async () => {
    const store = new FakeSuspectStore();
    const engines = await startCrashingEngines(6);
    const route = routeOf({maxAttempts: 1, resumable: false});
    const relays = await Promise.all(
      [1, 2].map(() => startRelay(contextOfVm(store, engines), route)),
    );
    await Promise.all(relays.map(({port}) => sendRequest(port, undefined, {}, FATAL)));
    await delay(CHECK_MS);
    const [suspect] = store.suspects.values();
    expect(suspect!.level).toBeLessThan(QUARANTINE_LEVEL);
  });

  test('is quarantined at the VM that detected it even if it can’t be recorded', async () => {
    const store = new FakeSuspectStore();
    store.isShared = false;
    const engines = await startCrashingEngines(6);
    const {port} = await startRelay(contextOfVm(store, engines), routeOf());
    await sendRequest(port, undefined, {}, FATAL);
    expect((await sendRequest(port, undefined, {}, FATAL)).status).toBe(503);
    expect(crashedCount(engines)).toBe(2);
  });
});

describe('a request that crashes no engine', () => {
  test.each(['reset', 'wrongRequest'] as const)(
    'is no suspect when live engines respond with %s',
    async (kind) => {
      const store = new FakeSuspectStore();
      const engines = await startEngines(2);
      engines.forEach((engine) => (engine.behaviors = [{kind}, {kind}, {kind}]));
      const {port} = await startRelay(contextOfVm(store, engines), routeOf());
      await sendRequest(port);
      await delay(CHECK_MS);
      expect(store.suspects.size).toBe(0);
    },
  );

  test('is cleared for all VMs by a complete run', async () => {
    const store = new FakeSuspectStore();
    const engines = await startEngines(3);
    const [first, second] = await Promise.all(
      [1, 2].map(() => startRelay(contextOfVm(store, engines), routeOf())),
    );
    engines.forEach((engine) => (engine.behaviors = [{after: 1, kind: 'pause'}]));
    const pending = sendRequest(first!.port);
    await delay(50);
    const busy = engines.find(({seen}) => seen.length > 0)!;
    engines.forEach((engine) => (engine.behaviors = [{kind: 'reset'}]));
    // Exits for an external reason soon after the request started.
    await busy.stop();
    await pending;
    await delay(CHECK_MS);
    engines.forEach((engine) => (engine.behaviors = []));
    expect((await sendRequest(second!.port)).status).toBe(200);
    expect(store.suspects.size).toBe(0);
  });

  test('is cleared by a complete response that has only one event', async () => {
    const store = new FakeSuspectStore();
    const engines = await startCrashingEngines(2);
    const once = routeOf({maxAttempts: 1, resumable: false});
    const {port} = await startRelay(contextOfVm(store, engines), once);
    await sendRequest(port, undefined, {}, FATAL);
    await delay(CHECK_MS);
    expect([...store.suspects.values()].map(({level}) => level)).toEqual([1]);
    engines.forEach((engine) => {
      engine.fatal.clear();
      engine.behaviors = [{after: 1, kind: 'endFramed'}];
    });
    expect((await sendRequest(port, undefined, {}, FATAL)).status).toBe(200);
    expect(store.suspects.size).toBe(0);
  });

  /**
   * Guards against aborting a stream that has shown that it crashes no engine, because requests with the same digest
   * were running when two engines exited.
   */
  test('is no suspect when it continues past its first events, and its stream is resumed at the next engine', async () => {
    const store = new FakeSuspectStore();
    const engines = await startCrashingEngines(6, 2);
    const {port} = await startRelay(contextOfVm(store, engines), routeOf());
    expect(await sendRequest(port, undefined, {}, FATAL)).toMatchObject({
      isComplete: true,
      status: 200,
    });
    expect(crashedCount(engines)).toBe(3);
    await delay(CHECK_MS);
    expect(store.suspects.size).toBe(0);
  });

  test('is cleared once a run passes its start, and continues although it was quarantined meanwhile', async () => {
    const store = new FakeSuspectStore();
    const engines = await startEngines(3);
    const context = contextOfVm(store, engines);
    const {port} = await startRelay(context, routeOf());
    const others = store.view(plainRelay, context.engines);
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
      const seen = store.view(plainRelay, () => [engine]);
      const run = {digest, engine, id: 'q', known, parts: []};
      expect(await seen.noteInterruption(run)).toBe(true);
    };
    await suspect(0);
    engines.forEach((engine) => (engine.behaviors = [{after: 2, kind: 'pause'}]));
    const pending = sendRequest(port);
    await delay(100);
    expect(store.suspects.size).toBe(0);
    await suspect(0);
    await suspect(1);
    expect(others.levelOf(digest)).toBe(QUARANTINE_LEVEL);
    engines.forEach((engine) => (engine.behaviors = []));
    await engines.find(({seen}) => seen.length > 0)!.stop();
    expect(await pending).toMatchObject({isComplete: true, status: 200});
    expect(others.levelOf(digest)).toBe(0);
  });

  test('is no suspect when the engine was draining or removed', async () => {
    const store = new FakeSuspectStore();
    const [engine] = await startEngines(1);
    const [view] = contextOf([engine!]).engines();
    const run = {digest: 'd', engine: view!, id: 'q', known: 0, parts: []};
    await engine!.stop();
    const leaving = store.view(plainRelay, () => [{...view!, draining: true}]);
    expect(await leaving.noteInterruption(run)).toBe(false);
    expect(await store.view(plainRelay, () => []).noteInterruption(run)).toBe(false);
    expect(await store.view(plainRelay, () => [view!]).noteInterruption(run)).toBe(true);
  });

  test('is no suspect long after its first event', () => {
    const isStartingAt = (firstAt: number | undefined, events = 0): boolean =>
      isStarting({events, firstAt}, 10_000);
    expect([isStartingAt(undefined), isStartingAt(9_900), isStartingAt(9_900, 1)]).toEqual([
      true,
      true,
      true,
    ]);
    expect([isStartingAt(9_000), isStartingAt(9_900, 2)]).toEqual([false, false]);
  });
});

describe('hasExited', () => {
  test('is false for an engine that responds, true for one that refuses connections', async () => {
    const [engine] = await startEngines(1);
    const [view] = contextOf([engine!]).engines();
    expect(await hasExited(plainRelay, view!)).toBe(false);
    await engine!.stop();
    expect(await hasExited(plainRelay, view!)).toBe(true);
  });

  test('is false for an engine that accepts connections and does not respond', async () => {
    const [engine] = await startEngines(1);
    const [view] = contextOf([engine!]).engines();
    engine!.reportsOccupancy = false;
    expect(await hasExited(plainRelay, view!)).toBe(false);
  });
});

describe('requestDigest', () => {
  const input = {body: Buffer.from('b'), caller: 'k', host: 'h', method: 'POST', path: '/a?b'};

  test.each([
    {body: Buffer.from('c')},
    {caller: 'l'},
    {host: 'i'},
    {method: 'PUT'},
    {path: '/a'},
    {caller: 'kk', host: ''},
  ])('differs for another %o', (other) => {
    expect(requestDigest({...input, ...other})).not.toBe(requestDigest(input));
  });

  test('ignores the case of the host name', () => {
    expect(requestDigest({...input, host: 'H'})).toBe(requestDigest(input));
  });

  test('distinguishes callers by their key', () => {
    const metadata = plainRelay.readCaller({authorization: 'Bearer k', [PLAIN.request]: 'q'});
    expect(metadata!.caller).toBe('Bearer k');
  });
});
