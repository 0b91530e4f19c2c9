/**
 * Simulated model engine with an HTTP interface, for demos and tests only.
 */
import type {EngineStandInSettings} from 'stallpaddle-settings';

import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {errorMessage, VERDICT_HEADER} from 'stallpaddle';
import {ATTEMPT_HEADER, LOAD_PATH, ORDERS_PATH, PRIORITY_HEADER} from 'stallpaddle-engine';
import {z} from 'zod';

import type {StandInStream} from './StandInScheduler';

import {
  answerWords,
  closeServer,
  errorBody,
  listen,
  readJson,
  sendJson,
  SSE_END,
  sseChunk,
} from './StandInHttp';
import {StandInScheduler} from './StandInScheduler';

/** Prompt text that the engine rejects with status 422. */
export const UNCOMPLETABLE_MARK = '[[uncompletable]]';
/** Prompt text at which the engine closes the connection without a response. */
export const CRASH_MARK = '[[crash]]';

const DEFAULT_TOKENS = 16;
const BATCH_PRIORITY = 10;

const chatSchema = z.object({
  max_tokens: z.int().min(1).optional(),
  messages: z.array(z.object({content: z.string(), role: z.string()})).min(1),
  model: z.string(),
  stream: z.boolean().optional(),
  stream_options: z.object({include_usage: z.boolean().optional()}).nullish(),
});

const orderSchema = z.object({fencing: z.number(), weights: z.array(z.string())});
const faultSchema = z.object({slowdown: z.number().min(1).optional()});

type ChatRequest = z.infer<typeof chatSchema>;

/**
 * Simulates a model engine: continuous batching, priorities, a prefix cache, delayed load reports, orders with optional
 * fencing, and faults on request.
 */
export class StandInEngine {
  private readonly executions = new Map<string, number>();
  private fencing = 0;
  private readonly loaded: Set<string>;
  private readonly loading = new Set<string>();
  private orders = 0;
  private readonly scheduler: StandInScheduler;
  private readonly server: Server;

  /**
   * @param settings address, capacity and timing of the engine
   */
  constructor(private readonly settings: EngineStandInSettings) {
    this.loaded = new Set(settings.loaded);
    this.scheduler = new StandInScheduler(settings);
    this.server = createServer((req, res) => {
      this.handle(req, res).catch((err: unknown) => {
        if (!res.headersSent) {
          sendJson(res, 400, errorBody(errorMessage(err)));
        } else {
          res.destroy();
        }
      });
    });
  }

  /** Starts the server. */
  async start(): Promise<void> {
    await listen(this.server, this.settings.listen);
  }

  /** Stops the server and closes all connections. */
  async stop(): Promise<void> {
    this.scheduler.stop();
    await closeServer(this.server);
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const route = `${req.method} ${req.url}`;
    switch (route) {
      case 'GET /executions':
        sendJson(res, 200, {executions: Object.fromEntries(this.executions), orders: this.orders});
        return;
      case `GET ${LOAD_PATH}`:
        sendJson(res, 200, {
          ...this.scheduler.laggedLoad(),
          loading: [...this.loading],
          weights: [...this.loaded],
        });
        return;
      case 'POST /faults':
        this.scheduler.slowdown = faultSchema.parse(await readJson(req)).slowdown ?? 1;
        sendJson(res, 200, {});
        return;
      case `POST ${ORDERS_PATH}`:
        this.order(orderSchema.parse(await readJson(req)), res);
        return;
      case 'POST /v1/chat/completions':
        await this.chat(chatSchema.parse(await readJson(req)), req, res);
        return;
      default:
        sendJson(res, 404, errorBody(`no route ${route}`));
    }
  }

  private order(order: z.infer<typeof orderSchema>, res: ServerResponse): void {
    if (this.settings.checksFencing && order.fencing < this.fencing) {
      sendJson(
        res,
        409,
        errorBody(`fencing number ${order.fencing} is older than ${this.fencing}`),
      );
      return;
    }
    this.fencing = Math.max(this.fencing, order.fencing);
    this.orders++;
    const target = new Set(order.weights);
    for (const weights of this.loaded) {
      if (!target.has(weights)) {
        this.loaded.delete(weights);
      }
    }
    for (const weights of target) {
      if (!this.loaded.has(weights) && !this.loading.has(weights)) {
        this.load(weights);
      }
    }
    sendJson(res, 200, {});
  }

  private load(weights: string): void {
    this.loading.add(weights);
    setTimeout(() => {
      this.loading.delete(weights);
      this.loaded.add(weights);
    }, this.settings.loadMs).unref();
  }

  private async chat(chat: ChatRequest, req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (!this.loaded.has(chat.model)) {
      res.setHeader(VERDICT_HEADER, 'notRun');
      res.setHeader('retry-after', '1');
      sendJson(res, 503, errorBody(`model ${chat.model} is not loaded`));
      return;
    }
    const prompt = chat.messages.map(({content}) => content).join('\n');
    const priority = Number(req.headers[PRIORITY_HEADER] ?? 0);
    const stream = this.scheduler.enqueue(prompt, priority >= BATCH_PRIORITY ? 'batch' : 'online');
    // A closed connection cancels the stream and frees its slot.
    res.on('close', () => stream.end());
    await stream.admitted;
    this.executions.set(prompt, (this.executions.get(prompt) ?? 0) + 1);
    if (prompt.includes(CRASH_MARK)) {
      res.destroy();
      return;
    }
    await stream.prefilled();
    if (prompt.includes(UNCOMPLETABLE_MARK)) {
      stream.end();
      sendJson(res, 422, errorBody('this prompt can never be completed'));
      return;
    }
    const words = answerWords(prompt, chat.max_tokens ?? DEFAULT_TOKENS);
    const id = String(req.headers[ATTEMPT_HEADER] ?? 'chatcmpl');
    await (chat.stream === true
      ? this.streamCompletion(chat, id, words, stream, res)
      : this.sendCompletion(chat, id, words, stream, res));
    stream.end();
  }

  private async sendCompletion(
    chat: ChatRequest,
    id: string,
    words: readonly string[],
    stream: StandInStream,
    res: ServerResponse,
  ): Promise<void> {
    for (let token = 0; token < words.length && !res.destroyed; token++) {
      await stream.token();
    }
    const message = {content: words.join(' '), refusal: null, role: 'assistant'};
    sendJson(res, 200, {
      choices: [{finish_reason: 'stop', index: 0, logprobs: null, message}],
      created: Math.floor(Date.now() / 1000),
      id,
      model: chat.model,
      object: 'chat.completion',
      usage: usageOf(chat, words),
    });
  }

  private async streamCompletion(
    chat: ChatRequest,
    id: string,
    words: readonly string[],
    stream: StandInStream,
    res: ServerResponse,
  ): Promise<void> {
    res.writeHead(200, {'cache-control': 'no-cache', 'content-type': 'text/event-stream'});
    for (const [index, word] of words.entries()) {
      await stream.token();
      if (res.destroyed) {
        return;
      }
      const content = index === 0 ? word : ` ${word}`;
      res.write(sseChunk(id, chat.model, {content, role: 'assistant'}, null));
    }
    res.write(sseChunk(id, chat.model, {}, 'stop'));
    if (chat.stream_options?.include_usage === true) {
      res.write(sseChunk(id, chat.model, undefined, null, usageOf(chat, words)));
    }
    res.end(SSE_END);
  }
}

function usageOf(chat: ChatRequest, words: readonly string[]): Readonly<Record<string, number>> {
  const promptTokens = chat.messages.reduce(
    (sum, {content}) => sum + content.split(/\s+/).length,
    0,
  );
  return {
    completion_tokens: words.length,
    prompt_tokens: promptTokens,
    total_tokens: promptTokens + words.length,
  };
}
