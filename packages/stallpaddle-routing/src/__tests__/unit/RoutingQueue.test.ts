/**
 * Limits and the fair queue, beside naive versions.
 */
import fc from 'fast-check';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {countRequest, FULL_RETRY_BUDGET, takeRetry, takeToken} from '../../RoutingLimits';
import {EMPTY_QUEUE, joinQueue, leaveQueue, takeNext} from '../../RoutingQueue';

function entry(id: number, customer: string) {
  return {customer, deadlineAt: 1000, id, since: 0, weight: 1};
}

describe('joinQueue and takeNext', () => {
  test(
    'lose and double nobody, and stay within the capacity',
    async () => {
      const step = fc.oneof(
        fc.record({customer: fc.constantFrom('a', 'b', 'c'), kind: fc.constant('join' as const)}),
        fc.record({kind: fc.constant('take' as const)}),
        fc.record({id: fc.nat({max: 30}), kind: fc.constant('leave' as const)}),
      );
      const property = fc.property(fc.array(step, {maxLength: 60}), (steps) => {
        let queue = EMPTY_QUEUE;
        const waiting = new Set<number>();
        steps.forEach((next, id) => {
          switch (next.kind) {
            case 'join': {
              const joined = joinQueue(queue, entry(id, next.customer), 5);
              if (joined.kind !== 'refused') {
                queue = joined.queue;
                waiting.add(id);
              }
              if (joined.kind === 'full') {
                expect(waiting.delete(joined.victim.id)).toBe(true);
              }
              break;
            }
            case 'leave':
              queue = leaveQueue(queue, next.id);
              waiting.delete(next.id);
              break;
            case 'take': {
              const taken = takeNext(queue);
              expect(taken === undefined).toBe(waiting.size === 0);
              if (taken !== undefined) {
                queue = taken.queue;
                expect(waiting.delete(taken.req.id)).toBe(true);
              }
              break;
            }
          }
          expect(new Set(queue.requests.map((req) => req.id))).toEqual(waiting);
          expect(queue.requests.length).toBeLessThanOrEqual(5);
        });
      });
      await assertHistories('queue', property, 500);
    },
    fuzzTimeoutMs(),
  );

  test('serve a customer with one request before the flood of another', () => {
    let queue = EMPTY_QUEUE;
    for (let id = 0; id < 10; id++) {
      const joined = joinQueue(queue, entry(id, 'flood'), 10);
      queue = joined.kind === 'refused' ? queue : joined.queue;
    }
    const joined = joinQueue(queue, entry(99, 'small'), 10);
    expect(joined).toMatchObject({kind: 'full', victim: {customer: 'flood', id: 9}});
    queue = joined.kind === 'refused' ? queue : joined.queue;
    const order: string[] = [];
    for (let taken = takeNext(queue); taken !== undefined; taken = takeNext(taken.queue)) {
      order.push(taken.req.customer);
    }
    expect(order.indexOf('small')).toBeLessThanOrEqual(1);
  });
});

describe('takeToken', () => {
  test(
    'never grants more than the rate and one burst',
    async () => {
      const property = fc.property(
        fc.array(fc.nat({max: 400}), {maxLength: 80}),
        fc.integer({max: 20, min: 1}),
        (gaps, rate) => {
          let bucket = undefined as Parameters<typeof takeToken>[0];
          let granted = 0;
          let now = 0;
          for (const gap of gaps) {
            now += gap;
            const answer = takeToken(bucket, rate, now);
            if (answer.kind === 'taken') {
              granted++;
              ({bucket} = answer);
            } else {
              // Who comes back when told is served.
              const again = takeToken(bucket, rate, now + answer.retryAfterMs);
              expect(again.kind).toBe('taken');
            }
          }
          expect(granted).toBeLessThanOrEqual(rate * 2 + (now / 1000) * rate + 1e-6);
        },
      );
      await assertHistories('token buckets', property, 500);
    },
    fuzzTimeoutMs(),
  );
});

describe('takeRetry', () => {
  test('allows a tenth of the requests to be retried, and a small store', () => {
    let budget = FULL_RETRY_BUDGET;
    let retries = 0;
    for (let request = 0; request < 1000; request++) {
      budget = countRequest(budget);
      for (let next = takeRetry(budget); next !== undefined; next = takeRetry(budget)) {
        budget = next;
        retries++;
      }
    }
    expect(retries).toBeLessThanOrEqual(110);
    expect(retries).toBeGreaterThanOrEqual(100);
  });
});
