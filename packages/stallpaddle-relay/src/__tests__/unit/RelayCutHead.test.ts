/**
 * Guards callers against responses of engines that stop within their heads and close the connection: an empty or short
 * response must not look complete.
 */
import {CutEngine, type CutKind, PLAIN, signedHead} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import {
  forgetfulContextOf,
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
/** Time for a request, in milliseconds: a busy machine is not what these tests look for. */
const TIME_MS = 10_000;
/** Streams that are sent at once: as many as the engines have slots. */
const CONCURRENT_STREAMS = 8;
/** Header of a request that tells how many bytes of the response the engine sends. */
const CUT_HEADER = 'x-cut';

const HEADS: readonly (readonly [string, string])[] = [
  ['a head with a length', signedHead('q1', LENGTH)],
  ['a head of a stream', signedHead('q1', EVENTS, CHUNKED)],
  ['a head after an interim response', INTERIM + signedHead('q1', LENGTH)],
  ['a head with bare line feeds', signedHead('q1', LENGTH).replaceAll('\r', '')],
];
const CUTS = HEADS.flatMap(([name, head]) =>
  (['end', 'reset'] as const).map((kind) => ({head, kind, name})),
);

/** Starts an engine that cuts its responses as its requests say; `cuts` collects the lengths of those that it sent. */
async function startCut(head: string, kind: CutKind) {
  const cuts: number[] = [];
  const engine = await CutEngine.start((request) => {
    const length = new RegExp(`${CUT_HEADER}: (\\d+)`, 'i').exec(request)?.[1];
    if (length === undefined) {
      return '';
    }
    cuts.push(Number(length));
    return head.slice(0, Number(length));
  }, kind);
  registerCleanup(() => engine.stop());
  return {cuts, engine};
}

/** Headers of a request whose response is cut. */
function headersOf(length: number): Readonly<Record<string, string>> {
  return {[CUT_HEADER]: String(length), [PLAIN.timeLeft]: String(TIME_MS)};
}

/** Lengths of all beginnings of a head, from no byte to all but the last one. */
function lengthsOf(head: string): readonly number[] {
  return Array.from({length: head.length}, (_, length) => length);
}

describe('an engine that stops within the head of its response', () => {
  test.each(CUTS)('fails the request, once: $name, by $kind', async ({head, kind}) => {
    const {cuts, engine} = await startCut(head, kind);
    const once = routeOf({kind: 'nonRepeatable', resumable: false, timeoutMs: TIME_MS});
    const {port} = await startRelay(forgetfulContextOf([engine]), once);
    for (const length of lengthsOf(head)) {
      const {status} = await sendRequest(port, undefined, headersOf(length));
      expect({length, status}).toEqual({length, status: 502});
    }
    expect(cuts).toEqual(lengthsOf(head));
  });

  test.each(CUTS)('leaves a stream to another engine: $name, by $kind', async ({head, kind}) => {
    const {cuts, engine} = await startCut(head, kind);
    const [sound] = await startEngines(1);
    const route = routeOf({maxAttempts: 3, timeoutMs: TIME_MS});
    const {port} = await startRelay(forgetfulContextOf([engine, sound!]), route);
    const stream = async (length: number): Promise<void> => {
      // Where the sound engine comes first, the other one gets a stream that has begun.
      sound!.behaviors.push({after: 2, kind: 'breakOff'});
      const response = await sendRequest(port, undefined, headersOf(length));
      const whole = {body: sound!.wholeText, isComplete: true, length, status: 200};
      expect({...response, length}).toMatchObject(whole);
    };
    const lengths = [...lengthsOf(head)];
    while (lengths.length > 0) {
      await Promise.all(lengths.splice(0, CONCURRENT_STREAMS).map(stream));
    }
    expect(new Set(cuts).size).toBeGreaterThan(head.length / 2);
  });
});
