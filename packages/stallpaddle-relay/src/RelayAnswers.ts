/**
 * Answers that the relay gives itself.
 */
import type {ServerResponse} from 'node:http';

import {type RefusalError, VERDICT_HEADER} from 'stallpaddle';

/** Milliseconds in a second. */
const SECOND_MS = 1_000;

/**
 * Answers with a refusal. Only a request that certainly did not run is told to come back.
 *
 * @param res the caller's response, nothing of it sent yet
 * @param refusal the reason
 */
export function sendRefusal(res: ServerResponse, refusal: RefusalError): void {
  if (res.headersSent || res.destroyed) {
    return;
  }
  const {code, details, message, verdict} = refusal;
  const text = JSON.stringify({error: {code, message, verdict, ...details}});
  const headers: Record<string, string> = {
    'content-length': String(Buffer.byteLength(text)),
    'content-type': 'application/json',
    [VERDICT_HEADER]: verdict,
  };
  if (details.retryAfterMs !== undefined) {
    headers['retry-after'] = String(details.retryAfterMs / SECOND_MS);
  }
  res.writeHead(refusal.status, headers).end(text);
}
