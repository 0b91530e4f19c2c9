/**
 * Probes of engines whose address can't be connected to, and of those that respond with something else than a report.
 */
import type {AddressInfo} from 'node:net';
import type {EngineView} from 'stallpaddle-fleet';

import {createServer} from 'node:net';
import {delay} from 'stallpaddle';
import {
  CutEngine,
  type CutKind,
  type Flood,
  FloodEngine,
  plainRelay,
  signedHead,
} from 'stallpaddle-testing';
import {expect, test} from 'vitest';

import {checkStart, hasExited} from '../../RelayProbe';

const ENGINE: EngineView = {
  address: '127.0.0.1:99999',
  draining: false,
  id: 'e',
  sequence: 0,
  service: 's',
  silent: false,
  slots: 1,
  softwareVersion: 'v1',
  startedAtMs: 1,
  zone: 'z',
};

/** Time in which a connection that was closed here is closed at the engine, in milliseconds. */
const CLOSE_MS = 100;

// Guards against the end of the process by a rejection that nobody handles.
test('a port out of range shows neither an exit nor a start', async () => {
  expect(await hasExited(plainRelay, ENGINE)).toBe(false);
  expect(await checkStart(plainRelay, ENGINE)).toEqual({kind: 'unknown'});
});

// Guards against an item that is never placed again because the check of its engine doesn't end.
test('a response that switches protocols shows neither an exit nor a start', async () => {
  const head = 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n';
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.write(head));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  try {
    expect(await hasExited(plainRelay, {...ENGINE, address})).toBe(false);
  } finally {
    server.close();
  }
});

// Guards against a stream that waits for ever for the report of an engine in trouble, and a connection that stays open.
test.each<[string, Flood]>([
  ['before the head', {before: '', repeated: '\r\n'}],
  ['in the report', {before: signedHead('look'), repeated: 'no report '}],
  ['slowly', {before: signedHead('look'), pauseMs: 20, repeated: 'a'}],
])('bytes without end show neither an exit nor a start: %s', async (_, flood) => {
  const engine = await FloodEngine.start(flood);
  try {
    const {address} = engine;
    expect(await checkStart(plainRelay, {...ENGINE, address})).toEqual({kind: 'unknown'});
    await delay(CLOSE_MS);
    expect(engine.openConnections).toBe(0);
  } finally {
    engine.stop();
  }
});

// Guards against an engine that is taken for another one by a head that it did not finish.
test.each<CutKind>(['end', 'reset'])(
  'a head that is cut short by %s shows neither an exit nor a start',
  async (kind) => {
    const head = 'HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n';
    let length = 0;
    const engine = await CutEngine.start(() => head.slice(0, length), kind);
    const view = {...ENGINE, address: engine.address};
    try {
      for (; length < head.length; length++) {
        expect([length, await checkStart(plainRelay, view)]).toEqual([length, {kind: 'unknown'}]);
      }
      length = head.indexOf('content');
      expect(await hasExited(plainRelay, view)).toBe(false);
    } finally {
      engine.stop();
    }
  },
);
