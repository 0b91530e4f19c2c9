/**
 * Chat completions, buffered and streamed.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {refuse} from 'stallpaddle';
import {resolveModel} from 'stallpaddle-control';
import {z} from 'zod';

import type {CustomerCaller} from './GatewayAuth';
import type {GatewayContext} from './GatewayContext';
import type {GatewayOnlineForwarder, OnlineRequest} from './GatewayOnlineForwarder';

import {callerSignal, isRepeatable, parseBody, readRequestBody, writeChunk} from './GatewayHttp';
import {GatewayIdempotency} from './GatewayIdempotency';
import {recordMs} from './GatewayMetrics';

/** Path of chat completions, at the gateway and at engines. */
export const CHAT_PATH = '/v1/chat/completions';

/** Leading characters of the first message that select engines likely to have the prompt's prefix cached. */
const AFFINITY_CHARACTERS = 256;

const chatSchema = z.looseObject({
  messages: z.array(z.looseObject({role: z.string()})).min(1),
  model: z.string().min(1),
  stream: z.boolean().nullish(),
});

type Chat = z.infer<typeof chatSchema>;

function affinityOf(customer: string, chat: Chat): string {
  const head = JSON.stringify(chat.messages[0]).slice(0, AFFINITY_CHARACTERS);
  return `${customer}\u0000${chat.model}\u0000${head}`;
}

/** Validates chat completion requests and forwards them to engines. */
export class GatewayChat {
  private readonly idempotency: GatewayIdempotency;

  /**
   * @param context state and services of the VM
   * @param online forwards requests to engines
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly online: GatewayOnlineForwarder,
  ) {
    this.idempotency = new GatewayIdempotency(context);
  }

  /**
   * Forwards one request and sends the response.
   *
   * @param caller the customer
   * @param req the request
   * @param res the response
   */
  async handle(caller: CustomerCaller, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const startedAt = this.context.clock.monotonicMs();
    const {limits} = this.context;
    const body = await readRequestBody(req, limits.bodyBytes, limits.sendMs);
    const chat = parseBody(body, chatSchema);
    const model = resolveModel(this.context.config(), chat.model);
    if (model === undefined) {
      throw refuse('modelNotFound', `no model ${chat.model}`, {path: 'model'});
    }
    const repeatable = isRepeatable(req, true);
    this.online.admit(caller);
    const request: OnlineRequest = {
      affinity: affinityOf(caller.customer, chat),
      body: Buffer.from(JSON.stringify({...chat, model: model.weights})),
      caller,
      model,
      path: CHAT_PATH,
      repeatable,
    };
    const signal = callerSignal(res);
    if (!repeatable) {
      await this.idempotency.handle(caller, req, body, res, () =>
        this.online.sendBuffered(request, signal),
      );
      return;
    }
    await (chat.stream === true
      ? this.sendStreamed(request, signal, res, startedAt)
      : this.sendBuffered(request, signal, res, startedAt));
  }

  private async sendBuffered(
    request: OnlineRequest,
    signal: AbortSignal,
    res: ServerResponse,
    startedAt: number,
  ): Promise<void> {
    const {body, contentType, status} = await this.online.sendBuffered(request, signal);
    recordMs(this.context.metrics.firstByte, this.context.clock.monotonicMs() - startedAt);
    res.writeHead(status, {'content-length': body.length, 'content-type': contentType});
    res.end(body);
  }

  private async sendStreamed(
    request: OnlineRequest,
    signal: AbortSignal,
    res: ServerResponse,
    startedAt: number,
  ): Promise<void> {
    const response = await this.online.send(request, signal);
    const {clock, metrics} = this.context;
    let chunks = 0;
    let firstAt = 0;
    try {
      for await (const chunk of response.body) {
        if (chunks === 0) {
          firstAt = clock.monotonicMs();
          recordMs(metrics.firstByte, firstAt - startedAt);
          res.writeHead(response.status, {
            'cache-control': 'no-cache',
            'content-type': response.contentType,
          });
        }
        chunks++;
        await writeChunk(res, chunk);
      }
    } catch (err) {
      response.finish(signal.aborted ? 'cancelled' : 'failed', 0);
      throw err;
    }
    const tokenMs = chunks > 1 ? (clock.monotonicMs() - firstAt) / (chunks - 1) : 0;
    response.finish('succeeded', tokenMs);
    if (chunks === 0) {
      res.writeHead(response.status, {'content-type': response.contentType});
    }
    res.end();
  }
}
