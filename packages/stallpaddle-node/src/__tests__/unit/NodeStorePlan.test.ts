/**
 * When a store is empty, by the word of the group's leader.
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
  test('asks for as many voters as bear the losses, all whole, and none of the VM itself', () => {
    expect(isEmptied(STORE, REPORT, 1)).toBe(true);
    expect(isEmptied(STORE, REPORT, 2)).toBe(false);
    expect(isEmptied(STORE, null, 1)).toBe(false);
    expect(isEmptied(STORE, {...REPORT, settled: false}, 1)).toBe(false);
    expect(isEmptied(STORE, {...REPORT, learners: ['d/1']}, 1)).toBe(false);
    expect(isEmptied(STORE, {...REPORT, voters: ['a/1', 'b/1', 'd/1']}, 1)).toBe(false);
  });

  test('takes no word of a leader that has not heard that the VM is to be emptied', () => {
    // It would take the VM in as a copy, and count on it once it has gone with its disk.
    const unaware = {...REPORT, emptying: []};
    expect(isEmptied(STORE, unaware, 1)).toBe(false);
  });
});
