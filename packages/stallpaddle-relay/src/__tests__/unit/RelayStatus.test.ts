/** Guards callers against responses whose status is none of a final response: engines in trouble send such. */
import type {FleetRoute} from 'stallpaddle-fleet';

import {CutEngine, PLAIN} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import {
  contextOf,
  registerCleanup,
  routeOf,
  sendRequest,
  startEngines,
  startRelay,
  stopAll,
} from '../RelayFixture';

afterEach(stopAll);

const KINDS: readonly [string, Partial<FleetRoute>][] = [
  ['a stream', {}],
  ['a request that may be repeated', {kind: 'repeatable', resumable: false}],
  ['a request that may run once', {kind: 'nonRepeatable', resumable: false}],
];
const STATUSES = ['000', '001', '042', '099', '101', '199', '600', '999'];
/** Requests of which some arrive at the faulty engine first. */
const ROUNDS = 4;

/** Starts an engine whose whole, signed response has the status line and the header lines. */
async function startFaulty(statusLine: string, lines: readonly string[]): Promise<CutEngine> {
  const own = [`${PLAIN.request}: q1`, `${PLAIN.signature}: s`, 'content-length: 4'];
  const head = [`HTTP/1.1 ${statusLine}`, ...own, ...lines, '', ''].join('\r\n');
  const engine = await CutEngine.start(() => `${head}body`, 'end');
  registerCleanup(() => engine.stop());
  return engine;
}

const EVENTS = 'content-type: text/event-stream';

describe.each(KINDS)('%s', (_, route) => {
  test.each(STATUSES)('gets no response with the status %s', async (status) => {
    const faulty = await startFaulty(`${status} Odd`, route.kind === undefined ? [EVENTS] : []);
    const {ends, port} = await startRelay(contextOf([faulty]), routeOf(route));
    const response = await sendRequest(port);
    // A request that may run elsewhere waits for another engine until its time is over.
    expect([502, 503, 504]).toContain(response.status);
    expect(response).toMatchObject({isComplete: true});
    expect(response.body).not.toBe('body');
    expect(ends).toHaveLength(1);
  });

  // Guards against a caller that waits for ever because a part of the head can't be sent on.
  test.each<[string, string, readonly string[]]>([
    ['a control character in the reason', '200 O\u0001K', []],
    ['a reason beyond ASCII', '200 Olá €', []],
    ['a control character in a header', '200 OK', ['x-a: a\u0001b']],
    ['a header beyond ASCII', '200 OK', ['x-a: Olá €']],
    ['a delete character in a header', '200 OK', ['x-a: a\u007fb']],
    ['a header without a value', '200 OK', ['x-a:']],
  ])('gets a response at an engine that sends %s', async (_name, statusLine, lines) => {
    const faulty = await startFaulty(statusLine, lines);
    const {ends, port} = await startRelay(contextOf([faulty]), routeOf(route));
    const response = await sendRequest(port);
    expect([200, 502, 503, 504]).toContain(response.status);
    expect(ends).toHaveLength(1);
  });
});

describe.each(KINDS.filter(([, {kind}]) => kind !== 'nonRepeatable'))('%s', (_, route) => {
  test.each(STATUSES)('is run by another engine after the status %s', async (status) => {
    const faulty = await startFaulty(`${status} Odd`, []);
    const [sound] = await startEngines(1);
    const {port} = await startRelay(contextOf([faulty, sound!]), routeOf(route));
    for (let round = 0; round < ROUNDS; round++) {
      const response = await sendRequest(port);
      expect(response).toMatchObject({body: sound!.wholeText, isComplete: true, status: 200});
    }
  });
});
