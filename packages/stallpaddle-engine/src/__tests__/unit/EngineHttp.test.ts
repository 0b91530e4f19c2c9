/**
 * Guards against wrong verdicts, truncated responses and responses to other requests, over real sockets.
 */
import type {AddressInfo} from 'node:net';

import {createServer, type RequestListener, type Server} from 'node:http';
import {delay, VERDICT_HEADER} from 'stallpaddle';
import {CutEngine, type CutKind} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

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

  // Guards against an empty response that looks complete: the engine stopped within its head.
  test.each<CutKind>(['end', 'reset'])('fails when the head is cut short by %s', async (kind) => {
    const head = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 8\r\n\r\n';
    let length = 0;
    const cut = await CutEngine.start(() => head.slice(0, length), kind);
    const engine = new HttpEngine(HOST, Number(cut.address.split(':')[1]));
    for (; length < head.length; length++) {
      await expect(send(engine)).rejects.toMatchObject({verdict: 'mayHaveRun'});
    }
    cut.stop();
  });

  // Guards against a status that no response to a caller can have.
  test.each(['000', '099', '101', '600', '999'])('fails after the status %s', async (status) => {
    const response = `HTTP/1.1 ${status} Odd\r\ncontent-length: 4\r\n\r\nbody`;
    const odd = await CutEngine.start(() => response, 'end');
    const engine = new HttpEngine(HOST, Number(odd.address.split(':')[1]));
    await expect(send(engine)).rejects.toMatchObject({verdict: 'mayHaveRun'});
    odd.stop();
  });

  // Guards against a connection that is read for ever because the body of a refusal has no end.
  test('closes the connection of a refusal', async () => {
    let isOpen = true;
    const engine = await serve((_, res) => {
      res.on('close', () => (isOpen = false));
      res.writeHead(503, {[VERDICT_HEADER]: 'notRun'});
      const flood = (): void => void (isOpen && res.write('x'.repeat(1_000), () => flood()));
      flood();
    });
    await expect(send(engine)).rejects.toMatchObject({verdict: 'notRun'});
    await delay(100);
    expect(isOpen).toBe(false);
  });

  test('sends attempt id, priority and timeout, and returns the complete response', async () => {
    const engine = await serve((req, res) => res.end(JSON.stringify(req.headers)));
    const response = await send(engine);
    const headers = JSON.parse((await readBody(response.body)).toString()) as Record<
      string,
      string
    >;
    expect(headers).toMatchObject({
      'x-priority': '10',
      'x-request-id': 'a1',
      'x-timeout-ms': '1000',
    });
  });

  test('reports notRun when the connection is refused', async () => {
    const engine = await serve(() => {});
    await new Promise((resolve) => server!.close(resolve));
    await expect(send(engine)).rejects.toMatchObject({verdict: 'notRun'});
  });

  test('reports mayHaveRun when the connection closes before the response', async () => {
    const engine = await serve((_req, res) => res.destroy());
    await expect(send(engine)).rejects.toMatchObject({verdict: 'mayHaveRun'});
  });

  test('accepts a refusal only with a verdict', async () => {
    const engine = await serve((req, res) => {
      const hasVerdict = req.url === '/honest';
      res.writeHead(503, hasVerdict ? {'retry-after': '2', 'x-stallpaddle-verdict': 'notRun'} : {});
      res.end('busy');
    });
    await expect(send(engine, {path: '/honest'})).rejects.toMatchObject({
      retryAfterMs: 2000,
      verdict: 'notRun',
    });
    expect((await send(engine, {path: '/plain'})).status).toBe(503);
  });

  /** Serves an engine that sends a second response to its first request while the next request may be in flight. */
  async function serveDuplicate(lateMs: number): Promise<HttpEngine> {
    let number = 0;
    const listener: RequestListener = (req, res) => {
      const {socket} = req;
      const text = `answer to ${String(req.headers['x-request-id'])}`;
      const isFirst = number++ === 0;
      setTimeout(() => res.end(text), isFirst ? 0 : 4 * lateMs);
      if (isFirst) {
        const late = `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
        setTimeout(() => socket.writable && socket.write(late), lateMs);
      }
    };
    return serve(listener);
  }

  test('never returns a duplicate response to another request', async () => {
    for (const repeatable of [true, false]) {
      const engine = await serveDuplicate(30);
      const first = await send(engine, {attemptId: 'a1', repeatable});
      expect((await readBody(first.body)).toString()).toBe('answer to a1');
      const second = await send(engine, {attemptId: 'a2', repeatable});
      expect((await readBody(second.body)).toString()).toBe('answer to a2');
      server!.closeAllConnections();
      await new Promise((resolve) => server!.close(resolve));
    }
  });

  test('never treats a response without a length as complete after a connection reset', async () => {
    const engine = await serve((req, res) => {
      req.resume();
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
      res.write('x'.repeat(100));
      // The data and the reset are both pending when the client reads.
      setImmediate(() => req.socket.resetAndDestroy());
    });
    let complete = 0;
    for (let number = 0; number < 300; number++) {
      const outcome = await send(engine)
        .then(({body}) => readBody(body))
        .then(
          () => 1,
          () => 0,
        );
      complete += outcome;
    }
    expect(complete).toBe(0);
  }, 30_000);

  test('never treats a truncated response as complete', async () => {
    const engine = await serve((_req, res) => {
      res.write('half');
      setTimeout(() => res.destroy(), 20);
    });
    const response = await send(engine);
    await expect(readBody(response.body)).rejects.toMatchObject({verdict: 'mayHaveRun'});
  });

  test('distinguishes an order with an old fencing token from one that was lost', async () => {
    const engine = await serve((_req, res) => res.writeHead(409).end());
    expect(await engine.order([], 1)).toEqual({kind: 'oldFencing'});
    const gone = await serve((_req, res) => res.destroy());
    expect((await gone.order([], 1)).kind).toBe('unknown');
  });
});
