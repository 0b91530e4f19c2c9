import type {BackendAnswer, BackendRequest, EngineAdapter} from 'stallpaddle-engine';

import fc from 'fast-check';
import {RefusalError} from 'stallpaddle';
import {BackendError} from 'stallpaddle-engine';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

/**
 * Online requests over failing engines, beside what a naive gateway may promise: own answers only, at
 * most one run where it must not repeat, and `notRun` only when no engine saw the request.
 */
import {GatewayOnlineForwarder} from '../../GatewayOnlineForwarder';
import {contextOf, ENGINES} from './GatewayFixtures';

const FATES = ['answers', 'breaksOff', 'busy', 'fails', 'refuses', 'resets'] as const;

type Fate = (typeof FATES)[number];

/** Engines whose fates are given; they note every request that reaches them. */
class FakeEngines {
  readonly runs = new Map<string, number>();
  private turn = 0;

  constructor(private readonly fates: readonly Fate[]) {}

  readonly adapter: EngineAdapter = {
    generate: async (req) => this.generate(req),
    order: async () => ({kind: 'accepted'}),
    status: async () => {
      throw new Error('not asked here');
    },
  };

  private async generate(req: BackendRequest): Promise<BackendAnswer> {
    const fate = this.fates[this.turn++ % this.fates.length]!;
    const text = Buffer.from(req.body).toString();
    if (fate === 'refuses') {
      throw new BackendError('notRun', 'no connection');
    }
    if (fate === 'busy') {
      throw new BackendError('notRun', 'busy', 10);
    }
    this.runs.set(text, (this.runs.get(text) ?? 0) + 1);
    if (fate === 'resets') {
      throw new BackendError('mayHaveRun', 'the connection was reset');
    }
    const breaks = fate === 'breaksOff';
    async function* body(): AsyncGenerator<Uint8Array> {
      yield Buffer.from(`answer to ${text}`.slice(0, breaks ? 5 : undefined));
      if (breaks) {
        throw new BackendError('mayHaveRun', 'the answer broke off');
      }
    }
    return {body: body(), contentType: 't', status: fate === 'fails' ? 500 : 200};
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
    'gives own answers, repeats only what may repeat, and says notRun only when nothing ran',
    async () => {
      const request = fc.record({repeatable: fc.boolean()});
      const property = fc.asyncProperty(
        fc.array(fc.constantFrom(...FATES), {maxLength: 20, minLength: 1}),
        fc.array(request, {maxLength: 12, minLength: 1}),
        async (fates, requests) => {
          const engines = new FakeEngines(fates);
          const online = new GatewayOnlineForwarder(contextOf(engines.adapter));
          const {signal} = new AbortController();
          await Promise.all(
            requests.map(async ({repeatable}, number) => {
              const text = `request ${number}`;
              try {
                const answer = await online.sendWhole(requestOf(text, repeatable), signal);
                expect(Buffer.from(answer.body).toString()).toBe(`answer to ${text}`);
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

  test('brings a request whose runs end unknown to two engines at most: it may have ended both', async () => {
    const engines = new FakeEngines(['resets']);
    const online = new GatewayOnlineForwarder(contextOf(engines.adapter));
    const {signal} = new AbortController();
    await expect(online.sendWhole(requestOf('r', true), signal)).rejects.toThrow(RefusalError);
    expect(engines.runs.get('r')).toBe(2);
  });

  test('stops retrying when its budget is used up, so that a brown-out is not fed', async () => {
    const engines = new FakeEngines(['resets']);
    const online = new GatewayOnlineForwarder(contextOf(engines.adapter));
    const {signal} = new AbortController();
    for (let number = 0; number < 50; number++) {
      await online.sendWhole(requestOf(`r${number}`, true), signal).catch(() => {});
    }
    const runs = [...engines.runs.values()].reduce((sum, count) => sum + count, 0);
    expect(runs).toBeLessThanOrEqual(50 + 15);
  });
});
