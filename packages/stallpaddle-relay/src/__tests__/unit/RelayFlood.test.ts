/**
 * Guards callers and processes against engines in trouble that send bytes without end: a request that waits for them, memory
 * that they fill, and a connection that stays open.
 */
import type {FleetRoute} from 'stallpaddle-fleet';

import {delay} from 'stallpaddle';
import {type Flood, FloodEngine, signedHead} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import {
  contextOf,
  openResponse,
  registerCleanup,
  routeOf,
  sendRequest,
  startEngines,
  startRelay,
  stopAll,
} from '../RelayFixture';

afterEach(stopAll);

const EVENTS = 'content-type: text/event-stream';
const CHUNKED = 'transfer-encoding: chunked';
const EVENT = 'id: 1\ndata: piece 1\n\n';
/** Memory that one request may take besides, in bytes. */
const MAX_MEMORY_BYTES = 134_217_728;
/** Time in which a connection that was closed here is closed at the engine, in milliseconds. */
const CLOSE_MS = 100;
const ROUNDS = 4;

async function startFlood(flood: Flood): Promise<FloodEngine> {
  const engine = await FloodEngine.start(flood);
  registerCleanup(() => engine.stop());
  return engine;
}

/** Runs one request and returns its response, with the memory and the time that it took. */
async function measure(port: number) {
  const memoryBefore = process.memoryUsage().rss;
  const startedAt = performance.now();
  const response = await sendRequest(port);
  const ms = performance.now() - startedAt;
  return {memory: process.memoryUsage().rss - memoryBefore, ms, response};
}

describe('a stream at an engine that sends bytes without end', () => {
  const floods: readonly [string, Flood][] = [
    ['before the head', {before: '', repeated: '\r\n'}],
    ['as interim responses', {before: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n'}],
    ['in a header', {before: 'HTTP/1.1 200 OK\r\nx-a: ', repeated: 'a'}],
    ['in a body without a length', {before: signedHead('q1', EVENTS), repeated: 'no event '}],
    ['in tiny chunks', {before: signedHead('q1', EVENTS, CHUNKED), repeated: '1\r\na\r\n'}],
    ['as lines of one event', {before: signedHead('q1', EVENTS), repeated: 'data: a\n'}],
    ['as blank lines of a body', {before: signedHead('q1', EVENTS), repeated: '\n\n'}],
    ['as lines and blank lines', {before: signedHead('q1', EVENTS), repeated: 'no event\n\n'}],
    ['behind an event', {before: signedHead('q1', EVENTS) + EVENT, repeated: 'no event '}],
    [
      'slowly, behind an event',
      {before: signedHead('q1', EVENTS) + EVENT, pauseMs: 50, repeated: 'a'},
    ],
  ];
  test.each(floods)('goes on at another engine: %s', async (_, flood) => {
    const flooding = await startFlood(flood);
    const [sound] = await startEngines(1);
    const {port} = await startRelay(contextOf([flooding, sound!]), routeOf());
    for (let round = 0; round < ROUNDS; round++) {
      const {memory, response} = await measure(port);
      expect(response).toMatchObject({body: sound!.wholeText, isComplete: true, status: 200});
      expect(memory).toBeLessThan(MAX_MEMORY_BYTES);
    }
    expect(flooding.connections).toBeGreaterThan(0);
    await delay(CLOSE_MS);
    expect(flooding.openConnections).toBe(0);
  });
});

describe('a request that may run once, at an engine that sends bytes without end', () => {
  const ONCE: Partial<FleetRoute> = {kind: 'nonRepeatable', resumable: false, timeoutMs: 600};

  // Guards against a relay that keeps what its caller doesn't read. The buffers of the connections count, too.
  test('takes no more bytes while its caller reads none', async () => {
    const flooding = await startFlood({before: signedHead('q1'), repeated: 'no answer '});
    const {port} = await startRelay(contextOf([flooding]), routeOf({...ONCE, timeoutMs: 1_500}));
    const res = await openResponse(port);
    const startedAt = performance.now();
    let sentBefore = -1;
    while (sentBefore < flooding.sentBytes && performance.now() - startedAt < 1_000) {
      sentBefore = flooding.sentBytes;
      await delay(CLOSE_MS);
    }
    expect(flooding.openConnections).toBe(1);
    expect(flooding.sentBytes).toBe(sentBefore);
    expect(sentBefore).toBeLessThan(MAX_MEMORY_BYTES);
    res.destroy();
    await delay(CLOSE_MS);
    expect(flooding.openConnections).toBe(0);
  });

  test.each<[string, Flood, boolean]>([
    ['before the head', {before: '', repeated: '\r\n'}, true],
    ['in a body', {before: signedHead('q1'), repeated: 'no answer '}, false],
    ['in chunks', {before: signedHead('q1', CHUNKED), repeated: '4\r\naaaa\r\n'}, false],
  ])(
    'ends at its time limit at the latest, and never looks complete: %s',
    async (_, flood, isAtOnce) => {
      const flooding = await startFlood(flood);
      const {port} = await startRelay(contextOf([flooding]), routeOf(ONCE));
      const {memory, ms, response} = await measure(port);
      expect(response.status === 200 && response.isComplete).toBe(false);
      expect(response.status).not.toBe(503);
      expect(ms).toBeLessThan(isAtOnce ? ONCE.timeoutMs! : ONCE.timeoutMs! + 500);
      expect(memory).toBeLessThan(2 * MAX_MEMORY_BYTES);
      await delay(CLOSE_MS);
      expect(flooding.openConnections).toBe(0);
    },
  );
});
