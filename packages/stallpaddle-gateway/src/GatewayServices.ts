/**
 * Calls to plain services, under `/services/NAME/`.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Verdict} from 'stallpaddle';
import type {PlainServer} from 'stallpaddle-control';
import type {BackendAnswer} from 'stallpaddle-engine';

import {
  errorMessage,
  generateId,
  joinVerdicts,
  RefusalError,
  refuse,
  startDeadline,
} from 'stallpaddle';
import {BackendError, readBody} from 'stallpaddle-engine';

import type {CustomerCaller} from './GatewayAuth';
import type {GatewayContext} from './GatewayContext';
import type {GatewayOnline, WholeAnswer} from './GatewayOnline';

import {callerSignal, isRepeatable, readRequestBody, writeChunk} from './GatewayHttp';
import {GatewayOnce} from './GatewayOnce';

/** Path prefix of plain services. */
export const SERVICES_PREFIX = '/services/';

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);
const MAX_ANSWER_BYTES = 33_554_432;

async function readWhole(answer: BackendAnswer): Promise<WholeAnswer> {
  try {
    const body = await readBody(answer.body, MAX_ANSWER_BYTES);
    return {body, contentType: answer.contentType, status: answer.status};
  } catch (err) {
    throw new RefusalError('engineFailed', 'mayHaveRun', errorMessage(err));
  }
}

/** Answers calls to plain services. */
export class GatewayServices {
  private readonly once: GatewayOnce;
  private turn = 0;

  /**
   * @param context the VM
   * @param online holds the customers' limits
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly online: GatewayOnline,
  ) {
    this.once = new GatewayOnce(context);
  }

  /**
   * Answers one call.
   *
   * @param caller who asks
   * @param req the request
   * @param res the response
   */
  async answer(caller: CustomerCaller, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {limits} = this.context;
    const [name = '', ...rest] = (req.url ?? '').slice(SERVICES_PREFIX.length).split('/');
    const service = this.context.config().services.get(name);
    if (service?.kind !== 'plain') {
      throw refuse('notFound', `no plain service ${name}`);
    }
    const body = await readRequestBody(req, limits.bodyBytes, limits.sendMs);
    const byDefault = service.repeatable || SAFE_METHODS.has(req.method ?? '');
    const repeatable = isRepeatable(req, byDefault);
    this.online.admit(caller);
    const deadline = startDeadline(limits.requestMs, callerSignal(res));
    res.on('close', deadline.dispose);
    const {signal} = deadline;
    const path = `/${rest.join('/')}`;
    const send = (): Promise<BackendAnswer> =>
      this.send(service.servers, req, path, body, repeatable, signal);
    if (!repeatable) {
      await this.once.answer(caller, req, body, res, async () => readWhole(await send()));
      return;
    }
    const answer = await send();
    res.writeHead(answer.status, {'content-type': answer.contentType});
    for await (const chunk of answer.body) {
      await writeChunk(res, chunk);
    }
    res.end();
  }

  /** Tries the servers in turn; goes on to the next one only when nothing can have run twice. */
  private async send(
    servers: readonly PlainServer[],
    req: IncomingMessage,
    path: string,
    body: Uint8Array,
    repeatable: boolean,
    signal: AbortSignal,
  ): Promise<BackendAnswer> {
    const first = this.turn++;
    let verdict: Verdict = 'notRun';
    for (let attempt = 0; ; attempt++) {
      const server = servers[(first + attempt) % servers.length]!;
      try {
        return await this.context.plainAdapterOf(server).generate(
          {
            attemptId: generateId('call'),
            body,
            contentType: req.headers['content-type'] ?? 'application/octet-stream',
            method: req.method ?? 'GET',
            path,
            repeatable,
            timeoutMs: this.context.limits.requestMs,
            work: 'online',
          },
          signal,
        );
      } catch (err) {
        const failure = err instanceof BackendError ? err.verdict : 'mayHaveRun';
        verdict = joinVerdicts(verdict, failure);
        const mayGoOn = failure === 'notRun' || repeatable;
        if (!mayGoOn || attempt + 1 >= servers.length || signal.aborted) {
          const code = verdict === 'notRun' ? 'unavailable' : 'engineFailed';
          throw new RefusalError(code, verdict, errorMessage(err), {retryAfterMs: 1000});
        }
      }
    }
  }
}
