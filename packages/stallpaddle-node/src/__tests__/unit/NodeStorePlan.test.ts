/**
 * When a store counts as emptied, by the report of the group's leader.
 */
import {describe, expect, test} from 'vitest';

import {isEmptied} from '../../NodeStorePlan';

const STORE = {name: 'd', replica: 'd/1', retiring: true};
const REPORT = {
  emptying: ['d/1'],
  learners: [],
  settled: true,
  term: 3,
  voters: ['a/1', 'b/1', 'c/1'],
};

describe('isEmptied', () => {
  test('needs enough voters to tolerate the losses, a settled group, and no member on the VM itself', () => {
    expect(isEmptied(STORE, REPORT, 1)).toBe(true);
    expect(isEmptied(STORE, REPORT, 2)).toBe(false);
    expect(isEmptied(STORE, null, 1)).toBe(false);
    expect(isEmptied(STORE, {...REPORT, settled: false}, 1)).toBe(false);
    expect(isEmptied(STORE, {...REPORT, learners: ['d/1']}, 1)).toBe(false);
    expect(isEmptied(STORE, {...REPORT, voters: ['a/1', 'b/1', 'd/1']}, 1)).toBe(false);
  });

  test('does not trust a leader that does not know that the VM is to be emptied', () => {
    // It could add the VM again, and rely on it after the VM is removed with its disk.
    const unaware = {...REPORT, emptying: []};
    expect(isEmptied(STORE, unaware, 1)).toBe(false);
  });
});
