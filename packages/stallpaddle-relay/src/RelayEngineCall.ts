/**
 * Sends one request to one engine on a connection of its own, so that a late response can't be taken for that of
 * another request and no idle connection is closed just as a request is sent.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';

import {isFinalStatus, openRequest, registerResetDetector, registerTimeout} from 'stallpaddle';

import type {RelayLatencies} from './RelayLatencies';
import type {RelayWire, ResponseMetadata} from './RelayWire';

/** Request to an engine. */
export interface EngineRequest {
  /** IP address and port. */
  readonly address: string;
  readonly body: Uint8Array;
  /** Flat list of names and values, without content-length. */
  readonly headers: readonly string[];
  readonly method: string;
  readonly path: string;
  readonly requestId: string;
}

/** Why a request certainly did not run. */
export type NotRunReason =
  /** No connection could be established in time; the engine may be busy, paused or unreachable. */
  | 'noConnection'
  /** The engine declined the request: it is full or draining. */
  | 'declined'
  /** HTTP or TCP can't carry the request or the engine's address. */
  | 'malformed'
  /** Another engine has the address. */
  | 'otherEngine'
  /** The connection was refused: no process listens at the address. */
  | 'refused';

/** Outcome of an attempt up to the response head. */
export type EngineCallStart =
  | {readonly kind: 'answer'; readonly metadata: ResponseMetadata; readonly res: IncomingMessage}
  | {readonly kind: 'mayHaveRun'; readonly reason: string}
  /** `error`: details for the log. */
  | {readonly error?: string; readonly kind: 'notRun'; readonly reason: NotRunReason};

/** An attempt in progress. */
export interface EngineCall {
  /** Closes the connection; the engine then drops the request. */
  readonly close: () => void;
  /** Whether it was closed from this side. What was not read of the response then is discarded. */
  readonly isClosed: boolean;
  readonly started: Promise<EngineCallStart>;
}

/**
 * Splits an address into host and port.
 *
 * @param address IP address and port
 */
export function splitAddress(address: string): {readonly host: string; readonly port: number} {
  const colon = address.lastIndexOf(':');
  return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

/**
 * Whether a response states where it ends. One without a length and without chunks ends with its connection, which looks the
 * same when the engine exits.
 *
 * @param res the response
 */
export function isFramedResponse({headers}: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function classifyResponse(
  wire: RelayWire,
  res: IncomingMessage,
  requestId: string,
): EngineCallStart {
  if (!isFinalStatus(res.statusCode)) {
    return {kind: 'mayHaveRun', reason: `the response has the status ${res.statusCode}`};
  }
  const metadata = wire.readResponse(res.statusCode, res.headers);
  if (metadata.otherEngine) {
    return {kind: 'notRun', reason: 'otherEngine'};
  }
  if (metadata.notRun) {
    return {kind: 'notRun', reason: 'declined'};
  }
  if (metadata.requestId !== requestId) {
    return {kind: 'mayHaveRun', reason: 'the response belongs to another request'};
  }
  if (!metadata.signed || res.headers['content-encoding'] !== undefined) {
    return {kind: 'mayHaveRun', reason: 'the response is not signed by the engine or is encoded'};
  }
  return {kind: 'answer', metadata, res};
}

/**
 * Sends a request.
 *
 * @param wire the engines' protocol
 * @param latencies learned latency limits
 * @param req the request
 */
export function startEngineCall(
  wire: RelayWire,
  latencies: RelayLatencies,
  req: EngineRequest,
): EngineCall {
  const {host, port} = splitAddress(req.address);
  const headers = [...req.headers, 'Content-Length', String(req.body.length)];
  let connected = false;
  let out: ClientRequest | undefined;
  const started = new Promise<EngineCallStart>((resolve) => {
    const opened = openRequest({
      agent: false,
      headers,
      host,
      method: req.method,
      path: req.path,
      port,
    });
    if (opened instanceof Error) {
      resolve({error: opened.message, kind: 'notRun', reason: 'malformed'});
      return;
    }
    out = opened;
    registerResetDetector(out);
    const openedAt = performance.now();
    const onTimeout = (): void => {
      out?.destroy(new Error('no connection'));
    };
    const cancelTimeout = registerTimeout(latencies.connect.timeoutMs, onTimeout);
    out.on('socket', (socket) => {
      socket.setNoDelay(true);
      socket.once('connect', () => {
        connected = true;
        cancelTimeout();
        latencies.connect.observe(performance.now() - openedAt);
      });
    });
    out.on('response', (res) => {
      // Without a listener, an error before the body is read would be an uncaught exception.
      res.on('error', () => {});
      const start = classifyResponse(wire, res, req.requestId);
      if (start.kind !== 'answer') {
        out?.destroy();
      }
      resolve(start);
    });
    out.on('error', (err: NodeJS.ErrnoException) => {
      cancelTimeout();
      resolve(
        connected
          ? {kind: 'mayHaveRun', reason: err.message}
          : {kind: 'notRun', reason: err.code === 'ECONNREFUSED' ? 'refused' : 'noConnection'},
      );
    });
    out.on('close', () => {
      cancelTimeout();
      resolve(
        connected
          ? {kind: 'mayHaveRun', reason: 'the connection was closed'}
          : {kind: 'notRun', reason: 'noConnection'},
      );
    });
    out.end(req.body);
  });
  let isClosed = false;
  const close = (): void => {
    isClosed = true;
    out?.destroy();
  };
  return {
    close,
    get isClosed() {
      return isClosed;
    },
    started,
  };
}
