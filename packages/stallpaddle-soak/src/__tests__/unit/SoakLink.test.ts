/**
 * A link passes bytes on, loses them one way or both, and resets.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {delay} from 'stallpaddle';
import {afterEach, describe, expect, test} from 'vitest';

import {SoakLink} from '../../SoakLink';

const HOST = '127.0.61.1';
const undo: (() => void)[] = [];

afterEach(() => undo.splice(0).forEach((step) => step()));

/** A server that says again what it hears, behind a link. */
async function openEcho(): Promise<{
  heard: string[];
  link: SoakLink;
  near: Socket;
  said: string[];
}> {
  const heard: string[] = [];
  const server: Server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      heard.push(bytes.toString());
      socket.write(bytes);
    });
  });
  await new Promise<void>((resolve) => server.listen(19_231, HOST, resolve));
  const link = await SoakLink.open({host: HOST, port: 19_230, target: 19_231});
  const near = connect(19_230, HOST);
  const said: string[] = [];
  near.on('data', (bytes) => said.push(bytes.toString()));
  near.on('error', (err) => said.push(err.message));
  undo.push(() => {
    near.destroy();
    link.close();
    server.close();
  });
  await new Promise((resolve) => near.once('connect', resolve));
  return {heard, link, near, said};
}

describe('SoakLink', () => {
  test('passes bytes on, late when it is told to', async () => {
    const {link, near, said} = await openEcho();
    near.write('a');
    await delay(100);
    expect(said).toEqual(['a']);
    link.delayMs = 150;
    near.write('b');
    await delay(100);
    expect(said).toEqual(['a']);
    await delay(400);
    expect(said).toEqual(['a', 'b']);
  });

  test('loses what is said, or what is answered, and closes nothing', async () => {
    const {heard, link, near, said} = await openEcho();
    link.losesCalls = true;
    near.write('a');
    await delay(100);
    expect([heard, said]).toEqual([[], []]);
    link.losesCalls = false;
    link.losesAnswers = true;
    near.write('b');
    await delay(100);
    expect([heard, said]).toEqual([['b'], []]);
    expect(near.destroyed).toBe(false);
  });

  test('resets connections', async () => {
    const {link, said} = await openEcho();
    link.reset();
    await delay(100);
    expect(said).toEqual(['read ECONNRESET']);
  });
});
