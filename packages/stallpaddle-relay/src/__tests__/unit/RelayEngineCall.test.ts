/**
 * Guards against taking an interrupted response without a length for a complete one, and against mistaking a delay of
 * this process for an unreachable engine.
 */
import type {AddressInfo} from 'node:net';

import {createServer, type Server} from 'node:http';
import {delay} from 'stallpaddle';
import {type Flood, FloodEngine, PLAIN, plainRelay} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import {type EngineCallStart, type EngineRequest, startEngineCall} from '../../RelayEngineCall';
import {RelayLatencies} from '../../RelayLatencies';

/** Number of resets; the failure occurs only in some of them. */
const RESETS = 300;
const ENDS = 50;
let server: Server | undefined;

afterEach(() => {
  server?.close();
});

async function startEngine(how: 'end' | 'reset'): Promise<string> {
  const created = createServer((req, res) => {
    req.resume();
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
    const id = String(req.headers[PLAIN.request]);
    res.writeHead(200, {[PLAIN.request]: id, [PLAIN.signature]: 's'});
    res.write('x'.repeat(100));
    // The data and the end are both pending when the caller reads.
    setImmediate(() => (how === 'end' ? res.end() : req.socket.resetAndDestroy()));
  });
  server = created;
  await new Promise<void>((resolve) => created.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(created.address() as AddressInfo).port}`;
}

/** Starts a call that must not reach an engine. */
function startOf(changes: Partial<EngineRequest>): Promise<EngineCallStart> {
  const req = {
    address: '127.0.0.1:1',
    body: Buffer.from('b'),
    headers: ['Host', 'h'],
    method: 'POST',
  };
  const whole = {...req, path: '/', requestId: 'r', ...changes};
  return startEngineCall(plainRelay, new RelayLatencies(), whole).started;
}

async function isComplete(address: string, requestId: string): Promise<boolean> {
  const call = startEngineCall(plainRelay, new RelayLatencies(), {
    address,
    body: Buffer.from('b'),
    headers: ['Host', 'h', PLAIN.request, requestId],
    method: 'POST',
    path: '/',
    requestId,
  });
  const start = await call.started;
  if (start.kind !== 'answer') {
    return false;
  }
  try {
    for await (const chunk of start.res) {
      void chunk;
    }
  } catch {
    return false;
  }
  return start.res.complete;
}

async function countComplete(address: string, calls: number): Promise<number> {
  let complete = 0;
  for (let number = 0; number < calls; number++) {
    complete += Number(await isComplete(address, `q${number}`));
  }
  return complete;
}

/** Blocks the event loop. */
function blockEventLoop(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

describe('startEngineCall', () => {
  test('a blocked event loop is not taken for an unreachable engine', async () => {
    const address = await startEngine('end');
    const latencies = new RelayLatencies();
    Array.from({length: 20}, () => latencies.connect.observe(1));
    const call = startEngineCall(plainRelay, latencies, {
      address,
      body: Buffer.from('b'),
      headers: ['Host', 'h', PLAIN.request, 'q'],
      method: 'POST',
      path: '/',
      requestId: 'q',
    });
    await new Promise((resolve) => process.nextTick(resolve));
    blockEventLoop(2 * latencies.connect.timeoutMs);
    expect((await call.started).kind).toBe('answer');
  });

  test('a response whose connection was reset is never complete', async () => {
    expect(await countComplete(await startEngine('reset'), RESETS)).toBe(0);
  }, 30_000);

  test('a response without a length is complete when the engine ended it', async () => {
    expect(await countComplete(await startEngine('end'), ENDS)).toBe(ENDS);
  }, 30_000);
});

describe('a request that can’t be sent', () => {
  // Guards against the end of the process by a rejection that nobody handles.
  test.each<[string, Partial<EngineRequest>]>([
    ['a header with a line feed', {headers: ['x-note', 'a\nb']}],
    ['a path with a blank', {path: '/a b'}],
    ['a port out of range', {address: '127.0.0.1:99999'}],
  ])('did not run: %s', async (_, changes) => {
    expect(await startOf(changes)).toMatchObject({kind: 'notRun', reason: 'malformed'});
  });
});

/** Longest time for which a caller reads a head without end, in milliseconds. */
const FLOOD_MS = 2_000;

// Guards against an engine in trouble that keeps a request and a core busy with bytes that are no answer.
describe('a head without end', () => {
  const endless: readonly [string, Flood][] = [
    ['bytes that are no HTTP', {before: '', repeated: 'no answer '}],
    ['blank lines', {before: '', repeated: '\r\n'}],
    ['a reason phrase', {before: 'HTTP/1.1 200 ', repeated: 'OK'}],
    ['a header', {before: 'HTTP/1.1 200 OK\r\nx-a: ', repeated: 'a'}],
    ['header lines', {before: 'HTTP/1.1 200 OK\r\n', repeated: 'x-a: a\r\n'}],
    ['interim responses', {before: '', repeated: 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'}],
    ['requests to go on', {before: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n'}],
  ];
  test.each(endless)('fails the attempt and closes the connection: %s', async (_, flood) => {
    const engine = await FloodEngine.start(flood);
    const call = startEngineCall(plainRelay, new RelayLatencies(), {
      address: engine.address,
      body: Buffer.from('b'),
      headers: ['Host', 'h', PLAIN.request, 'q'],
      method: 'POST',
      path: '/',
      requestId: 'q',
    });
    const start = await Promise.race([call.started, delay(FLOOD_MS)]);
    await delay(50);
    const {openConnections} = engine;
    call.close();
    engine.stop();
    expect(start).toMatchObject({kind: 'mayHaveRun'});
    expect(openConnections).toBe(0);
  });
});
