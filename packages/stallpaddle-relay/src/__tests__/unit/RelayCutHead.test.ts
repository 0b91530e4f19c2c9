/**
 * Guards callers against responses of engines that stop within their heads and close the connection: an empty or short
 * response must not look complete.
 */
import {CutEngine, type CutKind, signedHead} from 'stallpaddle-testing';
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

const EVENTS = 'content-type: text/event-stream';
const CHUNKED = 'transfer-encoding: chunked';
const LENGTH = 'content-length: 8';
const INTERIM = 'HTTP/1.1 103 Early Hints\r\n\r\n';

const HEADS: readonly (readonly [string, string])[] = [
  ['a head with a length', signedHead('q1', LENGTH)],
  ['a head of a stream', signedHead('q1', EVENTS, CHUNKED)],
  ['a head after an interim response', INTERIM + signedHead('q1', LENGTH)],
  ['a head with bare line feeds', signedHead('q1', LENGTH).replaceAll('\r', '')],
];
const CUTS = HEADS.flatMap(([name, head]) =>
  (['end', 'reset'] as const).map((kind) => ({head, kind, name})),
);

async function startCut(bytes: string, kind: CutKind): Promise<CutEngine> {
  const engine = await CutEngine.start(bytes, kind);
  registerCleanup(() => engine.stop());
  return engine;
}

/** All beginnings of a head, from no byte to all but the last one. */
function beginningsOf(head: string): readonly string[] {
  return Array.from({length: head.length}, (_, length) => head.slice(0, length));
}

describe('an engine that stops within the head of its response', () => {
  test.each(CUTS)('fails the request: $name, by $kind', async ({head, kind}) => {
    const once = routeOf({kind: 'nonRepeatable', resumable: false});
    const fail = async (bytes: string): Promise<unknown> => {
      const cut = await startCut(bytes, kind);
      const {port} = await startRelay(contextOf([cut]), once);
      const {status} = await sendRequest(port);
      return {bytes, requests: cut.requests, status};
    };
    const beginnings = beginningsOf(head);
    expect(await Promise.all(beginnings.map(fail))).toEqual(
      beginnings.map((bytes) => ({bytes, requests: 1, status: 502})),
    );
  });

  test.each(CUTS)('leaves a stream to another engine: $name, by $kind', async ({head, kind}) => {
    const [sound] = await startEngines(1);
    const beginnings = beginningsOf(head);
    // Some streams reach the engine first, some after others have sent them a few events.
    sound!.behaviors = beginnings.map(() => ({after: 2, kind: 'breakOff'}));
    let requests = 0;
    const stream = async (bytes: string): Promise<unknown> => {
      const cut = await startCut(bytes, kind);
      const route = routeOf({maxAttempts: 3});
      const {port} = await startRelay(contextOf([cut, sound!]), route);
      const {body, isComplete, status} = await sendRequest(port);
      requests += cut.requests;
      return {body, bytes, isComplete, status};
    };
    const whole = {body: sound!.wholeText, isComplete: true, status: 200};
    expect(await Promise.all(beginnings.map(stream))).toEqual(
      beginnings.map((bytes) => ({...whole, bytes})),
    );
    expect(requests).toBeGreaterThan(beginnings.length / 2);
  });
});
