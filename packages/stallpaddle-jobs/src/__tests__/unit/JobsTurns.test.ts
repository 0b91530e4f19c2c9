/** Guards against one customer's large job that delays equally urgent items of all other customers. */
import type {FleetView} from 'stallpaddle-fleet';

import {describe, expect, test} from 'vitest';

import type {Task} from '../../JobsTasks';

import {takeTurns, type TurnItem} from '../../JobsTurns';
import {JobsUrgency} from '../../JobsUrgency';

function itemsOf(customer: string, count: number, urgency = 1): readonly TurnItem[] {
  return Array.from({length: count}, () => ({customer, urgency}));
}

function orderOf(items: readonly TurnItem[]): string {
  return items.map(({customer}) => customer).join('');
}

const EQUAL = {heldOf: () => 0, weightOf: () => 1};

describe('takeTurns', () => {
  test('customers take turns, whatever the number of their items', () => {
    const items = [...itemsOf('a', 6), ...itemsOf('b', 2)];
    expect(orderOf(takeTurns(items, EQUAL))).toBe('ababaaaa');
  });

  test('a customer of double weight gets double; slots that are held count', () => {
    const items = [...itemsOf('a', 6), ...itemsOf('b', 3)];
    const weightOf = (customer: string): number => (customer === 'a' ? 2 : 1);
    expect(orderOf(takeTurns(items, {...EQUAL, weightOf}))).toBe('abaabaaba');
    const heldOf = (customer: string): number => (customer === 'a' ? 3 : 0);
    expect(orderOf(takeTurns(items, {...EQUAL, heldOf}))).toBe('bbbaaaaaa');
  });

  test('more urgent items stay first', () => {
    const items = [...itemsOf('a', 3, 1), ...itemsOf('b', 1, 2), ...itemsOf('a', 1, 2)];
    expect(orderOf(takeTurns(items, EQUAL))).toBe('aaaba');
  });
});

function taskOf(customer: string, acceptedAt: number, run?: unknown): Task {
  const job = {customer, host: 'h', path: '/p/', route: 'r'};
  const key = `${customer}${acceptedAt}`;
  return {acceptedAt, ending: false, events: 0, job, key, notBefore: 0, run} as unknown as Task;
}

const VIEW = {
  config: {
    customers: [],
    routes: [
      {
        host: 'h',
        kind: 'batch',
        name: 'r',
        pathPrefix: '/p/',
        split: [{service: 's', weight: 1}],
        targetMs: 18_000,
      },
    ],
    version: 1,
  },
} as unknown as FleetView;

describe('JobsUrgency', () => {
  const tasks = [taskOf('a', 10), taskOf('a', 20), taskOf('b', 30), taskOf('a', 40, {})];

  test('items due within the same second go by turns, only where the feature is on', () => {
    const keysOf = (takesTurns?: () => boolean): readonly string[] =>
      new JobsUrgency(() => 1_000, takesTurns).waitingItems(VIEW, tasks, 1_000).map(({key}) => key);
    expect(keysOf()).toEqual(['a10', 'a20', 'b30']);
    expect(keysOf(() => true)).toEqual(['b30', 'a10', 'a20']);
  });
});
