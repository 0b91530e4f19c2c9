/**
 * Guards against runs of items that look complete although their responses were closed.
 */
import {delay} from 'stallpaddle';
import {RelayLatencies} from 'stallpaddle-relay';
import {
  CutEngine,
  type CutKind,
  type Flood,
  FloodEngine,
  plainRelay,
  signedHead,
  StreamEngine,
} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import {FIRST_EVENT_TIMEOUT_MS} from '../../JobsConstants';
import {type ItemRunRequest, startItemRun} from '../../JobsItemRun';

/** Time in which an engine sends a whole response, in milliseconds. */
const WHOLE_MS = 200;
/** Longest time for which a run reads bytes that are no events, in milliseconds. */
const FLOOD_MS = FIRST_EVENT_TIMEOUT_MS + 500;
/** Memory that one run may take besides, in bytes. */
const MAX_MEMORY_BYTES = 134_217_728;

let undo: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(undo.map((step) => step()));
  undo = [];
});

function requestOf(address: string, changes: Partial<ItemRunRequest> = {}): ItemRunRequest {
  return {
    body: new Uint8Array(),
    confirmStart: () => Promise.resolve({kind: 'confirmed'}),
    customer: undefined,
    engine: {
      address,
      draining: false,
      id: 'e',
      sequence: 0,
      service: 's',
      silent: false,
      slots: 1,
      softwareVersion: 'v1',
      startedAtMs: 1,
      zone: 'z',
    },
    headers: [],
    host: 'h',
    id: 'i',
    isContinued: false,
    lastEvent: null,
    onConfirmed: () => {},
    onEvent: () => {},
    path: '/',
    ...changes,
  };
}

// Guards against an empty result: the engine had sent its whole response while it was asked for its start.
test('a run that is cancelled while its engine confirms its start is cut', async () => {
  const engine = await StreamEngine.start();
  undo.push(() => engine.stop());
  const events: string[] = [];
  let confirm = (): void => {};
  const req = requestOf(engine.address, {
    confirmStart: () => new Promise((resolve) => (confirm = () => resolve({kind: 'confirmed'}))),
    onEvent: (data) => events.push(data),
  });
  const run = startItemRun(plainRelay, new RelayLatencies(), req);
  await delay(WHOLE_MS);
  run.cancel();
  confirm();
  expect(await run.ended).toEqual({kind: 'cut'});
  expect(events).toEqual([]);
});

const EVENTS = 'content-type: text/event-stream';
const CHUNKED = 'transfer-encoding: chunked';
const [EVENT, CHUNKED_EVENT] = ['id: 1\ndata: a\n\n', 'f\r\nid: 1\ndata: a\n\n\r\n'];

// Guards against an item that runs for ever, and a process that runs out of memory, at an engine in trouble.
describe('a body without end', () => {
  const endless: readonly [string, Flood][] = [
    ['no length', {before: signedHead('i', EVENTS) + EVENT, repeated: 'no event '}],
    [
      'chunks',
      {before: signedHead('i', EVENTS, CHUNKED) + CHUNKED_EVENT, repeated: '4\r\naaaa\r\n'},
    ],
    ['one line', {before: `${signedHead('i', EVENTS)}data: `, repeated: 'a'}],
    ['lines', {before: signedHead('i', EVENTS), repeated: 'data: a\n'}],
    ['blank lines', {before: signedHead('i', EVENTS), repeated: '\n\n'}],
    ['lines and blank lines', {before: signedHead('i', EVENTS), repeated: 'no event\n\n'}],
    ['events without ids', {before: signedHead('i', EVENTS), repeated: 'data: a\n\n'}],
    ['a chunk’s size', {before: signedHead('i', EVENTS, CHUNKED) + CHUNKED_EVENT, repeated: '0'}],
    ['slow bytes', {before: signedHead('i', EVENTS) + EVENT, pauseMs: 200, repeated: 'a'}],
  ];
  test.each(endless)('breaks the run and closes the connection: %s', async (_, flood) => {
    const engine = await FloodEngine.start(flood);
    undo.push(() => engine.stop());
    const memoryBefore = process.memoryUsage().rss;
    const events: string[] = [];
    const req = requestOf(engine.address, {onEvent: (data) => events.push(data)});
    const run = startItemRun(plainRelay, new RelayLatencies(), req);
    const end = await Promise.race([run.ended, delay(FLOOD_MS)]);
    run.cancel();
    await delay(50);
    expect(end).toMatchObject({kind: 'broken'});
    // What is no event must not become part of the output.
    expect(events).toEqual(flood.before.includes('data: a') ? ['a'] : []);
    expect(engine.openConnections).toBe(0);
    expect(process.memoryUsage().rss - memoryBefore).toBeLessThan(MAX_MEMORY_BYTES);
  });
});

// Guards against an empty output that is recorded for good: the engine stopped within the head of its response.
describe('a head that is cut short', () => {
  test.each<[string, string, CutKind]>([
    ['chunks, closed', signedHead('i', EVENTS, CHUNKED), 'end'],
    ['chunks, reset', signedHead('i', EVENTS, CHUNKED), 'reset'],
    ['a length, closed', signedHead('i', EVENTS, 'content-length: 8'), 'end'],
    ['no length, closed', signedHead('i', EVENTS), 'end'],
  ])('breaks the run: %s', async (_, head, kind) => {
    let length = 0;
    const engine = await CutEngine.start(() => head.slice(0, length), kind);
    undo.push(() => engine.stop());
    for (; length <= head.length; length++) {
      const {ended} = startItemRun(plainRelay, new RelayLatencies(), requestOf(engine.address));
      expect([length, await ended]).toMatchObject([length, {kind: 'broken'}]);
    }
  });
});

// Guards against an item that counts as failed, and is given up, because an engine in trouble sent no valid status.
test.each(['000', '099', '101', '600', '999'])(
  'breaks the run after the status %s',
  async (status) => {
    const head = signedHead('i', EVENTS, 'content-length: 4').replace(' 200 ', ` ${status} `);
    const engine = await CutEngine.start(() => `${head}body`, 'end');
    undo.push(() => engine.stop());
    const {ended} = startItemRun(plainRelay, new RelayLatencies(), requestOf(engine.address));
    expect(await ended).toMatchObject({kind: 'broken'});
  },
);
