/**
 * Probes of engines whose address can't be connected to.
 */
import type {EngineView} from 'stallpaddle-fleet';

import {plainRelay} from 'stallpaddle-testing';
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

// Guards against the end of the process by a rejection that nobody handles.
test('a port out of range shows neither an exit nor a start', async () => {
  expect(await hasExited(plainRelay, ENGINE)).toBe(false);
  expect(await checkStart(plainRelay, ENGINE)).toEqual({kind: 'unknown'});
});
