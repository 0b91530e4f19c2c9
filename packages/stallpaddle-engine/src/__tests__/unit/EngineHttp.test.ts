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
  });

  /** An engine that answers twice: the second time late, when the next request may be under way. */
  async function serveTwice(lateMs: number): Promise<HttpEngine> {
    let number = 0;
    const listener: RequestListener = (req, res) => {
      const {socket} = req;
      const answer = `answer to ${String(req.headers['x-request-id'])}`;
      const isFirst = number++ === 0;
      setTimeout(() => res.end(answer), isFirst ? 0 : 4 * lateMs);
      if (isFirst) {
        const late = `HTTP/1.1 200 OK\r\nContent-Length: ${answer.length}\r\n\r\n${answer}`;
        setTimeout(() => socket.writable && socket.write(late), lateMs);
      }
    };
    return serve(listener);
  }

  test('hands nobody an answer that an engine gives a second time', async () => {
    for (const repeatable of [true, false]) {
      const engine = await serveTwice(30);
      const first = await send(engine, {attemptId: 'a1', repeatable});
      expect((await readBody(first.body)).toString()).toBe('answer to a1');
      const second = await send(engine, {attemptId: 'a2', repeatable});
      expect((await readBody(second.body)).toString()).toBe('answer to a2');
      server!.closeAllConnections();
      await new Promise((resolve) => server!.close(resolve));
    }
  });

  test('never takes an answer without a length for whole when its connection was reset', async () => {
    const engine = await serve((req, res) => {
      req.resume();
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
      res.write('x'.repeat(100));
      // Bytes and the reset wait together when the caller reads.
      setImmediate(() => req.socket.resetAndDestroy());
    });
    let whole = 0;
    for (let number = 0; number < 300; number++) {
      const outcome = await send(engine)
        .then(({body}) => readBody(body))
        .then(
          () => 1,
          () => 0,
        );
      whole += outcome;
    }
    expect(whole).toBe(0);
  }, 30_000);

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
    const gone = await serve((_req, res) => res.destroy());
    expect((await gone.order([], 1)).kind).toBe('unknown');
  });
});
