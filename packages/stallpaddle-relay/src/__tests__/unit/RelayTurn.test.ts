/**
 * Guards what callers and engines see of admission: the order of waiting requests, early rejections, and callers that
 * disconnect while they wait.
 */
import {type Clock, systemClock, VERDICT_HEADER} from 'stallpaddle';
import {StarvationFreeClock, type StreamEngine} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import type {RelayContext} from '../../RelayTypes';

import {RelayTurn} from '../../RelayTurn';
import {
  contextOf,
  registerCleanup,
  requestOf,
  routeOf,
  sendRequest,
  startEngines,
  startRelay,
  stopAll,
} from '../RelayFixture';

afterEach(stopAll);

const OBJECTIVE_MS = 300;
/** Header by which the engine tells the requests apart. */
const NAME = 'x-name';
const FULL = {burstEndsInMs: 400, freeSlots: 0, itemSlots: 0, startsPerSecond: 50};

/** Fills the engine; the result frees one slot after the other. */
async function startFull(clock: Clock = systemClock): Promise<{
  readonly context: RelayContext;
  readonly engine: StreamEngine;
  readonly free: () => void;
}> {
  const [engine] = await startEngines(1);
  const context = {...contextOf([engine!], true, [], clock), isOn: () => true};
  // Four slots, and the longest queue at the engine.
  const ends = Array.from({length: 5}, () => context.online.registerRequest('e0'));
  const free = (): void => {
    ends.shift()!();
    context.admission.noteFreed('s', 500);
  };
  return {context, engine: engine!, free};
}

async function untilWaiting({admission}: RelayContext, count: number): Promise<void> {
  await expect.poll(() => admission.length, {interval: 2}).toBe(count);
}

describe('RelayTurn', () => {
  test('a freed slot goes to the return of the highest rank at once, whatever arrived before', async () => {
    // The order depends on the time that is left: a process that waits for a core would change it.
    const clock = new StarvationFreeClock();
    registerCleanup(() => clock.stop());
    const {context, engine, free} = await startFull(clock);
    const acme = {kind: 'customer', name: 'acme'} as const;
    const lower = await startRelay(context, routeOf({priority: 1}), 0, acme);
    const first = await startRelay(context, routeOf());
    const again = await startRelay(context, routeOf(), 200);
    const requests = [sendRequest(lower.port, undefined, {[NAME]: 'lower'})];
    await untilWaiting(context, 1);
    requests.push(sendRequest(first.port, undefined, {[NAME]: 'first'}));
    await untilWaiting(context, 2);
    requests.push(sendRequest(again.port, undefined, {[NAME]: 'again'}));
    await untilWaiting(context, 3);
    expect(context.admission.waitingByCustomer()).toEqual({'': 2, acme: 1});
    free();
    const freedAt = clock.monotonicMs();
    await expect.poll(() => engine.seen.length, {interval: 1}).toBeGreaterThan(0);
    // Less than the interval of the safeguard.
    expect(clock.monotonicMs() - freedAt).toBeLessThan(80);
    expect(engine.seen[0]!.headers[NAME]).toBe('again');
    free();
    await Promise.all(requests);
    const order = engine.seen.map(({headers}) => headers[NAME]);
    expect(order).toEqual(['again', 'first', 'lower']);
  });

  test.each([
    ['the objective can be met only after a return', 20],
    ['it can’t be sent in its time', 100],
  ])('rejects a request at arrival when %s, and serves its return', async (_, waiting) => {
    const {context, engine, free} = await startFull();
    const decided: string[] = [];
    const {port} = await startRelay(
      {...context, decide: (decision) => decided.push(decision)},
      routeOf({objectiveMs: OBJECTIVE_MS}),
    );
    context.fleetLoad.apply({room: {...FULL, waiting}}, true);
    const sentAt = performance.now();
    const response = await sendRequest(port);
    expect(performance.now() - sentAt).toBeLessThan(OBJECTIVE_MS / 4);
    expect(response).toMatchObject({headers: {[VERDICT_HEADER]: 'notRun'}, status: 503});
    // Not before the burst ends, and at most a third of the caller's 1,500 ms.
    expect(Number(response.headers['retry-after'])).toBeGreaterThanOrEqual(0.05);
    expect(Number(response.headers['retry-after'])).toBeLessThanOrEqual(0.5);
    expect(engine.seen).toHaveLength(0);
    const retry = await startRelay(context, routeOf(), 400);
    const answer = sendRequest(retry.port);
    await untilWaiting(context, 1);
    free();
    free();
    expect((await answer).status).toBe(200);
  });

  test('while nothing is known of the load, no request is rejected at arrival', async () => {
    const [engine] = await startEngines(1);
    const context = {...contextOf([engine!], false), isOn: () => true};
    const late = await startRelay(context, routeOf(), 1_000);
    const waiting = sendRequest(late.port);
    await untilWaiting(context, 1);
    const {port} = await startRelay(context, routeOf());
    expect((await sendRequest(port)).status).toBe(200);
    expect(engine!.seen).toHaveLength(1);
    context.online.applyReport({}, true, []);
    expect((await waiting).status).toBe(200);
  });

  test('a return goes on after all engines have declined it; a new request is rejected', async () => {
    const engines = await startEngines(2);
    const declines = Array.from({length: 3}, () => ({kind: 'decline'}) as const);
    const context = {...contextOf(engines), isOn: () => true};
    const retry = await startRelay(context, routeOf(), 400);
    engines.forEach((engine) => (engine.behaviors = [...declines]));
    expect((await sendRequest(retry.port)).status).toBe(200);
    const {port} = await startRelay(context, routeOf());
    engines.forEach((engine) => (engine.behaviors = [...declines]));
    expect(await sendRequest(port)).toMatchObject({
      headers: {[VERDICT_HEADER]: 'notRun'},
      status: 503,
    });
  });

  test('a caller that disconnects leaves the queue at once', async () => {
    const {context, engine, free} = await startFull();
    const {ends, port} = await startRelay(context, routeOf());
    void sendRequest(port, 50);
    await untilWaiting(context, 1);
    await expect.poll(() => ends, {interval: 2}).toEqual(['left']);
    expect(context.admission.length).toBe(0);
    free();
    expect(engine.seen).toHaveLength(0);
  });

  test('a request that is abandoned before an engine takes it leaves its slot to the next one at once', async () => {
    const {context} = await startFull();
    const makeTurn = (): RelayTurn => new RelayTurn(context, requestOf());
    const [abandoned, declined, next] = [makeTurn(), makeTurn(), makeTurn()];
    abandoned.noteSent();
    declined.noteSent();
    const woken: unknown[] = [];
    void next.wait().then((end) => woken.push(end));
    await Promise.resolve();
    // Another request would be declined by the same engine.
    declined.noteFreed(false, false);
    await new Promise(setImmediate);
    expect(woken).toEqual([]);
    abandoned.noteFreed(false, true);
    await new Promise(setImmediate);
    expect(woken).toEqual([undefined]);
    next.leave('left');
  });

  test('the slot of a resumed stream wakes a waiting request when the stream ends', async () => {
    const engines = await startEngines(2);
    engines.forEach((engine) => (engine.behaviors = [{after: 2, kind: 'breakOff'}]));
    const context = {...contextOf(engines), isOn: () => true};
    const freed: string[] = [];
    context.admission.noteFreed = (service) => void freed.push(service);
    const {ends, port} = await startRelay(context, routeOf({maxAttempts: 3}));
    expect((await sendRequest(port)).isComplete).toBe(true);
    await expect.poll(() => ends, {interval: 2}).toEqual(['served']);
    const runs = engines.reduce((sum, {seen}) => sum + seen.length, 0);
    expect(runs).toBeGreaterThan(1);
    expect(freed).toEqual(Array.from({length: runs}, () => 's'));
  });

  test('a full service rejects what has waited as long as it may', async () => {
    const {context, engine} = await startFull();
    const {port} = await startRelay(context, routeOf());
    const sentAt = performance.now();
    const response = await sendRequest(port);
    expect(response).toMatchObject({headers: {[VERDICT_HEADER]: 'notRun'}, status: 503});
    expect(performance.now() - sentAt).toBeGreaterThan(740);
    expect(performance.now() - sentAt).toBeLessThan(900);
    expect(engine.seen).toHaveLength(0);
  });
});
