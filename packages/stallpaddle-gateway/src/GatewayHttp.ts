/**
 * Helpers for reading requests and writing responses.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {z} from 'zod';

import {once} from 'node:events';
import {errorMessage, RefusalError, refuse, VERDICT_HEADER} from 'stallpaddle';

/** Header with which a caller says whether a request may be repeated: `true` or `false`. */
export const REPEATABLE_HEADER = 'x-stallpaddle-repeatable';
/** Header with a request's idempotency key. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

const MAX_KEY_CHARACTERS = 256;
const MS_PER_S = 1000;

/**
 * Reads a whole request body, limited in size and time.
 *
 * @param req the request
 * @param maxBytes largest accepted size
 * @param timeoutMs time allowed for sending it, in milliseconds
 */
export async function readRequestBody(
  req: IncomingMessage,
  maxBytes: number,
  timeoutMs: number,
): Promise<Buffer> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > maxBytes) {
    throw refuse(
      'bodyTooLarge',
      `the body has ${declared} bytes, but at most ${maxBytes} are accepted`,
    );
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  const timer = setTimeout(
    () => req.destroy(new Error('the body was not sent in time')),
    timeoutMs,
  );
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        throw refuse('bodyTooLarge', `the body has more than ${maxBytes} bytes`);
      }
      chunks.push(chunk);
    }
  } catch (err) {
    throw err instanceof RefusalError ? err : refuse('badRequest', 'the body was interrupted');
  } finally {
    clearTimeout(timer);
  }
  return Buffer.concat(chunks);
}

/**
 * Parses a JSON body and validates it against a schema.
 *
 * @param body bytes of the body
 * @param schema schema of the body
 */
export function parseBody<T>(body: Uint8Array, schema: z.ZodType<T>): T {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString());
  } catch (err) {
    throw refuse('badRequest', `the body is not JSON: ${errorMessage(err)}`);
  }
  const result = schema.safeParse(value);
  if (!result.success) {
    const [issue] = result.error.issues;
    const path = issue?.path.map(String).join('.') ?? '';
    throw refuse('badRequest', `${path || 'body'}: ${issue?.message}`, {path});
  }
  return result.data;
}

/**
 * Returns whether a request may be repeated.
 *
 * @param req the request
 * @param byDefault result without the header
 */
export function isRepeatable(req: IncomingMessage, byDefault: boolean): boolean {
  const value = req.headers[REPEATABLE_HEADER];
  switch (value) {
    case undefined:
      return byDefault;
    case 'false':
      return false;
    case 'true':
      return true;
    default:
      throw refuse('badRequest', `${REPEATABLE_HEADER} must be true or false`);
  }
}

/**
 * Returns the idempotency key of a request, or null without one.
 *
 * @param req the request
 */
export function idempotencyKey(req: IncomingMessage): string | null {
  const value = req.headers[IDEMPOTENCY_KEY_HEADER];
  if (value === undefined) {
    return null;
  }
  if (typeof value !== 'string' || value.length === 0 || value.length > MAX_KEY_CHARACTERS) {
    throw refuse(
      'badRequest',
      `${IDEMPOTENCY_KEY_HEADER} must have 1 to ${MAX_KEY_CHARACTERS} characters`,
    );
  }
  return value;
}

/**
 * Sends a JSON body.
 *
 * @param res the response
 * @param status HTTP status
 * @param body plain data
 */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-length': Buffer.byteLength(text),
    'content-type': 'application/json',
  });
  res.end(text);
}

/**
 * Writes a chunk. If the write buffer is full, waits until it has drained or the connection is closed.
 *
 * @param res the response
 * @param chunk data to write
 */
export async function writeChunk(res: ServerResponse, chunk: Uint8Array | string): Promise<void> {
  if (!res.write(chunk) && !res.destroyed) {
    await Promise.race([once(res, 'drain'), once(res, 'close')]);
  }
}

/**
 * Converts a caught value to a refusal; any other error becomes `internal`.
 *
 * @param err the caught value
 */
export function toRefusal(err: unknown): RefusalError {
  return err instanceof RefusalError
    ? err
    : new RefusalError('internal', 'mayHaveRun', 'internal error while handling the request');
}

/**
 * Sends an error. If a part of a response has been sent already, closes the connection instead, so that the caller
 * cannot take a truncated response for a complete one.
 *
 * @param res the response
 * @param refusal the error
 */
export function sendRefusal(res: ServerResponse, refusal: RefusalError): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const {code, details, message, status, verdict} = refusal;
  res.setHeader(VERDICT_HEADER, verdict);
  if (details.retryAfterMs !== undefined) {
    res.setHeader('retry-after', Math.max(1, Math.ceil(details.retryAfterMs / MS_PER_S)));
    res.setHeader('retry-after-ms', Math.ceil(details.retryAfterMs));
  }
  const type = status < 500 ? 'invalid_request_error' : 'server_error';
  const {line = null, path = null, retryAfterMs = null} = details;
  sendJson(res, status, {error: {code, line, message, param: path, retryAfterMs, type, verdict}});
}

/**
 * Returns a signal that is aborted when the caller disconnects before the response has ended.
 *
 * @param res the response
 */
export function callerSignal(res: ServerResponse): AbortSignal {
  const aborter = new AbortController();
  res.on('close', () => {
    if (!res.writableEnded) {
      aborter.abort();
    }
  });
  return aborter.signal;
}
