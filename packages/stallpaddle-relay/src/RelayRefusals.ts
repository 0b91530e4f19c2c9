/**
 * Refusals that the relay sends to callers.
 */
import type {ServerResponse} from 'node:http';

import {type RefusalError, VERDICT_HEADER} from 'stallpaddle';

const SECOND_MS = 1_000;

/**
 * Sends a refusal. Only a request that certainly did not run gets a retry-after header.
 *
 * @param res the caller's response, not yet started
 * @param refusal the reason
 */
export function sendRefusal(res: ServerResponse, refusal: RefusalError): void {
  if (res.headersSent || res.destroyed) {
    return;
  }
  const {code, details, message, verdict} = refusal;
  const body = JSON.stringify({error: {code, message, verdict, ...details}});
  const headers: Record<string, string> = {
    'content-length': String(Buffer.byteLength(body)),
    'content-type': 'application/json',
    [VERDICT_HEADER]: verdict,
  };
  if (details.retryAfterMs !== undefined) {
    headers['retry-after'] = String(details.retryAfterMs / SECOND_MS);
  }
  res.writeHead(refusal.status, headers).end(body);
}
