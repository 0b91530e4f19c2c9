/**
 * Guards against attributing attempts at one incarnation of an engine to another.
 */
import {systemClock} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import {RelayEngineHealth} from '../../RelayEngineHealth';
import {INITIAL_HEALTH} from '../../RelayPlacement';

const BEFORE = {id: 'e', startedAtMs: 1_000};
const AFTER = {id: 'e', startedAtMs: 2_000};

describe('RelayEngineHealth', () => {
  test('a restarted engine does not inherit failures', () => {
    const health = new RelayEngineHealth(systemClock);
    health.recordAttempt(BEFORE, false);
    expect(health.of(BEFORE).failures).toBe(1);
    expect(health.of(AFTER)).toEqual(INITIAL_HEALTH);
  });

  test('a late result of an earlier incarnation is ignored', () => {
    const health = new RelayEngineHealth(systemClock);
    health.recordAttempt(AFTER, true);
    health.recordAttempt(BEFORE, false);
    expect(health.of(AFTER).failures).toBe(0);
  });
});
