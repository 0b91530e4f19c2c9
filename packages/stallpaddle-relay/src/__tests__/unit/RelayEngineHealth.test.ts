/**
 * What a sender has seen of an engine counts for one start of it.
 */
import {systemClock} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import {RelayEngineHealth} from '../../RelayEngineHealth';
import {INITIAL_HEALTH} from '../../RelayPlacement';

const BEFORE = {id: 'e', startedAtMs: 1_000};
const AFTER = {id: 'e', startedAtMs: 2_000};

describe('RelayExperience', () => {
  test('an engine that has started again is not held to what failed before', () => {
    const experience = new RelayEngineHealth(systemClock);
    experience.recordAttempt(BEFORE, false);
    expect(experience.of(BEFORE).failures).toBe(1);
    expect(experience.of(AFTER)).toEqual(INITIAL_HEALTH);
  });

  test('an attempt at the start before that ends late says nothing of the present one', () => {
    const experience = new RelayEngineHealth(systemClock);
    experience.recordAttempt(AFTER, true);
    experience.recordAttempt(BEFORE, false);
    expect(experience.of(AFTER).failures).toBe(0);
  });
});
