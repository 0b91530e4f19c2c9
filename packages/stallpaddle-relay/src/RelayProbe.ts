/**
 * Probe of an engine: whether it still runs, and whether it is the start that the fleet status names. An engine that has
 * exited refuses connections, another engine has its address, or it has started again under its id.
 */
import type {IncomingMessage} from 'node:http';
import type {EngineView} from 'stallpaddle-fleet';

import {delay, openRequest, registerTimeout} from 'stallpaddle';
import {UNKNOWN_START} from 'stallpaddle-fleet';

import type {RelayWire} from './RelayWire';

import {splitAddress} from './RelayEngineCall';
import {engineHeaders} from './RelayHeaders';

/** Number of probes of one engine: a live one may refuse connections for a moment. */
const MAX_PROBES = 3;
/** Pause between two probes, in milliseconds: much shorter than the start of an engine process. */
const PROBE_INTERVAL_MS = 40;
/**
 * Timeout of one probe, in milliseconds. A VM that is down doesn't answer at all, which says nothing about its
 * engine.
 */
const PROBE_TIMEOUT_MS = 150;
/** Timeout of a probe that confirms a start, in milliseconds; a slow engine that responds late confirms it as well. */
const START_TIMEOUT_MS = 500;
/** Maximum size of a report, in bytes. */
const MAX_REPORT_BYTES = 65_536;

/** A start of an engine that the fleet status doesn't name. */
export interface OtherStart {
  /** Ids of the requests that run there. */
  readonly running: readonly string[];
  readonly startedAtMs: number;
}

/** Result of one probe. */
type ProbeResult =
  /** The start that the fleet status names responds. */
  | {readonly kind: 'lives'}
  /** Another engine responds at its address. */
  | {readonly kind: 'otherEngine'}
  /** Another start of the engine responds. */
  | {readonly kind: 'otherStart'; readonly start: OtherStart}
  /** The connection was refused. */
  | {readonly kind: 'refused'}
  /** No response, or the connection broke. */
  | {readonly kind: 'unknown'}
  /** The engine responds, but doesn't tell its start. */
  | {readonly kind: 'untold'};

/** Request id of a probe. */
const PROBE_REQUEST_ID = 'look';

/**
 * Whether the engine's id alone identifies its start: its platform reports no start times and names each start anew.
 *
 * @param engine the engine
 */
export function isNamedByStart({startedAtMs}: EngineView): boolean {
  return startedAtMs === UNKNOWN_START;
}

async function readText(res: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of res) {
    text += (chunk as Buffer).toString();
    if (text.length > MAX_REPORT_BYTES) {
      return '';
    }
  }
  return text;
}

async function readResult(
  wire: RelayWire,
  engine: EngineView,
  res: IncomingMessage,
): Promise<ProbeResult> {
  const {otherEngine} = wire.readResponse(res.statusCode ?? 0, res.headers);
  if (otherEngine) {
    return {kind: 'otherEngine'};
  }
  if (isNamedByStart(engine)) {
    return {kind: 'lives'};
  }
  try {
    const {running = [], startedAtMs = null} = wire.readOccupancy(await readText(res)) ?? {};
    if (startedAtMs === null) {
      return {kind: 'untold'};
    }
    return startedAtMs === engine.startedAtMs
      ? {kind: 'lives'}
      : {kind: 'otherStart', start: {running, startedAtMs}};
  } catch {
    // The connection broke within the report.
    return {kind: 'unknown'};
  }
}

function probe(wire: RelayWire, engine: EngineView, timeoutMs: number): Promise<ProbeResult> {
  return new Promise((resolve) => {
    let connected = false;
    let responded = false;
    const headerLines = engineHeaders(wire, {
      deadlineMs: timeoutMs,
      engine: engine.id,
      requestId: PROBE_REQUEST_ID,
      resumeAfter: null,
    });
    const headers = Object.fromEntries(headerLines);
    const req = openRequest({
      agent: false,
      headers,
      path: wire.occupancyPath,
      ...splitAddress(engine.address),
    });
    if (req instanceof Error) {
      resolve({kind: 'unknown'});
      return;
    }
    const cancelTimeout = registerTimeout(timeoutMs, () => {
      resolve({kind: 'unknown'});
      req.destroy();
    });
    req.on('socket', (socket) => socket.once('connect', () => (connected = true)));
    req.on('response', (res) => {
      responded = true;
      res.on('error', () => {});
      void readResult(wire, engine, res).then((result) => {
        resolve(result);
        req.destroy();
      });
    });
    // A connection that was established and then broke shows neither that the engine is alive nor that it has exited.
    req.on('error', () => resolve({kind: connected ? 'unknown' : 'refused'}));
    req.on('close', () => {
      cancelTimeout();
      if (!responded) {
        resolve({kind: 'unknown'});
      }
    });
    req.end();
  });
}

/** Probes an engine until it responds, a few times. */
async function probeRepeatedly(
  wire: RelayWire,
  engine: EngineView,
  timeoutMs: number,
): Promise<ProbeResult> {
  let last: ProbeResult = {kind: 'unknown'};
  for (let probes = 0; probes < MAX_PROBES; probes++) {
    last = await probe(wire, engine, timeoutMs);
    if (last.kind !== 'refused' && last.kind !== 'unknown') {
      return last;
    }
    await delay(PROBE_INTERVAL_MS);
  }
  return last;
}

/**
 * Checks whether an engine has exited. A broken connection alone doesn't show it.
 *
 * @param wire the engines' protocol
 * @param engine the engine, as it was when the request was sent
 * @returns false also when the state is unknown
 */
export async function hasExited(wire: RelayWire, engine: EngineView): Promise<boolean> {
  switch ((await probeRepeatedly(wire, engine, PROBE_TIMEOUT_MS)).kind) {
    case 'otherEngine':
    case 'otherStart':
    case 'refused':
      return true;
    case 'lives':
    case 'unknown':
    case 'untold':
      return false;
  }
}

/** Whether the start of an engine that the fleet status names still runs. */
export type StartCheck =
  | {readonly kind: 'confirmed'}
  /** Another start has its address; null for another engine. */
  | {readonly kind: 'other'; readonly start: null | OtherStart}
  /** The engine doesn't respond, or doesn't tell its start. */
  | {readonly kind: 'unknown'};

/**
 * Asks an engine whether it is the start that the fleet status names.
 *
 * @param wire the engines' protocol
 * @param engine the engine
 */
export async function checkStart(wire: RelayWire, engine: EngineView): Promise<StartCheck> {
  if (isNamedByStart(engine)) {
    return {kind: 'confirmed'};
  }
  const result = await probeRepeatedly(wire, engine, START_TIMEOUT_MS);
  switch (result.kind) {
    case 'lives':
      return {kind: 'confirmed'};
    case 'otherEngine':
      return {kind: 'other', start: null};
    case 'otherStart':
      return {kind: 'other', start: result.start};
    case 'refused':
    case 'unknown':
    case 'untold':
      return {kind: 'unknown'};
  }
}
