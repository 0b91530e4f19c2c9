/** Guards against a revision that goes back or skips a change, and against a stale configuration. */
import type {ConfigChange} from 'stallpaddle-control';

import fc from 'fast-check';
import {MAX_CONFIG_AGE_MS} from 'stallpaddle-membership';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {applyConfigUpdate, isFresh, noteFresh, UNKNOWN_CONFIG} from '../../VmConfigView';

function changeOf(revision: number): ConfigChange {
  return {key: `vm-${revision}`, record: {draining: true}, table: 'vms'};
}

/** An update from one revision to another. */
function updateFrom(basis: number, revision: number) {
  const first = basis === 0 ? 1 : basis + 1;
  const changes = Array.from({length: revision - first + 1}, (_, index) => changeOf(first + index));
  return {changes, revision, whole: basis === 0};
}

describe('applyConfigUpdate', () => {
  test(
    'never goes back and never skips a change, whatever order updates arrive in',
    async () => {
      const item = fc.record({basis: fc.nat({max: 8}), length: fc.integer({max: 4, min: 1})});
      const property = fc.property(fc.array(item, {maxLength: 30}), (items) => {
        let view = UNKNOWN_CONFIG;
        for (const {basis, length} of items) {
          const next = applyConfigUpdate(view, updateFrom(basis, basis + length), basis);
          expect(next.revision).toBeGreaterThanOrEqual(view.revision);
          view = next;
          const expected = Array.from({length: view.revision}, (_, index) => `vm-${index + 1}`);
          expect([...view.config.vms.keys()].toSorted()).toEqual(expected.toSorted());
        }
      });
      await assertHistories('configuration updates', property, 500);
    },
    fuzzTimeoutMs(),
  );
});

describe('noteFresh', () => {
  test('confirms only the revision in force', () => {
    const view = applyConfigUpdate(UNKNOWN_CONFIG, updateFrom(0, 3), 0);
    expect(isFresh(view, 0)).toBe(false);
    expect(isFresh(noteFresh(view, 4, 100), 100)).toBe(false);
    const fresh = noteFresh(view, 3, 100);
    expect(isFresh(fresh, 100 + MAX_CONFIG_AGE_MS - 1)).toBe(true);
    expect(isFresh(fresh, 100 + MAX_CONFIG_AGE_MS)).toBe(false);
    expect(noteFresh(fresh, 3, 50)).toBe(fresh);
  });
});
