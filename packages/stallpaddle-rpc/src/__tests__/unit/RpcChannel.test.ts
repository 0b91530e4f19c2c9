/**
 * Calls over a standing stream: out of order, lost, and after the other process came back.
 */
import type {ConnectRouter} from '@connectrpc/connect';

import {decodeValue, delay, encodeValue} from 'stallpaddle';
import {afterEach, describe, expect, test} from 'vitest';

import {PeerService} from '../../gen/stallpaddle/v1/peer_pb';
import {RpcChannel} from '../../RpcChannel';
import {RpcClients} from '../../RpcClients';
import {type RpcServer, startRpcServer} from '../../RpcServer';
import {encodeOutcome} from '../../RpcTry';

const KEY = 'k';
const HOST = '127.0.0.1';

const undo: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const step of undo.splice(0)) {
    await step();
  }
});

/** Answers each number after as many milliseconds; a negative one never. */
function addService(router: ConnectRouter): void {
  router.service(PeerService, {
    converse: async function* (requests) {
      const answers: Promise<number>[] = [];
      for await (const {call, id} of requests) {
        const wait = decodeValue<number>(call!.encoded);
        answers.push(wait < 0 ? new Promise(() => {}) : delay(wait).then(() => id));
        if (answers.length === 3) {
          while (answers.length > 0) {
            const first = await Promise.race(answers.map((each, at) => each.then((n) => [n, at])));
            void answers.splice(first[1]!, 1);
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
  undo.push(() => server.stop());
  return server;
}

function channelTo(port: number): RpcChannel {
  const clients = new RpcClients(KEY, {pingMs: 200});
  const channel = new RpcChannel(clients.at(HOST, port));
  undo.push(() => {
    channel.close();
    clients.close();
  });
  return channel;
}

function requestOf(wait: number) {
  return {encoded: encodeValue(wait), group: 'g', query: true};
}

describe('RpcChannel', () => {
  test('gives each call its own answer, in whatever order they come', async () => {
    await start(18_301);
    const channel = channelTo(18_301);
    const outcomes = await Promise.all(
      [40, 20, 0].map((wait) => channel.call(requestOf(wait), 2_000)),
    );
    expect(outcomes).toEqual([1, 2, 3].map((result) => ({kind: 'answered', result})));
  });

  test('leaves a call unknown that gets no answer in time', async () => {
    await start(18_302);
    expect(await channelTo(18_302).call(requestOf(-1), 50)).toEqual({kind: 'unknown'});
  });

  test('leaves calls unknown when the process ends, and reaches it again when it is back', async () => {
    const server = await start(18_303);
    const channel = channelTo(18_303);
    const pending = channel.call(requestOf(-1), 5_000);
    await delay(100);
    undo.splice(0, 1);
    await server.stop();
    expect(await pending).toEqual({kind: 'unknown'});
    expect(await channel.call(requestOf(0), 300)).toEqual({kind: 'unknown'});
    await start(18_303);
    const outcomes = await Promise.all(
      [0, 0, 0].map((wait) => channel.call(requestOf(wait), 2_000)),
    );
    expect(outcomes.map(({kind}) => kind)).toEqual(['answered', 'answered', 'answered']);
  });
});
