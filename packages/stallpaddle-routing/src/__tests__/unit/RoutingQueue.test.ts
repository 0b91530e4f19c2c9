/**
 * The fair queue, checked against a set of waiting ids, and the retry budget.
 */
import fc from 'fast-check';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {dequeue, EMPTY_QUEUE, enqueue, removeFromQueue} from '../../RoutingQueue';
import {countRequest, FULL_RETRY_BUDGET, takeRetry} from '../../RoutingRetries';

function entry(id: number, customer: string) {
  return {customer, deadlineAt: 1000, id, since: 0, weight: 1};
}

describe('enqueue and dequeue', () => {
  test(
    'neither lose nor duplicate a request, and stay within the capacity',
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
              const result = enqueue(queue, entry(id, next.customer), 5);
              if (result.kind !== 'refused') {
                queue = result.queue;
                waiting.add(id);
              }
              if (result.kind === 'full') {
                expect(waiting.delete(result.victim.id)).toBe(true);
              }
              break;
            }
            case 'leave':
              queue = removeFromQueue(queue, next.id);
              waiting.delete(next.id);
              break;
            case 'take': {
              const taken = dequeue(queue);
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

  test('serve a customer with one request ahead of a customer that fills the queue', () => {
    let queue = EMPTY_QUEUE;
    for (let id = 0; id < 10; id++) {
      const joined = enqueue(queue, entry(id, 'flood'), 10);
      queue = joined.kind === 'refused' ? queue : joined.queue;
    }
    const joined = enqueue(queue, entry(99, 'small'), 10);
    expect(joined).toMatchObject({kind: 'full', victim: {customer: 'flood', id: 9}});
    queue = joined.kind === 'refused' ? queue : joined.queue;
    const order: string[] = [];
    for (let taken = dequeue(queue); taken !== undefined; taken = dequeue(taken.queue)) {
      order.push(taken.req.customer);
    }
    expect(order.indexOf('small')).toBeLessThanOrEqual(1);
  });
});

describe('takeRetry', () => {
  test('allows retries for a tenth of the requests, plus a small burst', () => {
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
