/**
 * Online requests over failing engines: a caller gets only its own response, a request that is not repeatable runs at
 * most once, and `notRun` is reported only if no engine saw the request.
 */
import type {BackendRequest, BackendResponse, EngineAdapter} from 'stallpaddle-engine';

import fc from 'fast-check';
import {RefusalError} from 'stallpaddle';
import {BackendError} from 'stallpaddle-engine';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {GatewayOnlineForwarder} from '../../GatewayOnlineForwarder';
import {createContext, ENGINES} from './GatewayFixtures';

const BEHAVIORS = ['answers', 'breaksOff', 'busy', 'fails', 'refuses', 'resets'] as const;

type Behavior = (typeof BEHAVIORS)[number];

/** Engines that behave as scripted and count the runs of each request. */
class FakeEngines {
  readonly runs = new Map<string, number>();
  private calls = 0;

  constructor(private readonly behaviors: readonly Behavior[]) {}

  readonly adapter: EngineAdapter = {
    generate: async (req) => this.generate(req),
    order: async () => ({kind: 'accepted'}),
    status: async () => {
      throw new Error('unexpected call');
    },
  };

  private async generate(req: BackendRequest): Promise<BackendResponse> {
    const behavior = this.behaviors[this.calls++ % this.behaviors.length]!;
    const text = Buffer.from(req.body).toString();
    if (behavior === 'refuses') {
      throw new BackendError('notRun', 'no connection');
    }
    if (behavior === 'busy') {
      throw new BackendError('notRun', 'busy', 10);
    }
    this.runs.set(text, (this.runs.get(text) ?? 0) + 1);
    if (behavior === 'resets') {
      throw new BackendError('mayHaveRun', 'the connection was reset');
    }
    const isInterrupted = behavior === 'breaksOff';
    async function* body(): AsyncGenerator<Uint8Array> {
      yield Buffer.from(`answer to ${text}`.slice(0, isInterrupted ? 5 : undefined));
      if (isInterrupted) {
        throw new BackendError('mayHaveRun', 'the response was interrupted');
      }
    }
    return {body: body(), contentType: 't', status: behavior === 'fails' ? 500 : 200};
  }
}

function requestOf(text: string, repeatable: boolean) {
  return {
    affinity: text,
    body: Buffer.from(text),
    caller: {customer: 'c', record: {keyHash: '', requestsPerSecond: null, weight: 1}},
    model: {engines: ENGINES, service: 's', weights: 'w'},
    path: '/v1/chat/completions',
    repeatable,
  };
}

describe('GatewayOnlineForwarder', () => {
  test(
    'returns own responses, repeats only repeatable requests, and reports notRun only if nothing ran',
    async () => {
      const request = fc.record({repeatable: fc.boolean()});
      const property = fc.asyncProperty(
        fc.array(fc.constantFrom(...BEHAVIORS), {maxLength: 20, minLength: 1}),
        fc.array(request, {maxLength: 12, minLength: 1}),
        async (behaviors, requests) => {
          const engines = new FakeEngines(behaviors);
          const online = new GatewayOnlineForwarder(createContext(engines.adapter));
          const {signal} = new AbortController();
          await Promise.all(
            requests.map(async ({repeatable}, number) => {
              const text = `request ${number}`;
              try {
                const response = await online.sendBuffered(requestOf(text, repeatable), signal);
                expect(Buffer.from(response.body).toString()).toBe(`answer to ${text}`);
                expect(engines.runs.get(text)).toBeGreaterThanOrEqual(1);
              } catch (err) {
                expect(err).toBeInstanceOf(RefusalError);
                const {details, verdict} = err as RefusalError;
                expect(details.retryAfterMs).toBeGreaterThan(0);
                if (verdict === 'notRun') {
                  expect(engines.runs.has(text)).toBe(false);
                }
              }
              if (!repeatable) {
                expect(engines.runs.get(text) ?? 0).toBeLessThanOrEqual(1);
              }
            }),
          );
        },
      );
      await assertHistories('online requests', property, 300);
    },
    fuzzTimeoutMs(),
  );

  test('sends a request to at most two engines if their outcomes are unknown: it may have crashed them', async () => {
    const engines = new FakeEngines(['resets']);
    const online = new GatewayOnlineForwarder(createContext(engines.adapter));
    const {signal} = new AbortController();
    await expect(online.sendBuffered(requestOf('r', true), signal)).rejects.toThrow(RefusalError);
    expect(engines.runs.get('r')).toBe(2);
  });

  test('stops retrying when the retry budget is used up, so that retries do not add to an overload', async () => {
    const engines = new FakeEngines(['resets']);
    const online = new GatewayOnlineForwarder(createContext(engines.adapter));
    const {signal} = new AbortController();
    for (let number = 0; number < 50; number++) {
      await online.sendBuffered(requestOf(`r${number}`, true), signal).catch(() => {});
    }
    const runs = [...engines.runs.values()].reduce((sum, count) => sum + count, 0);
    expect(runs).toBeLessThanOrEqual(50 + 15);
  });
});
