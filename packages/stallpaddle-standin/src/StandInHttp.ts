/**
 * HTTP helpers of the simulated backend servers.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import {hash32} from 'stallpaddle';

/** Final event of a stream. */
export const SSE_END = 'data: [DONE]\n\n';

/**
 * Starts a server.
 *
 * @param server the server
 * @param address host and port to listen on
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
 * Stops a server and closes all its connections.
 *
 * @param server the server
 */
export async function closeServer(server: Server): Promise<void> {
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
}

/**
 * Reads and parses the JSON body of a request.
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
 * @param body value to send as JSON
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
 * Builds an error body in the format of the OpenAI API.
 *
 * @param message error message
 */
export function errorBody(message: string): unknown {
  return {error: {code: null, message, param: null, type: 'invalid_request_error'}};
}

/**
 * Returns the words of the response to a prompt. They depend only on the prompt, so that a test can check that a response
 * belongs to its request.
 *
 * @param prompt the complete prompt
 * @param count number of words
 */
export function answerWords(prompt: string, count: number): readonly string[] {
  const seed = hash32(prompt).toString(16);
  return Array.from({length: count}, (_, index) => `${seed}-${index}`);
}

/**
 * Builds one event of a streamed response.
 *
 * @param id id of the response
 * @param model name of the model
 * @param delta new content, or undefined for an event without a choice
 * @param finishReason reason why the response ends, or null
 * @param usage token counts, in the last event
 */
export function sseChunk(
  id: string,
  model: string,
  delta: unknown,
  finishReason: string | null,
  usage?: unknown,
): string {
  const chunk = {
    choices: delta === undefined ? [] : [{delta, finish_reason: finishReason, index: 0}],
    created: Math.floor(Date.now() / 1000),
    id,
    model,
    object: 'chat.completion.chunk',
    ...(usage === undefined ? {} : {usage}),
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}
