/**
 * Guards against mixed-up, lost and hanging calls when responses are out of order, slow or missing, and when the other
 * process restarts.
 */
import type {ConnectRouter} from '@connectrpc/connect';

import {decodeValue, delay, encodeValue} from 'stallpaddle';
import {SlowLink} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import {type CallRequest, PeerService} from '../../gen/stallpaddle/v1/peer_pb';
import {ONE_WAY_CALL_ID, RpcChannel} from '../../RpcChannel';
import {openConnection} from '../../RpcClients';
import {type RpcServer, startRpcServer} from '../../RpcServer';
import {encodeOutcome} from '../../RpcTry';

const KEY = 'k';
const HOST = '127.0.0.1';

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const step of cleanups.splice(0)) {
    await step();
  }
});

/** Responds to each call after the delay that it contains, in milliseconds; never if negative. */
function addService(router: ConnectRouter): void {
  router.service(PeerService, {
    converse: async function* (requests) {
      const responses: Promise<number>[] = [];
      for await (const {content, id} of requests) {
        const wait = decodeValue<number>((content.value as CallRequest).encoded);
        responses.push(wait < 0 ? new Promise(() => {}) : delay(wait).then(() => id));
        if (responses.length === 3) {
          while (responses.length > 0) {
            const first = await Promise.race(
              responses.map((each, at) => each.then((n) => [n, at])),
            );
            void responses.splice(first[1]!, 1);
            const answer = {outcome: encodeOutcome({kind: 'answered', result: first[0]})};
            yield {answer, id: first[0]!};
          }
        }
      }
    },
  });
}

async function start(port: number): Promise<RpcServer> {
  const server = await startRpcServer(HOST, port, KEY, addService);
  cleanups.push(() => server.stop());
  return server;
}

function channelTo(port: number): RpcChannel {
  const channel = new RpcChannel(() => openConnection(KEY, HOST, port, null));
  cleanups.push(() => channel.close());
  return channel;
}

function requestOf(wait: number) {
  return {encoded: encodeValue(wait), group: 'g', query: true};
}

async function startLink(port: number, target: number, bytesPerMs?: number): Promise<SlowLink> {
  const link = await SlowLink.open({bytesPerMs, host: HOST, port, target});
  cleanups.push(() => link.close());
  return link;
}

describe('RpcChannel', () => {
  test('matches responses to calls when they arrive out of order', async () => {
    await start(18_301);
    const channel = channelTo(18_301);
    const outcomes = await Promise.all(
      [40, 20, 0].map((wait) => channel.call(requestOf(wait), 2_000)),
    );
    expect(outcomes).toEqual([1, 2, 3].map((result) => ({kind: 'answered', result})));
  });

  test('sends one-way calls in order with other calls', async () => {
    const seen: number[] = [];
    const server = await startRpcServer(HOST, 18_311, KEY, (router) =>
      router.service(PeerService, {
        converse: async function* (requests) {
          for await (const {content, id} of requests) {
            seen.push(decodeValue<number>((content.value as CallRequest).encoded));
            if (id !== ONE_WAY_CALL_ID) {
              yield {answer: {outcome: encodeOutcome({kind: 'answered', result: id})}, id};
            }
          }
        },
      }),
    );
    cleanups.push(() => server.stop());
    const channel = channelTo(18_311);
    channel.post(requestOf(7));
    expect((await channel.call(requestOf(8), 1_000)).kind).toBe('answered');
    channel.post(requestOf(9));
    expect((await channel.call(requestOf(10), 1_000)).kind).toBe('answered');
    expect(seen).toEqual([7, 8, 9, 10]);
  });

  test('reports an unknown outcome when a call times out', async () => {
    await start(18_302);
    expect(await channelTo(18_302).call(requestOf(-1), 50)).toEqual({kind: 'unknown'});
  });

  test('reports an unknown outcome when the process stops, and reconnects after its restart', async () => {
    const server = await start(18_303);
    const channel = channelTo(18_303);
    const pending = channel.call(requestOf(-1), 5_000);
    await delay(100);
    cleanups.splice(0, 1);
    await server.stop();
    expect(await pending).toEqual({kind: 'unknown'});
    expect(await channel.call(requestOf(0), 300)).toEqual({kind: 'unknown'});
    await start(18_303);
    const outcomes = await Promise.all(
      [0, 0, 0].map((wait) => channel.call(requestOf(wait), 2_000)),
    );
    expect(outcomes.map(({kind}) => kind)).toEqual(['answered', 'answered', 'answered']);
  });

  test('extends the timeout of a call while a large response arrives, up to a limit', async () => {
    const server = await startRpcServer(HOST, 18_306, KEY, (router) =>
      router.service(PeerService, {
        converse: async function* (requests) {
          for await (const {content, id} of requests) {
            const bytes = decodeValue<number>((content.value as CallRequest).encoded);
            const result = new Uint8Array(bytes);
            yield {answer: {outcome: encodeOutcome({kind: 'answered', result})}, id};
          }
        },
      }),
    );
    cleanups.push(() => server.stop());
    const link = await startLink(18_307, 18_306, 1_600);
    const channel = channelTo(18_307);
    // The link takes two seconds for this response.
    const outcome = await channel.call(requestOf(3_200_000), 700);
    expect(outcome.kind).toBe('answered');
    expect(await channel.call(requestOf(3_200_000), 100)).toEqual({kind: 'unknown'});
    link.silent = true;
    const startedAt = performance.now();
    expect(await channel.call(requestOf(10), 100)).toEqual({kind: 'unknown'});
    expect(performance.now() - startedAt).toBeLessThan(400);
  });

  test('keeps the connection to a slowly starting process, and closes it after a long stall', async () => {
    await start(18_308);
    const link = await startLink(18_309, 18_308);
    link.silent = true;
    let connections = 0;
    const connect = () => {
      connections++;
      return openConnection(KEY, HOST, 18_309, null);
    };
    const channel = new RpcChannel(connect, () => {}, 400);
    cleanups.push(() => channel.close());
    for (let tries = 0; tries < 5; tries++) {
      expect(await channel.call(requestOf(-1), 50)).toEqual({kind: 'unknown'});
    }
    expect(connections).toBe(1);
    // A connection that no VM accepts is opened again, as the VM may be back in the meantime.
    let unaccepted = 0;
    const unreachable = new RpcChannel(
      () => {
        unaccepted++;
        return {...openConnection(KEY, HOST, 18_309, null), isAccepted: () => false};
      },
      () => {},
      400,
    );
    cleanups.push(() => unreachable.close());
    await unreachable.call(requestOf(-1), 30);
    await unreachable.call(requestOf(-1), 30);
    expect(unaccepted).toBe(2);
    await delay(200);
    expect(await channel.call(requestOf(-1), 50)).toEqual({kind: 'unknown'});
    await channel.call(requestOf(-1), 50);
    expect(connections).toBe(2);
  });

  test('refuses a process with a wrong key and reports its address', async () => {
    const refused: string[] = [];
    const server = await startRpcServer(HOST, 18_310, 'another', addService, (from) =>
      refused.push(from),
    );
    cleanups.push(() => server.stop());
    expect(await channelTo(18_310).call(requestOf(0), 500)).toEqual({kind: 'unknown'});
    expect(refused).toEqual([HOST]);
  });

  test('recovers from links that stall with calls and streams open on them', async () => {
    await start(18_304);
    const link = await startLink(18_305, 18_304);
    const channels = [1, 2].map(() => channelTo(18_305));
    for (let round = 0; round < 4; round++) {
      link.silent = false;
      for (const channel of channels) {
        let kinds: readonly string[] = [];
        for (let tries = 0; !kinds.includes('answered'); tries++) {
          expect(tries).toBeLessThan(10);
          const calls = [0, 0, 0].map((wait) => channel.call(requestOf(wait), 500));
          kinds = (await Promise.all(calls)).map(({kind}) => kind);
        }
      }
      link.silent = true;
      const lost = channels.map((channel, at) => channel.call(requestOf(-1), 40 + at * 200));
      expect((await Promise.all(lost)).map(({kind}) => kind)).toEqual(['unknown', 'unknown']);
      // These calls open streams on a dead connection that is not yet detected as such.
      for (const timeoutMs of [10, 30, 60, 90]) {
        const more = channels.map((channel) => channel.call(requestOf(-1), timeoutMs));
        expect((await Promise.all(more)).map(({kind}) => kind)).toEqual(['unknown', 'unknown']);
      }
      await delay(400);
    }
  });
});
