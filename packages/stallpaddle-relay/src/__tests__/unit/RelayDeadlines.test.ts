/**
 * What a caller has spent before, at a VM that has just started and at one that has seen others.
 */
import {describe, expect, test} from 'vitest';

import {RelayDeadlines} from '../../RelayDeadlines';
import {routeOf} from '../RelayFixture';

const ROUTE = routeOf({timeoutMs: 5_000});

describe('RelayUsual', () => {
  test('takes the longest deadline of a route for the usual one', () => {
    const usual = new RelayDeadlines();
    expect(usual.spentMs(ROUTE, 5_050)).toBe(0);
    expect(usual.spentMs(ROUTE, 4_050)).toBe(1_000);
    expect(usual.spentMs(ROUTE, null)).toBe(0);
  });

  test('right after a start the operator’s time limit stands for what was not seen yet', () => {
    expect(new RelayDeadlines().spentMs(ROUTE, 3_600)).toBe(1_400);
  });

  test('callers that always wait for less have spent nothing, as is found soon', () => {
    const usual = new RelayDeadlines();
    const spent = Array.from({length: 40}, () => usual.spentMs(ROUTE, 2_000));
    expect(spent[39]).toBe(0);
    expect(spent.filter((ms) => ms > 0).length).toBeLessThanOrEqual(16);
  });
});
