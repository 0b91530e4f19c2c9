import fc from 'fast-check';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

/**
 * The membership view under loss, doubling and reordering of news, and what callers are told.
 */
import type {MembershipState, VmMetadata, VmUpdate} from '../../MembershipTypes';

import {VM_LOST_AFTER_MS} from '../../MembershipConstants';
import {
  activeVms,
  addressesFor,
  initialMembership,
  lostVms,
  stepMembership,
  updatesSince,
} from '../../MembershipView';

function facts(vm: string, changes: Partial<VmMetadata> = {}): VmMetadata {
  const address = {host: '127.0.0.1', port: 1};
  return {
    callers: address,
    epoch: 1,
    hasDisk: false,
    leaving: false,
    peers: address,
    revision: 1,
    vm,
    zone: 'z1',
    ...changes,
  };
}

function news(
  vm: string,
  sequence: number,
  changes: Partial<VmMetadata> = {},
  ageMs = 0,
): VmUpdate {
  return {ageMs, facts: facts(vm, changes), sequence};
}

function hear(state: MembershipState, items: readonly VmUpdate[], now: number): MembershipState {
  return stepMembership(state, {kind: 'newsHeard', news: items}, now);
}

const start = (): MembershipState => initialMembership(facts('self'), 0);

describe('stepMembership', () => {
  test(
    'ends at the newest news of each VM, in whatever order and however often it comes',
    async () => {
      const item = fc.record({
        epoch: fc.nat({max: 3}),
        leaving: fc.boolean(),
        sequence: fc.nat({max: 5}),
        vm: fc.constantFrom('a', 'b'),
      });
      const property = fc.property(fc.array(item, {maxLength: 30}), (items) => {
        // One process says one thing under one number.
        const said = new Map(items.map((one) => [`${one.vm} ${one.epoch} ${one.sequence}`, one]));
        const told = items.map((one) => said.get(`${one.vm} ${one.epoch} ${one.sequence}`)!);
        let state = start();
        for (const {epoch, leaving, sequence, vm} of told) {
          state = hear(state, [news(vm, sequence, {epoch, leaving})], 0);
        }
        for (const vm of ['a', 'b']) {
          const newest = told
            .filter((one) => one.vm === vm)
            .toSorted((x, y) => y.epoch - x.epoch || y.sequence - x.sequence)[0];
          const known = state.entries.get(vm);
          expect(known?.facts.epoch).toBe(newest?.epoch);
          expect(known?.facts.leaving).toBe(newest?.leaving);
        }
      });
      await assertHistories('membership news', property, 500);
    },
    fuzzTimeoutMs(),
  );

  test('loses a VM that was silent, and finds it again', () => {
    let state = hear(start(), [news('a', 1)], 0);
    expect(activeVms(state, VM_LOST_AFTER_MS - 1).map(({vm}) => vm)).toContain('a');
    expect(lostVms(state, VM_LOST_AFTER_MS)).toContain('a');
    state = hear(state, [news('a', 2)], VM_LOST_AFTER_MS + 5);
    expect(lostVms(state, VM_LOST_AFTER_MS + 10)).not.toContain('a');
  });

  test('takes the word of a VM with a disk on who is lost', () => {
    const state = hear(start(), [news('a', 1), news('b', 1)], 0);
    const later = stepMembership(state, {kind: 'lossesHeard', lost: ['b']}, 5000);
    expect(activeVms(later, 5000).map(({vm}) => vm)).toEqual(['a']);
  });

  test('tells only what changed since', () => {
    const state = hear(start(), [news('a', 1), news('b', 1)], 0);
    const again = hear(state, [news('a', 2)], 1);
    expect(updatesSince(again, 1, state.version)).toEqual([]);
    const leaving = hear(again, [news('a', 3, {leaving: true})], 2);
    expect(updatesSince(leaving, 2, state.version).map((one) => one.facts.vm)).toEqual(['a']);
  });
});

describe('addressesFor', () => {
  test('names only live, staying VMs, those of the zone first', () => {
    const items = [
      news('a', 1, {zone: 'z2'}),
      news('b', 1),
      news('c', 1, {leaving: true}),
      news('d', 1),
      news('e', 1, {}, VM_LOST_AFTER_MS),
    ];
    const state = stepMembership(
      hear(start(), items, 0),
      {kind: 'platformListed', leaving: ['d']},
      0,
    );
    const named = addressesFor(state, 'caller', 'z2', 0).map(({vm}) => vm);
    expect(named[0]).toBe('a');
    expect(named.toSorted()).toEqual(['a', 'b', 'self']);
  });

  test('spreads callers over the VMs', () => {
    const items = Array.from({length: 9}, (_, number) => news(`vm-${number}`, 1));
    const state = hear(start(), items, 0);
    const firsts = new Map<string, number>();
    for (let caller = 0; caller < 1000; caller++) {
      const first = addressesFor(state, `caller-${caller}`, undefined, 0)[0]!.vm;
      firsts.set(first, (firsts.get(first) ?? 0) + 1);
    }
    expect(firsts.size).toBe(10);
    expect(Math.max(...firsts.values())).toBeLessThan(160);
  });
});
