/**
 * Chat completions, whole and streamed.
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

/** Path of chat completions, here and at engines. */
export const CHAT_PATH = '/v1/chat/completions';

/** Characters of the prompt that decide which engine's cache may hold its prefix. */
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

/** Answers chat completions. */
export class GatewayChat {
  private readonly once: GatewayIdempotency;

  /**
   * @param context the VM
   * @param online carries requests to engines
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly online: GatewayOnlineForwarder,
  ) {
    this.once = new GatewayIdempotency(context);
  }

  /**
   * Answers one request.
   *
   * @param caller who asks
   * @param req the request
   * @param res the response
   */
  async answer(caller: CustomerCaller, req: IncomingMessage, res: ServerResponse): Promise<void> {
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
      await this.once.answer(caller, req, body, res, () => this.online.sendWhole(request, signal));
      return;
    }
    await (chat.stream === true
      ? this.answerStreamed(request, signal, res, startedAt)
      : this.answerWhole(request, signal, res, startedAt));
  }

  private async answerWhole(
    request: OnlineRequest,
    signal: AbortSignal,
    res: ServerResponse,
    startedAt: number,
  ): Promise<void> {
    const {body, contentType, status} = await this.online.sendWhole(request, signal);
    recordMs(this.context.metrics.firstByte, this.context.clock.monotonicMs() - startedAt);
    res.writeHead(status, {'content-length': body.length, 'content-type': contentType});
    res.end(body);
  }

  private async answerStreamed(
    request: OnlineRequest,
    signal: AbortSignal,
    res: ServerResponse,
    startedAt: number,
  ): Promise<void> {
    const answer = await this.online.send(request, signal);
    const {clock, metrics} = this.context;
    let chunks = 0;
    let firstAt = 0;
    try {
      for await (const chunk of answer.body) {
        if (chunks === 0) {
          firstAt = clock.monotonicMs();
          recordMs(metrics.firstByte, firstAt - startedAt);
          res.writeHead(answer.status, {
            'cache-control': 'no-cache',
            'content-type': answer.contentType,
          });
        }
        chunks++;
        await writeChunk(res, chunk);
      }
    } catch (err) {
      answer.ended(signal.aborted ? 'cancelled' : 'failed', 0);
      throw err;
    }
    const tokenMs = chunks > 1 ? (clock.monotonicMs() - firstAt) / (chunks - 1) : 0;
    answer.ended('succeeded', tokenMs);
    if (chunks === 0) {
      res.writeHead(answer.status, {'content-type': answer.contentType});
    }
    res.end();
  }
}
