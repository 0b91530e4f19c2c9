/**
 * Guards against runs of items that look complete although their responses were closed.
 */
import {delay} from 'stallpaddle';
import {RelayLatencies} from 'stallpaddle-relay';
import {plainRelay, StreamEngine} from 'stallpaddle-testing';
import {afterEach, expect, test} from 'vitest';

import {startItemRun} from '../../JobsItemRun';

/** Time in which an engine sends a whole response, in milliseconds. */
const WHOLE_MS = 200;

let engine: StreamEngine;

afterEach(() => engine.stop());

// Guards against an empty result: the engine had sent its whole response while it was asked for its start.
test('a run that is cancelled while its engine confirms its start is cut', async () => {
  engine = await StreamEngine.start();
  const events: string[] = [];
  let confirm = (): void => {};
  const run = startItemRun(plainRelay, new RelayLatencies(), {
    body: new Uint8Array(),
    confirmStart: () => new Promise((resolve) => (confirm = () => resolve({kind: 'confirmed'}))),
    customer: undefined,
    engine: {
      address: engine.address,
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
    onEvent: (data) => events.push(data),
    path: '/',
  });
  await delay(WHOLE_MS);
  run.cancel();
  confirm();
  expect(await run.ended).toEqual({kind: 'cut'});
  expect(events).toEqual([]);
});
