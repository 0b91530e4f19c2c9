/**
 * HTTP helpers of the stand-ins.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import {hash32} from 'stallpaddle';

/** Last event of a stream. */
export const SSE_END = 'data: [DONE]\n\n';

/**
 * Starts to listen.
 *
 * @param server the server
 * @param address where
 */
export async function listen(
  server: Server,
  {host, port}: {readonly host: string; readonly port: number},
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

/**
 * Ends a server with all its connections.
 *
 * @param server the server
 */
export async function closeServer(server: Server): Promise<void> {
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
}

/**
 * Reads a request's JSON body.
 *
 * @param req the request
 */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) {
    chunks.push(chunk as Buffer);
  }
  return JSON.parse(Buffer.concat(chunks).toString());
}

/**
 * Sends a JSON body.
 *
 * @param res the response
 * @param status HTTP status
 * @param body plain data
 */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-length': Buffer.byteLength(text),
    'content-type': 'application/json',
  });
  res.end(text);
}

/**
 * Error body in the form that OpenAI clients expect.
 *
 * @param message one sentence
 */
export function errorBody(message: string): unknown {
  return {error: {code: null, message, param: null, type: 'invalid_request_error'}};
}

/**
 * Words that answer a prompt; the same prompt always gets the same ones, so that a test can tell
 * whose answer it holds.
 *
 * @param prompt the whole prompt
 * @param count number of words
 */
export function answerWords(prompt: string, count: number): readonly string[] {
  const seed = hash32(prompt).toString(16);
  return Array.from({length: count}, (_, index) => `${seed}-${index}`);
}

/**
 * One event of a streamed answer.
 *
 * @param id answer's id
 * @param model model that answers
 * @param delta what is new, or undefined for an event without a choice
 * @param finish why the answer ends, or null
 * @param usage token counts, in the last event
 */
export function sseChunk(
  id: string,
  model: string,
  delta: unknown,
  finish: string | null,
  usage?: unknown,
): string {
  const chunk = {
    choices: delta === undefined ? [] : [{delta, finish_reason: finish, index: 0}],
    created: Math.floor(Date.now() / 1000),
    id,
    model,
    object: 'chat.completion.chunk',
    ...(usage === undefined ? {} : {usage}),
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}
