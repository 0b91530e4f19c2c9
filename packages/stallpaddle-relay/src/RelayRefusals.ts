/**
 * Refusals that the relay sends to callers.
 */
import type {ServerResponse} from 'node:http';

import {RefusalError, type Verdict, VERDICT_HEADER} from 'stallpaddle';

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

/**
 * Ends the response to a request that can't be served.
 *
 * @param res the caller's response
 * @param verdict whether the request has run
 * @param message why it can't be served
 * @param retryAfterMs returns the delay after which the caller should retry; called only if the request did not run
 */
export function endWithRefusal(
  res: ServerResponse,
  verdict: Verdict,
  message: string,
  retryAfterMs: () => number,
): void {
  if (res.headersSent) {
    // Without the last chunk the caller sees that the response is incomplete.
    res.destroy();
  } else if (verdict === 'notRun') {
    const details = {retryAfterMs: retryAfterMs()};
    sendRefusal(res, new RefusalError('unavailable', 'notRun', message, details));
  } else {
    sendRefusal(res, new RefusalError('engineFailed', verdict, message));
  }
}

/**
 * Ends the response to a request whose time limit has passed.
 *
 * @param res the caller's response
 * @param verdict whether the request has run
 */
export function endWithTimeOut(res: ServerResponse, verdict: Verdict): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const code = verdict === 'notRun' ? 'unavailable' : 'deadlineExceeded';
  sendRefusal(res, new RefusalError(code, verdict, 'The request’s time limit has passed.'));
}
