/**
 * Backend servers that speak HTTP, with the OpenAI-compatible paths for model engines.
 */
import type {Verdict} from 'stallpaddle';

import {type IncomingMessage, request} from 'node:http';
import {errorMessage, registerResetDetector, startDeadline, VERDICT_HEADER} from 'stallpaddle';
import {z} from 'zod';

import type {
  BackendRequest,
  BackendResponse,
  EngineAdapter,
  EngineStatus,
  OrderOutcome,
} from './EngineAdapter';

import {BackendError} from './EngineAdapter';

/** Header that carries the attempt's id. */
export const ATTEMPT_HEADER = 'x-request-id';
/** Header that carries the priority; smaller goes first. */
export const PRIORITY_HEADER = 'x-priority';
/** Header that carries the time the caller still waits, in milliseconds. */
export const TIMEOUT_HEADER = 'x-timeout-ms';
/** Path of an engine's load report. */
export const LOAD_PATH = '/load';
/** Path of orders to an engine. */
export const ORDERS_PATH = '/orders';

const ORDER_TIMEOUT_MS = 2_000;
const MAX_STATUS_BYTES = 1_048_576;
const OLD_FENCING_STATUS = 409;
const PRIORITIES = {batch: '10', online: '0'} as const;

const statusSchema = z.object({
  batch: z.number(),
  loading: z.array(z.string()),
  online: z.number(),
  queued: z.number(),
  tokenMs: z.number(),
  weights: z.array(z.string()),
});

/** Errors before the connection stood: nothing was sent. */
const NOT_CONNECTED = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL']);

function verdictOf(err: unknown): Verdict {
  const code = err instanceof Error && 'code' in err ? String(err.code) : '';
  return NOT_CONNECTED.has(code) ? 'notRun' : 'mayHaveRun';
}

/**
 * Body of an answer. Node ends the iteration with an error when the connection breaks off, but not
 * when a body without a length ends early; chunked framing covers that.
 */
async function* bodyOf(res: IncomingMessage): AsyncGenerator<Uint8Array> {
  try {
    for await (const chunk of res) {
      yield chunk as Buffer;
    }
  } catch (err) {
    throw new BackendError('mayHaveRun', `the answer broke off: ${errorMessage(err)}`);
  }
  if (!res.complete) {
    throw new BackendError('mayHaveRun', 'the answer broke off');
  }
}

/**
 * Reads a body whole.
 *
 * @param body the body
 * @param maxBytes bound on its size
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
      throw new BackendError('ran', `the answer is longer than ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** One backend server, reached by IP number. */
export class HttpEngine implements EngineAdapter {
  /**
   * @param host IP number
   * @param port TCP port
   */
  constructor(
    private readonly host: string,
    private readonly port: number,
  ) {}

  generate(req: BackendRequest, signal: AbortSignal): Promise<BackendResponse> {
    return new Promise((resolve, reject) => {
      const sent = request({
        // Of its own: an engine may answer twice, and what comes late on a kept connection would be taken for the next
        // request's answer; a kept one may also be closing.
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
      registerResetDetector(sent);
      sent.on('error', (err) => reject(new BackendError(verdictOf(err), errorMessage(err))));
      sent.on('response', (res) => {
        const refusal = refusalOf(res);
        if (refusal !== undefined) {
          res.resume();
          reject(refusal);
          return;
        }
        resolve({
          body: bodyOf(res),
          contentType: res.headers['content-type'] ?? 'application/octet-stream',
          status: res.statusCode ?? 0,
        });
      });
      sent.end(req.body);
    });
  }

  async order(target: readonly string[], fencing: number): Promise<OrderOutcome> {
    try {
      const body = Buffer.from(JSON.stringify({fencing, weights: target}));
      const {status} = await this.exchange('POST', ORDERS_PATH, body, ORDER_TIMEOUT_MS);
      if (status === OLD_FENCING_STATUS) {
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
      const answer = await this.generate(req, deadline.signal);
      const whole = await readBody(answer.body, MAX_STATUS_BYTES);
      return {status: answer.status, text: whole.toString()};
    } finally {
      deadline.dispose();
    }
  }
}

/** An engine that refuses before it starts says so with 429 or 503 and the verdict. */
function refusalOf(res: IncomingMessage): BackendError | undefined {
  const busy = res.statusCode === 429 || res.statusCode === 503;
  if (!busy || res.headers[VERDICT_HEADER] !== 'notRun') {
    return undefined;
  }
  const seconds = Number(res.headers['retry-after'] ?? '');
  const retryAfterMs = Number.isFinite(seconds) && seconds > 0 ? seconds * 1000 : undefined;
  return new BackendError('notRun', `the engine refused with ${res.statusCode}`, retryAfterMs);
}
