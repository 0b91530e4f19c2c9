/**
 * At-most-once execution of requests that must not be repeated.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CallRecord, LedgerPort} from 'stallpaddle-ledger';

import {generateId, RefusalError, refuse} from 'stallpaddle';

import type {CustomerCaller} from './GatewayAuth';
import type {GatewayContext} from './GatewayContext';
import type {BufferedResponse} from './GatewayOnlineForwarder';

import {sha256} from './GatewayAuth';
import {idempotencyKey} from './GatewayHttp';

function sendResponse(res: ServerResponse, {body, contentType, status}: BufferedResponse): void {
  res.writeHead(status, {'content-length': body.length, 'content-type': contentType});
  res.end(body);
}

/**
 * Keeps requests with an idempotency key from running twice: records each start before anything is sent to a backend
 * server, and responds to a resend with the stored response.
 */
export class GatewayIdempotency {
  /**
   * @param context state and services of the VM
   */
  constructor(private readonly context: GatewayContext) {}

  /**
   * Handles a non-repeatable request.
   *
   * @param caller the customer
   * @param req the request; its idempotency key identifies a resend
   * @param content the body, which must be the same in a resend
   * @param res the response
   * @param send sends the request to a backend server; must retry only `notRun` failures
   */
  async handle(
    caller: CustomerCaller,
    req: IncomingMessage,
    content: Uint8Array,
    res: ServerResponse,
    send: () => Promise<BufferedResponse>,
  ): Promise<void> {
    const key = idempotencyKey(req);
    if (key === null) {
      sendResponse(res, await send());
      return;
    }
    const port = this.context.ledger.forCustomer(caller.customer);
    const hash = sha256(`${req.method} ${req.url}\n${Buffer.from(content).toString('base64')}`);
    const existing = await this.recordStart(port, caller, key, hash);
    if (existing !== undefined) {
      sendResponse(res, await this.storedResponse(port, existing));
      return;
    }
    sendResponse(res, await this.runRecorded(port, caller, key, send));
  }

  private async recordStart(
    port: LedgerPort,
    {customer}: CustomerCaller,
    key: string,
    content: string,
  ): Promise<CallRecord | undefined> {
    const now = this.context.clock.wallMs();
    const answer = await port.command({
      attempt: generateId('start'),
      content,
      customer,
      key,
      now,
      type: 'startCall',
    });
    switch (answer.kind) {
      case 'callExists':
        return answer.call;
      case 'ok':
        return undefined;
      case 'refused':
        throw refuse(answer.code, answer.message);
      case 'job':
      case 'leased':
      case 'reported':
      case 'started':
        throw refuse('internal', 'unexpected kind of answer from the ledger');
    }
  }

  private async storedResponse(port: LedgerPort, call: CallRecord): Promise<BufferedResponse> {
    if (call.kind === 'started') {
      throw new RefusalError(
        'conflict',
        'mayHaveRun',
        'the request was started before and its outcome is unknown; it is not run again',
        {retryAfterMs: 1000},
      );
    }
    const body = await port.readBlob(call.answer);
    return {body, contentType: call.contentType, status: call.status};
  }

  private async runRecorded(
    port: LedgerPort,
    {customer}: CustomerCaller,
    key: string,
    send: () => Promise<BufferedResponse>,
  ): Promise<BufferedResponse> {
    let response: BufferedResponse;
    try {
      response = await send();
    } catch (err) {
      if (err instanceof RefusalError && err.verdict === 'notRun') {
        await port.command({customer, key, type: 'dropCall'});
      }
      throw err;
    }
    const now = this.context.clock.wallMs();
    await port.command({...response, customer, key, now, type: 'endCall'});
    return response;
  }
}
