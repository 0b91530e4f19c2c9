import type {AddressInfo} from 'node:net';

import {createServer, type RequestListener, type Server} from 'node:http';
import {afterEach, describe, expect, test} from 'vitest';

/**
 * The HTTP adapter against real sockets: what each failure says of the request.
 */
import type {BackendRequest} from '../../EngineAdapter';

import {HttpEngine, readBody} from '../../EngineHttp';

const HOST = '127.0.0.1';

function request(changes: Partial<BackendRequest> = {}): BackendRequest {
  return {
    attemptId: 'a1',
    body: Buffer.from('{}'),
    contentType: 'application/json',
    method: 'POST',
    path: '/',
    repeatable: true,
    timeoutMs: 1000,
    work: 'batch',
    ...changes,
  };
}

describe('HttpEngine', () => {
  let server: Server | undefined;

  async function serve(listener: RequestListener): Promise<HttpEngine> {
    server = createServer(listener);
    await new Promise<void>((resolve) => server!.listen(0, HOST, resolve));
    return new HttpEngine(HOST, (server.address() as AddressInfo).port);
  }

  afterEach(async () => {
    server?.closeAllConnections();
    await new Promise((resolve) => (server === undefined ? resolve(null) : server.close(resolve)));
    server = undefined;
  });

  const send = (engine: HttpEngine, changes: Partial<BackendRequest> = {}) =>
    engine.generate(request(changes), new AbortController().signal);

  test('sends attempt, priority and time, and returns the whole answer', async () => {
    const engine = await serve((req, res) => res.end(JSON.stringify(req.headers)));
    const answer = await send(engine);
    const headers = JSON.parse((await readBody(answer.body)).toString()) as Record<string, string>;
    expect(headers).toMatchObject({
      'x-priority': '10',
      'x-request-id': 'a1',
      'x-timeout-ms': '1000',
    });
    engine.close();
  });

  test('says notRun when nothing listens', async () => {
    const engine = await serve(() => {});
    await new Promise((resolve) => server!.close(resolve));
    await expect(send(engine)).rejects.toMatchObject({verdict: 'notRun'});
  });

  test('says mayHaveRun when the connection goes before the answer', async () => {
    const engine = await serve((_req, res) => res.destroy());
    await expect(send(engine)).rejects.toMatchObject({verdict: 'mayHaveRun'});
  });

  test('believes a refusal only with the verdict', async () => {
    const engine = await serve((req, res) => {
      const honest = req.url === '/honest';
      res.writeHead(503, honest ? {'retry-after': '2', 'x-stallpaddle-verdict': 'notRun'} : {});
      res.end('busy');
    });
    await expect(send(engine, {path: '/honest'})).rejects.toMatchObject({
      retryAfterMs: 2000,
      verdict: 'notRun',
    });
    expect((await send(engine, {path: '/plain'})).status).toBe(503);
    engine.close();
  });

  test('never takes a part of an answer for the whole', async () => {
    const engine = await serve((_req, res) => {
      res.write('half');
      setTimeout(() => res.destroy(), 20);
    });
    const answer = await send(engine);
    await expect(readBody(answer.body)).rejects.toMatchObject({verdict: 'mayHaveRun'});
  });

  test('tells an order that was refused for its number from one that got lost', async () => {
    const engine = await serve((_req, res) => res.writeHead(409).end());
    expect(await engine.order([], 1)).toEqual({kind: 'oldFencing'});
    engine.close();
    const gone = await serve((_req, res) => res.destroy());
    expect((await gone.order([], 1)).kind).toBe('unknown');
  });
});
