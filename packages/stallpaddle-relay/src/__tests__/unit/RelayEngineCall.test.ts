/**
 * Answers without a length: whole when the engine ends the connection, never when it is reset, also when the
 * reset has come before the answer was read.
 */
import type {AddressInfo} from 'node:net';

import {createServer, type Server} from 'node:http';
import {PLAIN, plainRelay} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import {startEngineCall} from '../../RelayEngineCall';
import {RelayLatencies} from '../../RelayLatencies';

/** Enough resets: without the look at the peer, 3 in 100 pass for whole. */
const RESETS = 300;
const ENDS = 50;
let server: Server;

afterEach(() => {
  server.close();
});

async function startEngine(how: 'end' | 'reset'): Promise<string> {
  server = createServer((req, res) => {
    req.resume();
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
    const id = String(req.headers[PLAIN.request]);
    res.writeHead(200, {[PLAIN.request]: id, [PLAIN.signature]: 's'});
    res.write('x'.repeat(100));
    // Bytes and end wait together when the caller reads.
    setImmediate(() => (how === 'end' ? res.end() : req.socket.resetAndDestroy()));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function isWhole(address: string, requestId: string): Promise<boolean> {
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

async function countWhole(address: string, calls: number): Promise<number> {
  let whole = 0;
  for (let number = 0; number < calls; number++) {
    whole += Number(await isWhole(address, `q${number}`));
  }
  return whole;
}

/** Keeps this process from its event loop. */
function holdUp(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

describe('startEngineCall', () => {
  test('a process that was held up does not take its own lateness for an engine that can’t be reached', async () => {
    const address = await startEngine('end');
    const pace = new RelayLatencies();
    Array.from({length: 20}, () => pace.connect.note(1));
    const call = startEngineCall(plainRelay, pace, {
      address,
      body: Buffer.from('b'),
      headers: ['Host', 'h', PLAIN.request, 'q'],
      method: 'POST',
      path: '/',
      requestId: 'q',
    });
    await new Promise((resolve) => process.nextTick(resolve));
    holdUp(2 * pace.connect.limitMs);
    expect((await call.started).kind).toBe('answer');
  });

  test('never takes an answer for whole whose connection was reset', async () => {
    expect(await countWhole(await startEngine('reset'), RESETS)).toBe(0);
  }, 30_000);

  test('takes an answer without a length for whole when the engine ended it', async () => {
    expect(await countWhole(await startEngine('end'), ENDS)).toBe(ENDS);
  }, 30_000);
});
