/**
 * Whether an engine whose connection broke off has ended. A broken connection alone says little: links reset connections,
 * engines spoil answers. An engine that has ended takes no connection, or another one has its address.
 */
import type {EngineView} from 'stallpaddle-fleet';

import {request} from 'node:http';
import {delay, registerTimeout} from 'stallpaddle';

import type {RelayWire} from './RelayWire';

import {splitAddress} from './RelayEngineCall';

/** Looks at one engine. An engine that takes no more connections for a moment takes one soon. */
const LOOKS = 3;
/** Pause between two looks, in milliseconds: a few round trips, and far shorter than a process needs to start. */
const LOOK_AGAIN_MS = 40;
/** Longest wait for one look, in milliseconds: an engine says what it holds without any work; a dark VM says nothing of its engine. */
const LOOK_MS = 150;

/** What one look finds. */
type Look =
  /** The engine answers. */
  | 'lives'
  /** Another engine answers at its address. */
  | 'otherEngine'
  /** No connection comes up, and the VM says so. */
  | 'refused'
  /** Nothing is said. */
  | 'unknown';

/** Name of the look's own request. */
const LOOK_ID = 'look';

function look(wire: RelayWire, {address, id}: EngineView): Promise<Look> {
  return new Promise((resolve) => {
    let connected = false;
    const lines = wire.engineHeaders({
      deadlineMs: LOOK_MS,
      engine: id,
      requestId: LOOK_ID,
      resumeAfter: null,
    });
    const headers = Object.fromEntries(lines);
    const req = request({
      agent: false,
      headers,
      path: wire.occupancyPath,
      ...splitAddress(address),
    });
    const endWait = registerTimeout(LOOK_MS, () => {
      resolve('unknown');
      req.destroy();
    });
    req.on('socket', (socket) => socket.once('connect', () => (connected = true)));
    req.on('response', (res) => {
      const {otherEngine} = wire.readResponse(res.statusCode ?? 0, res.headers);
      resolve(otherEngine ? 'otherEngine' : 'lives');
      req.destroy();
    });
    // A connection that came up and broke off is no sign of life, and none of an end.
    req.on('error', () => resolve(connected ? 'unknown' : 'refused'));
    req.on('close', endWait);
    req.end();
  });
}

/**
 * Looks whether an engine has ended.
 *
 * @param wire the engines' words
 * @param engine the engine, as it was when the request was sent
 * @returns false also when it can't be known
 */
export async function hasExited(wire: RelayWire, engine: EngineView): Promise<boolean> {
  let last: Look = 'unknown';
  for (let looks = 0; looks < LOOKS; looks++) {
    last = await look(wire, engine);
    if (last === 'lives' || last === 'otherEngine') {
      return last === 'otherEngine';
    }
    await delay(LOOK_AGAIN_MS);
  }
  return last === 'refused';
}
