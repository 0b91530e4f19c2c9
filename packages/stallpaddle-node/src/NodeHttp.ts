/** HTTP servers of a process, with helpers for request bodies and responses. */
import type {IncomingMessage, RequestListener, Server, ServerResponse} from 'node:http';

import {createServer} from 'node:http';
import {DrainableServer, errorMessage} from 'stallpaddle';

import type {NodeMetrics} from './NodeMetrics';
import type {RawRequest, RawResponse} from './NodeWire';

import {hostOf, portOf} from './NodeSettings';

/** Largest header block of any request, in bytes; the configuration may set a lower limit for callers. */
const MAX_HEADER_BYTES = 65_536;

/** Path of the metrics. */
const METRICS_PATH = '/metrics';
/** Idle timeout of a metrics collector's connection, in milliseconds. */
const METRICS_IDLE_MS = 10_000;

/** A server that is listening. */
export interface ListeningServer {
  readonly drainable: DrainableServer;
  readonly server: Server;
}

/** A request body exceeds the size limit. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}

/**
 * Starts a server.
 *
 * @param address IP address and port
 * @param handler answers each request; must not throw
 * @param idleMs idle timeout of a connection, in milliseconds
 */
export async function startServer(
  address: string,
  handler: RequestListener,
  idleMs: number,
): Promise<ListeningServer> {
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
  const drainable = new DrainableServer(server);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(portOf(address), hostOf(address), resolve);
  });
  return {drainable, server};
}

/**
 * Reads a request body.
 *
 * @param req the request
 * @param maxBytes largest size, in bytes
 * @throws {BodyTooLargeError} when the body is larger
 */
export async function readBody(req: IncomingMessage, maxBytes: number): Promise<Buffer> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
    throw new BodyTooLargeError();
  }
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size > maxBytes) {
      throw new BodyTooLargeError();
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}

/**
 * Method, URL and headers of a request.
 *
 * @param req the request
 */
export function requestHead(req: IncomingMessage): Omit<RawRequest, 'body'> {
  return {headers: req.headers, method: req.method ?? 'GET', url: req.url ?? '/'};
}

/**
 * Sends a response, unless one was begun or the connection is closed.
 *
 * @param res the HTTP response
 * @param answer its content
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
 * Starts the metrics server.
 *
 * @param address IP address and port; null for none
 * @param metrics the process's metrics
 */
export async function startMetricsServer(
  address: null | string,
  metrics: NodeMetrics,
): Promise<void> {
  if (address === null) {
    return;
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
  await startServer(address, handler, METRICS_IDLE_MS);
}
