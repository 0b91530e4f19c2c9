/** Guards against links that don't delay, drop or reset as told, so that a soak would test less than it reports. */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {delay} from 'stallpaddle';
import {afterEach, describe, expect, test} from 'vitest';

import {SoakLink} from '../../SoakLink';

const HOST = '127.0.61.1';
const undo: (() => void)[] = [];

afterEach(() => undo.splice(0).forEach((step) => step()));

/** Starts an echo server behind a link, and a client. */
async function openEcho(): Promise<{
  received: string[];
  link: SoakLink;
  client: Socket;
  echoed: string[];
}> {
  const received: string[] = [];
  const server: Server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      received.push(bytes.toString());
      socket.write(bytes);
    });
  });
  await new Promise<void>((resolve) => server.listen(19_231, HOST, resolve));
  const link = await SoakLink.open({host: HOST, port: 19_230, target: 19_231});
  const client = connect(19_230, HOST);
  const echoed: string[] = [];
  client.on('data', (bytes) => echoed.push(bytes.toString()));
  client.on('error', (err) => echoed.push(err.message));
  undo.push(() => {
    client.destroy();
    link.close();
    server.close();
  });
  await new Promise((resolve) => client.once('connect', resolve));
  return {client, echoed, link, received};
}

describe('SoakLink', () => {
  test('forwards bytes, with a delay when one is set', async () => {
    const {client, echoed, link} = await openEcho();
    client.write('a');
    await delay(100);
    expect(echoed).toEqual(['a']);
    link.delayMs = 150;
    client.write('b');
    await delay(100);
    expect(echoed).toEqual(['a']);
    await delay(400);
    expect(echoed).toEqual(['a', 'b']);
  });

  test('drops requests or responses and closes nothing', async () => {
    const {client, echoed, link, received} = await openEcho();
    link.dropsRequests = true;
    client.write('a');
    await delay(100);
    expect([received, echoed]).toEqual([[], []]);
    link.dropsRequests = false;
    link.dropsResponses = true;
    client.write('b');
    await delay(100);
    expect([received, echoed]).toEqual([['b'], []]);
    expect(client.destroyed).toBe(false);
  });

  test('resets connections', async () => {
    const {echoed, link} = await openEcho();
    link.reset();
    await delay(100);
    expect(echoed).toEqual(['read ECONNRESET']);
  });
});
