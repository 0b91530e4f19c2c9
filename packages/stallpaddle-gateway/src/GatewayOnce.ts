/**
 * Requests that must run at most once: with a key, the start is on record before anything is sent,
 * and a resend gets the first one's answer.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CallRecord, LedgerPort} from 'stallpaddle-ledger';

import {generateId, RefusalError, refuse} from 'stallpaddle';

import type {CustomerCaller} from './GatewayAuth';
import type {GatewayContext} from './GatewayContext';
import type {WholeAnswer} from './GatewayOnline';

import {sha256} from './GatewayAuth';
import {idempotencyKey} from './GatewayHttp';

function sendStored(res: ServerResponse, {body, contentType, status}: WholeAnswer): void {
  res.writeHead(status, {'content-length': body.length, 'content-type': contentType});
  res.end(body);
}

/** Keeps non-repeatable requests from running twice. */
export class GatewayOnce {
  /**
   * @param context the VM
   */
  constructor(private readonly context: GatewayContext) {}

  /**
   * Answers a request that must not be repeated.
   *
   * @param caller who asks
   * @param req the request; its key tells a resend
   * @param content what is compared between resends
   * @param res the response
   * @param send sends it to a backend server; only `notRun` failures may be tried again in there
   */
  async answer(
    caller: CustomerCaller,
    req: IncomingMessage,
    content: Uint8Array,
    res: ServerResponse,
    send: () => Promise<WholeAnswer>,
  ): Promise<void> {
    const key = idempotencyKey(req);
    if (key === null) {
      sendStored(res, await send());
      return;
    }
    const port = this.context.ledger.forCustomer(caller.customer);
    const hash = sha256(`${req.method} ${req.url}\n${Buffer.from(content).toString('base64')}`);
    const known = await this.start(port, caller, key, hash);
    if (known !== undefined) {
      sendStored(res, await this.storedAnswer(port, known));
      return;
    }
    sendStored(res, await this.runRecorded(port, caller, key, send));
  }

  private async start(
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
        throw refuse('internal', 'the ledger gave an answer of another kind');
    }
  }

  private async storedAnswer(port: LedgerPort, call: CallRecord): Promise<WholeAnswer> {
    if (call.kind === 'started') {
      throw new RefusalError(
        'conflict',
        'mayHaveRun',
        'the request was started before and its end is not known; it is not run again',
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
    send: () => Promise<WholeAnswer>,
  ): Promise<WholeAnswer> {
    let stored: WholeAnswer;
    try {
      stored = await send();
    } catch (err) {
      if (err instanceof RefusalError && err.verdict === 'notRun') {
        await port.command({customer, key, type: 'dropCall'});
      }
      throw err;
    }
    const now = this.context.clock.wallMs();
    await port.command({...stored, customer, key, now, type: 'endCall'});
    return stored;
  }
}
