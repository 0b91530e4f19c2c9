/** Guards streams against callers that read slowly. */
import type {IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';

import {createServer, request, type ServerResponse} from 'node:http';
import {PassThrough, Readable} from 'node:stream';
import {afterEach, expect, test} from 'vitest';

import {RelayForwarder} from '../../RelayForwarder';
import {registerCleanup, stopAll} from '../RelayFixture';

afterEach(stopAll);

const EVENTS = 40;
/** More than a response buffers, so that each event waits until its caller has read. */
const EVENT_BYTES = 100_000;
/** Time after which a slow caller begins to read, in milliseconds. */
const READ_AFTER_MS = 100;

/** The response to a caller that reads all of it. */
async function startCaller(): Promise<ServerResponse> {
  const arrived = new Promise<ServerResponse>((resolve) => {
    const server = createServer((_, res) => resolve(res));
    registerCleanup(() => void server.close().closeAllConnections());
    server.listen(0, '127.0.0.1', () => {
      const {port} = server.address() as AddressInfo;
      const req = request(
        {host: '127.0.0.1', port},
        (res) => void res.resume().on('error', () => {}),
      );
      req.on('error', () => {});
      req.end();
    });
  });
  return arrived;
}

const HEAD = {complete: true, headers: {}, rawHeaders: [], statusCode: 200, statusMessage: ''};

/** A response of an engine that arrives in chunks. */
function responseOf(chunks: readonly Buffer[]): IncomingMessage {
  return Object.assign(Readable.from(chunks), HEAD) as unknown as IncomingMessage;
}

function eventOf(id: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`;
}

/** Forwards a stream; `waits` is how often reading waited for the caller. */
async function forward(res: ServerResponse, response: IncomingMessage) {
  let waits = 0;
  const forwarder = new RelayForwarder({
    held: {noteWrite: () => {}},
    isOver: () => false,
    lastEventId: null,
    onBackpressure: () => waits++,
    onChunk: () => {},
    onHead: () => {},
    res,
  });
  return {end: await forwarder.forwardStream(response), waits};
}

// Guards against listeners that pile up at the response of a caller that reads slowly.
test('a response whose caller reads slowly keeps no listeners', async () => {
  const res = await startCaller();
  const countListeners = (): number => res.listenerCount('close') + res.listenerCount('drain');
  const before = countListeners();
  const events = Array.from({length: EVENTS}, (_, id) => Buffer.from(eventOf(id)));
  const {end, waits} = await forward(res, responseOf(events));
  expect(end).toBe('whole');
  expect(waits).toBeGreaterThan(EVENTS / 2);
  expect(countListeners()).toBe(before);
});

// Guards against a stream that looks complete although an event is missing: its last chunk waits for the caller as it ends.
test('a stream whose last events are out of sequence is broken, however slowly its caller reads', async () => {
  const caller = new PassThrough({highWaterMark: 1});
  const res = Object.assign(caller, {headersSent: true}) as unknown as ServerResponse;
  setTimeout(() => caller.resume(), READ_AFTER_MS);
  const {end} = await forward(res, responseOf([Buffer.from(eventOf(1) + eventOf(3))]));
  expect(end).toBe('broken');
});
