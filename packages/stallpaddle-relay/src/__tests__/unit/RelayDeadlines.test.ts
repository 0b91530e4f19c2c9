/**
 * Guards against wrong estimates of the time that callers spent on earlier attempts, also right after a start.
 */
import {describe, expect, test} from 'vitest';

import {RelayDeadlines} from '../../RelayDeadlines';
import {routeOf} from '../RelayFixture';

const ROUTE = routeOf({timeoutMs: 5_000});

describe('RelayDeadlines', () => {
  test('takes the longest deadline of a route as the usual one', () => {
    const deadlines = new RelayDeadlines();
    expect(deadlines.spentMs(ROUTE, 5_050)).toBe(0);
    expect(deadlines.spentMs(ROUTE, 4_050)).toBe(1_000);
    expect(deadlines.spentMs(ROUTE, null)).toBe(0);
  });

  test('uses the route’s time limit right after a start', () => {
    expect(new RelayDeadlines().spentMs(ROUTE, 3_600)).toBe(1_400);
  });

  test('learns a usual deadline that is shorter than the route’s time limit', () => {
    const deadlines = new RelayDeadlines();
    const spent = Array.from({length: 40}, () => deadlines.spentMs(ROUTE, 2_000));
    expect(spent[39]).toBe(0);
    expect(spent.filter((ms) => ms > 0).length).toBeLessThanOrEqual(16);
  });
});
