/**
 * Probe of an engine after its connection broke. A broken connection alone doesn't show an exit: an engine that has
 * exited refuses connections, or another engine has its address.
 */
import type {EngineView} from 'stallpaddle-fleet';

import {request} from 'node:http';
import {delay, registerTimeout} from 'stallpaddle';

import type {RelayWire} from './RelayWire';

import {splitAddress} from './RelayEngineCall';

/** Number of probes of one engine: a live one may refuse connections for a moment. */
const MAX_PROBES = 3;
/** Pause between two probes, in milliseconds: much shorter than the start of an engine process. */
const PROBE_INTERVAL_MS = 40;
/**
 * Timeout of one probe, in milliseconds. A VM that is down doesn't answer at all, which says nothing about its
 * engine.
 */
const PROBE_TIMEOUT_MS = 150;

/** Result of one probe. */
type ProbeResult =
  /** The engine responds. */
  | 'lives'
  /** Another engine responds at its address. */
  | 'otherEngine'
  /** The connection was refused. */
  | 'refused'
  /** No response, or the connection broke. */
  | 'unknown';

/** Request id of a probe. */
const PROBE_REQUEST_ID = 'look';

function probe(wire: RelayWire, {address, id}: EngineView): Promise<ProbeResult> {
  return new Promise((resolve) => {
    let connected = false;
    const headerLines = wire.engineHeaders({
      deadlineMs: PROBE_TIMEOUT_MS,
      engine: id,
      requestId: PROBE_REQUEST_ID,
      resumeAfter: null,
    });
    const headers = Object.fromEntries(headerLines);
    const req = request({
      agent: false,
      headers,
      path: wire.occupancyPath,
      ...splitAddress(address),
    });
    const cancelTimeout = registerTimeout(PROBE_TIMEOUT_MS, () => {
      resolve('unknown');
      req.destroy();
    });
    req.on('socket', (socket) => socket.once('connect', () => (connected = true)));
    req.on('response', (res) => {
      const {otherEngine} = wire.readResponse(res.statusCode ?? 0, res.headers);
      resolve(otherEngine ? 'otherEngine' : 'lives');
      req.destroy();
    });
    // A connection that was established and then broke shows neither that the engine is alive nor that it has exited.
    req.on('error', () => resolve(connected ? 'unknown' : 'refused'));
    req.on('close', cancelTimeout);
    req.end();
  });
}

/**
 * Checks whether an engine has exited.
 *
 * @param wire the engines' protocol
 * @param engine the engine, as it was when the request was sent
 * @returns false also when the state is unknown
 */
export async function hasExited(wire: RelayWire, engine: EngineView): Promise<boolean> {
  let last: ProbeResult = 'unknown';
  for (let probes = 0; probes < MAX_PROBES; probes++) {
    last = await probe(wire, engine);
    if (last === 'lives' || last === 'otherEngine') {
      return last === 'otherEngine';
    }
    await delay(PROBE_INTERVAL_MS);
  }
  return last === 'refused';
}
