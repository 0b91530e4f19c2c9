/** Closing a server: what happens to responses in progress and to open connections. */
import type {AddressInfo, Socket} from 'node:net';

import {Agent, createServer, get, type RequestListener} from 'node:http';
import {connect} from 'node:net';
import {delay, DrainableServer} from 'stallpaddle';
import {afterEach, describe, expect, test} from 'vitest';

/** Size of a response that exceeds the buffers of a connection, in bytes. */
const LARGE = 16_000_000;
/** Time in which bytes arrive on a loopback connection, in milliseconds. */
const ARRIVAL_MS = 100;
/** Time limit for a connection to be closed, in milliseconds. */
const CLOSE_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_MS = 60_000;

const cleanups: (() => void)[] = [];

afterEach(() => cleanups.splice(0).forEach((step) => step()));

async function startServer(handler: RequestListener) {
  const server = createServer({keepAliveTimeout: KEEP_ALIVE_MS}, handler);
  const drainable = new DrainableServer(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanups.push(() => server.closeAllConnections());
  return {drainable, port: (server.address() as AddressInfo).port};
}

/** A connection that has sent a request and reads nothing yet. */
function openConnection(port: number, path = '/'): Socket {
  const socket = connect(port, '127.0.0.1').pause();
  socket.on('error', () => {});
  socket.write(`GET ${path} HTTP/1.1\r\nhost: h\r\n\r\n`);
  cleanups.push(() => socket.destroy());
  return socket;
}

/** Reads a connection until it is closed; resolves with what it brought. */
function readToEnd(socket: Socket): Promise<string> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error('still open')), CLOSE_TIMEOUT_MS);
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
    });
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(text);
    });
    socket.resume();
  });
}

describe('DrainableServer', () => {
  // Guards against results that are cut off for a slow reader when their VM stops.
  test('a response that has ended is sent in full, also beside idle connections', async () => {
    const {drainable, port} = await startServer((req, res) => {
      res.end(req.url === '/large' ? 'x'.repeat(LARGE) : 'y');
    });
    const slow = openConnection(port, '/large');
    const idle = openConnection(port);
    await delay(ARRIVAL_MS);
    drainable.close();
    expect(drainable.unsentResponses).toBe(1);
    await delay(ARRIVAL_MS);
    const text = await readToEnd(slow);
    expect(text.length - text.indexOf('\r\n\r\n') - 4).toBe(LARGE);
    expect(await readToEnd(idle)).toContain('y');
    expect(drainable.unsentResponses).toBe(0);
  });

  // Guards against clients that go on with a process that has stopped, on a connection that was busy at its stop.
  test('the response in progress is the last one of its connection', async () => {
    const {drainable, port} = await startServer((_, res) => {
      setTimeout(() => res.end(), 2 * ARRIVAL_MS);
    });
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    cleanups.push(() => agent.destroy());
    const request = (): Promise<string | undefined> =>
      new Promise((resolve) => {
        const req = get({agent, host: '127.0.0.1', port}, (res) => {
          res.resume().on('end', () => resolve(res.headers.connection));
        });
        req.on('error', (err: NodeJS.ErrnoException) => resolve(err.code));
      });
    const last = request();
    await delay(ARRIVAL_MS);
    drainable.close();
    expect(await last).toBe('close');
    expect(await request()).toBe('ECONNREFUSED');
  });

  test('a stream that has begun ends as usual, then its connection is closed', async () => {
    const {drainable, port} = await startServer((_, res) => {
      res.write('begin ');
      setTimeout(() => res.end('end'), 2 * ARRIVAL_MS);
    });
    const stream = openConnection(port);
    await delay(ARRIVAL_MS);
    drainable.close();
    const text = await readToEnd(stream);
    expect(text).toContain('begin');
    expect(text).toContain('end\r\n0\r\n\r\n');
  });

  test('idle connections are closed at once, and a second call does nothing', async () => {
    const {drainable, port} = await startServer((_, res) => res.end('y'));
    const idle = openConnection(port);
    await delay(ARRIVAL_MS);
    drainable.close();
    drainable.close();
    expect(await readToEnd(idle)).toContain('y');
  });
});
