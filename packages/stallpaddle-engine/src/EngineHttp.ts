/**
 * HTTP client for backend servers, with load reports and orders for model engines.
 */
import type {Verdict} from 'stallpaddle';

import {type IncomingMessage, request} from 'node:http';
import {
  errorMessage,
  isFinalStatus,
  registerHeadLimit,
  registerResetDetector,
  startDeadline,
  VERDICT_HEADER,
} from 'stallpaddle';
import {z} from 'zod';

import type {
  BackendRequest,
  BackendResponse,
  EngineAdapter,
  EngineStatus,
  OrderOutcome,
} from './EngineAdapter';

import {BackendError} from './EngineAdapter';

/** Header with the id of the attempt. */
export const ATTEMPT_HEADER = 'x-request-id';
/** Header with the priority; lower values are served first. */
export const PRIORITY_HEADER = 'x-priority';
/** Header with the time left until the caller's deadline, in milliseconds. */
export const TIMEOUT_HEADER = 'x-timeout-ms';
/** Path of the load report of an engine. */
export const LOAD_PATH = '/load';
/** Path of orders to load weights. */
export const ORDERS_PATH = '/orders';

const ORDER_TIMEOUT_MS = 2_000;
const MAX_STATUS_BYTES = 1_048_576;
const STALE_FENCING_STATUS = 409;
const PRIORITIES = {batch: '10', online: '0'} as const;

const statusSchema = z.object({
  batch: z.number(),
  loading: z.array(z.string()),
  online: z.number(),
  queued: z.number(),
  tokenMs: z.number(),
  weights: z.array(z.string()),
});

/** Errors while connecting, before anything was sent. */
const CONNECT_ERRORS = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL']);

function verdictOf(err: unknown): Verdict {
  const code = err instanceof Error && 'code' in err ? String(err.code) : '';
  return CONNECT_ERRORS.has(code) ? 'notRun' : 'mayHaveRun';
}

/**
 * Yields the body of a response and throws if it is truncated. Node doesn't detect every truncation itself: a body
 * without a length is only known to be incomplete when it has chunked framing or its connection was reset.
 */
async function* streamBody(res: IncomingMessage): AsyncGenerator<Uint8Array> {
  try {
    for await (const chunk of res) {
      yield chunk as Buffer;
    }
  } catch (err) {
    throw new BackendError('mayHaveRun', `the response was truncated: ${errorMessage(err)}`);
  }
  if (!res.complete) {
    throw new BackendError('mayHaveRun', 'the response was truncated');
  }
}

/**
 * Reads a body into memory.
 *
 * @param body the body
 * @param maxBytes maximum size
 * @throws {BackendError} when the body is truncated or larger than the maximum
 */
export async function readBody(
  body: AsyncIterable<Uint8Array>,
  maxBytes = Infinity,
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      throw new BackendError('ran', `the response is larger than ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Sends requests and orders to one backend server over HTTP. */
export class HttpEngine implements EngineAdapter {
  /**
   * @param host IP address
   * @param port TCP port
   */
  constructor(
    private readonly host: string,
    private readonly port: number,
  ) {}

  generate(req: BackendRequest, signal: AbortSignal): Promise<BackendResponse> {
    return new Promise((resolve, reject) => {
      const outgoing = request({
        // Each request gets its own connection: on a reused one, a second response that an engine sends by mistake
        // would be matched to the next request. A reused connection may also be closing.
        agent: false,
        headers: {
          [ATTEMPT_HEADER]: req.attemptId,
          'content-length': req.body.length,
          'content-type': req.contentType,
          [PRIORITY_HEADER]: PRIORITIES[req.work],
          [TIMEOUT_HEADER]: Math.max(1, Math.ceil(req.timeoutMs)),
        },
        host: this.host,
        method: req.method,
        path: req.path,
        port: this.port,
        signal,
      });
      registerHeadLimit(outgoing);
      registerResetDetector(outgoing);
      outgoing.on('error', (err) => reject(new BackendError(verdictOf(err), errorMessage(err))));
      outgoing.on('response', (res) => {
        const status = res.statusCode;
        if (!isFinalStatus(status)) {
          outgoing.destroy();
          reject(new BackendError('mayHaveRun', `the response has the status ${status}`));
          return;
        }
        const refusal = parseRefusal(res);
        if (refusal !== undefined) {
          // The rest of the body may have no end.
          outgoing.destroy();
          reject(refusal);
          return;
        }
        resolve({
          body: streamBody(res),
          contentType: res.headers['content-type'] ?? 'application/octet-stream',
          status,
        });
      });
      outgoing.end(req.body);
    });
  }

  async order(target: readonly string[], fencing: number): Promise<OrderOutcome> {
    try {
      const body = Buffer.from(JSON.stringify({fencing, weights: target}));
      const {status} = await this.exchange('POST', ORDERS_PATH, body, ORDER_TIMEOUT_MS);
      if (status === STALE_FENCING_STATUS) {
        return {kind: 'oldFencing'};
      }
      return status < 300 ? {kind: 'accepted'} : {kind: 'unknown', reason: `status ${status}`};
    } catch (err) {
      return {kind: 'unknown', reason: errorMessage(err)};
    }
  }

  async status(timeoutMs: number): Promise<EngineStatus> {
    const {text} = await this.exchange('GET', LOAD_PATH, Buffer.alloc(0), timeoutMs);
    const {loading, ...load} = statusSchema.parse(JSON.parse(text));
    return {load, loading};
  }

  private async exchange(
    method: string,
    path: string,
    body: Uint8Array,
    timeoutMs: number,
  ): Promise<{readonly status: number; readonly text: string}> {
    const req: BackendRequest = {
      attemptId: '',
      body,
      contentType: 'application/json',
      method,
      path,
      repeatable: true,
      timeoutMs,
      work: 'online',
    };
    const deadline = startDeadline(timeoutMs);
    try {
      const response = await this.generate(req, deadline.signal);
      const content = await readBody(response.body, MAX_STATUS_BYTES);
      return {status: response.status, text: content.toString()};
    } finally {
      deadline.dispose();
    }
  }
}

/** Returns an error if the engine refused the request before running it: 429 or 503 with the verdict `notRun`. */
function parseRefusal(res: IncomingMessage): BackendError | undefined {
  const busy = res.statusCode === 429 || res.statusCode === 503;
  if (!busy || res.headers[VERDICT_HEADER] !== 'notRun') {
    return undefined;
  }
  const seconds = Number(res.headers['retry-after'] ?? '');
  const retryAfterMs = Number.isFinite(seconds) && seconds > 0 ? seconds * 1000 : undefined;
  return new BackendError(
    'notRun',
    `the engine refused the request with status ${res.statusCode}`,
    retryAfterMs,
  );
}
