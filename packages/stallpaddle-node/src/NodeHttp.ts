/**
 * HTTP servers of a process, and bodies and answers on them.
 */
import type {IncomingMessage, RequestListener, Server, ServerResponse} from 'node:http';

import {createServer} from 'node:http';
import {errorMessage} from 'stallpaddle';

import type {NodeMetrics} from './NodeMetrics';
import type {RawResponse, RawRequest} from './NodeWire';

import {hostOf, portOf} from './NodeSettings';

/** Largest header block of any call, in bytes; callers are bound by the configuration's own limit. */
const MAX_HEADER_BYTES = 65_536;

/** Path of the metrics. */
const METRICS_PATH = '/metrics';
/** Time that a rested connection of a metrics collector is kept, in milliseconds. */
const METRICS_IDLE_MS = 10_000;

/** A body that is longer than allowed. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}

/**
 * Starts a server.
 *
 * @param address IP number and port
 * @param handler answers each request; must not throw
 * @param idleMs time that a rested connection is kept, in milliseconds
 */
export async function startServer(
  address: string,
  handler: RequestListener,
  idleMs: number,
): Promise<Server> {
  const server = createServer(
    {
      keepAlive: false,
      keepAliveTimeout: idleMs,
      maxHeaderSize: MAX_HEADER_BYTES,
      noDelay: true,
      requestTimeout: 0,
    },
    handler,
  );
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(portOf(address), hostOf(address), resolve);
  });
  return server;
}

/**
 * Reads a whole body.
 *
 * @param req the request
 * @param most most bytes
 * @throws {BodyTooLargeError} when there are more
 */
export async function readBody(req: IncomingMessage, most: number): Promise<Buffer> {
  if (Number(req.headers['content-length'] ?? 0) > most) {
    throw new BodyTooLargeError();
  }
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size > most) {
      throw new BodyTooLargeError();
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}

/**
 * A call without its body.
 *
 * @param req the request
 */
export function requestHead(req: IncomingMessage): Omit<RawRequest, 'body'> {
  return {headers: req.headers, method: req.method ?? 'GET', url: req.url ?? '/'};
}

/**
 * Sends an answer.
 *
 * @param res the response
 * @param answer what to send
 */
export function sendResponse(res: ServerResponse, answer: RawResponse): void {
  if (res.headersSent || res.destroyed) {
    return;
  }
  const body = answer.body ?? '';
  res.writeHead(answer.status, {
    ...answer.headers,
    'content-length': String(Buffer.byteLength(body)),
  });
  res.end(body);
}

/**
 * Starts the server for metrics.
 *
 * @param address IP number and port; null for none
 * @param metrics the process's metrics
 */
export async function startMetricsServer(
  address: null | string,
  metrics: NodeMetrics,
): Promise<Server | null> {
  if (address === null) {
    return null;
  }
  const handler: RequestListener = (req, res) => {
    req.resume();
    if (req.url !== METRICS_PATH) {
      sendResponse(res, {status: 404});
      return;
    }
    metrics.text().then(
      (body) => sendResponse(res, {body, headers: {'content-type': 'text/plain'}, status: 200}),
      (err: unknown) => sendResponse(res, {body: errorMessage(err), status: 500}),
    );
  };
  return startServer(address, handler, METRICS_IDLE_MS);
}
