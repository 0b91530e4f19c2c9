/**
 * One request to one engine, on a connection of its own: an answer that comes late can't meet another
 * request, and no idle connection can be closed just as a request is sent.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';

import {request} from 'node:http';
import {registerResetWatch, registerTimeout} from 'stallpaddle';

import type {RelayLatencies} from './RelayLatencies';
import type {ResponseMetadata, RelayWire} from './RelayWire';

/** A request as it is sent. */
export interface EngineRequest {
  /** IP number and port. */
  readonly address: string;
  readonly body: Uint8Array;
  /** Flat list of names and values, without a length. */
  readonly headers: readonly string[];
  readonly method: string;
  readonly path: string;
  readonly requestId: string;
}

/** Why a request was not run, for certain. */
export type NotRunReason =
  /** No connection came up. */
  | 'noConnection'
  /** The engine says so itself: it is full or leaves. */
  | 'declined'
  /** Another engine has the address. */
  | 'otherEngine';

/** How an attempt began. */
export type EngineCallStart =
  | {readonly facts: ResponseMetadata; readonly kind: 'answer'; readonly res: IncomingMessage}
  | {readonly kind: 'mayHaveRun'; readonly reason: string}
  | {readonly kind: 'notRun'; readonly reason: NotRunReason};

/** An attempt under way. */
export interface EngineCall {
  /** Closes the connection at once; the engine then drops the request. */
  readonly close: () => void;
  readonly started: Promise<EngineCallStart>;
}

/**
 * Host and port of an address.
 *
 * @param address IP number and port
 */
export function splitAddress(address: string): {readonly host: string; readonly port: number} {
  const colon = address.lastIndexOf(':');
  return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

function startOf(wire: RelayWire, res: IncomingMessage, requestId: string): EngineCallStart {
  const facts = wire.readResponse(res.statusCode ?? 0, res.headers);
  if (facts.otherEngine) {
    return {kind: 'notRun', reason: 'otherEngine'};
  }
  if (facts.notRun) {
    return {kind: 'notRun', reason: 'declined'};
  }
  if (facts.requestId !== requestId) {
    return {kind: 'mayHaveRun', reason: 'the answer belongs to another request'};
  }
  if (!facts.signed || res.headers['content-encoding'] !== undefined) {
    return {kind: 'mayHaveRun', reason: 'the answer is not the engine’s own'};
  }
  return {facts, kind: 'answer', res};
}

/**
 * Sends a request.
 *
 * @param wire the engines' words
 * @param pace how fast engines are
 * @param req the request
 */
export function startEngineCall(wire: RelayWire, pace: RelayLatencies, req: EngineRequest): EngineCall {
  const {host, port} = splitAddress(req.address);
  const headers = [...req.headers, 'Content-Length', String(req.body.length)];
  let connected = false;
  let out: ClientRequest | undefined;
  const started = new Promise<EngineCallStart>((resolve) => {
    out = request({
      agent: false,
      headers,
      host,
      method: req.method,
      path: req.path,
      port,
    });
    registerResetWatch(out);
    const openedAt = performance.now();
    const giveUp = (): void => {
      out?.destroy(new Error('no connection'));
    };
    const endWait = registerTimeout(pace.connect.limitMs, giveUp);
    out.on('socket', (socket) => {
      socket.setNoDelay(true);
      socket.once('connect', () => {
        connected = true;
        endWait();
        pace.connect.note(performance.now() - openedAt);
      });
    });
    out.on('response', (res) => {
      // Errors of the body are seen by whoever reads it; before that they must not go unhandled.
      res.on('error', () => {});
      const start = startOf(wire, res, req.requestId);
      if (start.kind !== 'answer') {
        out?.destroy();
      }
      resolve(start);
    });
    out.on('error', (err) => {
      endWait();
      resolve(
        connected
          ? {kind: 'mayHaveRun', reason: err.message}
          : {kind: 'notRun', reason: 'noConnection'},
      );
    });
    out.on('close', () => {
      endWait();
      resolve(
        connected
          ? {kind: 'mayHaveRun', reason: 'the connection was closed'}
          : {kind: 'notRun', reason: 'noConnection'},
      );
    });
    out.end(req.body);
  });
  return {close: () => out?.destroy(), started};
}
