/**
 * Calls to plain services, under `/services/NAME/`.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Verdict} from 'stallpaddle';
import type {PlainServer} from 'stallpaddle-control';
import type {BackendResponse} from 'stallpaddle-engine';

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
import type {BufferedResponse, GatewayOnlineForwarder} from './GatewayOnlineForwarder';

import {callerSignal, isRepeatable, readRequestBody, writeChunk} from './GatewayHttp';
import {GatewayIdempotency} from './GatewayIdempotency';

/** Path prefix of plain services. */
export const SERVICES_PREFIX = '/services/';

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);
const MAX_RESPONSE_BYTES = 33_554_432;

async function bufferResponse(response: BackendResponse): Promise<BufferedResponse> {
  try {
    const body = await readBody(response.body, MAX_RESPONSE_BYTES);
    return {body, contentType: response.contentType, status: response.status};
  } catch (err) {
    throw new RefusalError('engineFailed', 'mayHaveRun', errorMessage(err));
  }
}

/** Forwards calls of plain services to their backend servers. */
export class GatewayServices {
  private readonly idempotency: GatewayIdempotency;
  private nextServer = 0;

  /**
   * @param context state and services of the VM
   * @param online enforces the customers' rate limits
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly online: GatewayOnlineForwarder,
  ) {
    this.idempotency = new GatewayIdempotency(context);
  }

  /**
   * Forwards one call and sends the response.
   *
   * @param caller the customer
   * @param req the request
   * @param res the response
   */
  async handle(caller: CustomerCaller, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {limits} = this.context;
    const [name = '', ...rest] = (req.url ?? '').slice(SERVICES_PREFIX.length).split('/');
    const service = this.context.config().services.get(name);
    if (service?.kind !== 'plain') {
      throw refuse('notFound', `no plain service ${name}`);
    }
    const body = await readRequestBody(req, limits.bodyBytes, limits.sendMs);
    const repeatableByDefault = service.repeatable || SAFE_METHODS.has(req.method ?? '');
    const repeatable = isRepeatable(req, repeatableByDefault);
    this.online.admit(caller);
    const deadline = startDeadline(limits.requestMs, callerSignal(res));
    res.on('close', deadline.dispose);
    const {signal} = deadline;
    const path = `/${rest.join('/')}`;
    const send = (): Promise<BackendResponse> =>
      this.send(service.servers, req, path, body, repeatable, signal);
    if (!repeatable) {
      await this.idempotency.handle(caller, req, body, res, async () =>
        bufferResponse(await send()),
      );
      return;
    }
    const response = await send();
    res.writeHead(response.status, {'content-type': response.contentType});
    for await (const chunk of response.body) {
      await writeChunk(res, chunk);
    }
    res.end();
  }

  /** Tries the servers in round-robin order. Only a call that is repeatable or did not run goes to another server. */
  private async send(
    servers: readonly PlainServer[],
    req: IncomingMessage,
    path: string,
    body: Uint8Array,
    repeatable: boolean,
    signal: AbortSignal,
  ): Promise<BackendResponse> {
    const first = this.nextServer++;
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
        const mayRetry = failure === 'notRun' || repeatable;
        if (!mayRetry || attempt + 1 >= servers.length || signal.aborted) {
          const code = verdict === 'notRun' ? 'unavailable' : 'engineFailed';
          throw new RefusalError(code, verdict, errorMessage(err), {retryAfterMs: 1000});
        }
      }
    }
  }
}
