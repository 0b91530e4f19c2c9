import type {BackendAnswer, BackendRequest, EngineAdapter} from 'stallpaddle-engine';
import type {RoutingState} from 'stallpaddle-routing';

import fc from 'fast-check';
import {RefusalError, seededRandom, silentLogger} from 'stallpaddle';
import {EMPTY_CONFIG} from 'stallpaddle-control';
import {BackendError, EngineLanes} from 'stallpaddle-engine';
import {startMembership} from 'stallpaddle-membership';
import {EMPTY_ROUTING, stepRouting} from 'stallpaddle-routing';
import {parseSettings} from 'stallpaddle-settings';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

/**
 * Online requests over failing engines, beside what a naive gateway may promise: own answers only, at
 * most one run where it must not repeat, and `notRun` only when no engine saw the request.
 */
import type {GatewayContext} from '../../GatewayContext';

import {GatewayMetrics} from '../../GatewayMetrics';
import {GatewayOnline} from '../../GatewayOnline';

const ENGINES = ['e1', 'e2', 'e3'] as const;
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

function contextOf(engines: FakeEngines): GatewayContext {
  const setups = ENGINES.map((engine) => ({engine, role: 'all' as const, slots: 4, zone: 'z'}));
  const load = {batch: 0, online: 0, queued: 0, tokenMs: 1, weights: ['w']};
  let routing: RoutingState = stepRouting(EMPTY_ROUTING, {kind: 'configured', setups}, 0);
  ENGINES.forEach((engine) => {
    routing = stepRouting(routing, {ageMs: 0, engine, kind: 'loadHeard', load}, 0);
  });
  const address = {host: '127.0.0.1', port: 1};
  const settings = parseSettings(
    JSON.stringify({
      callers: address,
      controlReplicas: ['vm'],
      disk: {folder: 'd'},
      kind: 'vm',
      operators: {},
      peers: address,
      seeds: [{...address, vm: 'vm'}],
      vm: 'vm',
      vmKey: 'a-key-of-enough-length',
      zone: 'z',
    }),
  );
  if (settings.kind !== 'vm') {
    throw new Error('expected settings of a VM');
  }
  const unused = (): never => {
    throw new Error('not used here');
  };
  const facts = {
    callers: address,
    epoch: 1,
    hasDisk: true,
    leaving: false,
    peers: address,
    revision: 1,
    vm: 'vm',
    zone: 'z',
  };
  return {
    adapterOf: () => engines.adapter,
    clock: {monotonicMs: () => 0, wallMs: () => 0},
    config: () => EMPTY_CONFIG,
    control: {command: unused, query: unused},
    lanes: new EngineLanes(),
    ledger: {all: [], forCustomer: unused},
    limits: settings.limits,
    logger: silentLogger,
    membership: () => startMembership(facts, 0),
    metrics: new GatewayMetrics(),
    onRouting: (event) => {
      routing = stepRouting(routing, event, 0);
    },
    operatorKeys: new Map(),
    plainAdapterOf: unused,
    random: seededRandom(1),
    refusal: () => undefined,
    routing: () => routing,
    status: unused,
    vm: 'vm',
    zone: 'z',
  };
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

describe('GatewayOnline', () => {
  test(
    'gives own answers, repeats only what may repeat, and says notRun only when nothing ran',
    async () => {
      const request = fc.record({repeatable: fc.boolean()});
      const property = fc.asyncProperty(
        fc.array(fc.constantFrom(...FATES), {maxLength: 20, minLength: 1}),
        fc.array(request, {maxLength: 12, minLength: 1}),
        async (fates, requests) => {
          const engines = new FakeEngines(fates);
          const online = new GatewayOnline(contextOf(engines));
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

  test('stops retrying when its budget is used up, so that a brown-out is not fed', async () => {
    const engines = new FakeEngines(['resets']);
    const online = new GatewayOnline(contextOf(engines));
    const {signal} = new AbortController();
    for (let number = 0; number < 50; number++) {
      await online.sendWhole(requestOf(`r${number}`, true), signal).catch(() => {});
    }
    const runs = [...engines.runs.values()].reduce((sum, count) => sum + count, 0);
    expect(runs).toBeLessThanOrEqual(50 + 15);
  });
});
