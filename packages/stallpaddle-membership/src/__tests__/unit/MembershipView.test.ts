import fc from 'fast-check';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

/**
 * The membership view under lost, duplicated and reordered updates, and the addresses offered to callers.
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

function metadata(vm: string, changes: Partial<VmMetadata> = {}): VmMetadata {
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

function update(
  vm: string,
  sequence: number,
  changes: Partial<VmMetadata> = {},
  ageMs = 0,
): VmUpdate {
  return {ageMs, facts: metadata(vm, changes), sequence};
}

function receive(state: MembershipState, items: readonly VmUpdate[], now: number): MembershipState {
  return stepMembership(state, {kind: 'newsHeard', news: items}, now);
}

const start = (): MembershipState => initialMembership(metadata('self'), 0);

describe('stepMembership', () => {
  test(
    'keeps the newest update of each VM, regardless of order and duplicates',
    async () => {
      const item = fc.record({
        epoch: fc.nat({max: 3}),
        leaving: fc.boolean(),
        sequence: fc.nat({max: 5}),
        vm: fc.constantFrom('a', 'b'),
      });
      const property = fc.property(fc.array(item, {maxLength: 30}), (items) => {
        // A process never sends two different updates with the same sequence number.
        const updates = new Map(
          items.map((one) => [`${one.vm} ${one.epoch} ${one.sequence}`, one]),
        );
        const received = items.map((one) => updates.get(`${one.vm} ${one.epoch} ${one.sequence}`)!);
        let state = start();
        for (const {epoch, leaving, sequence, vm} of received) {
          state = receive(state, [update(vm, sequence, {epoch, leaving})], 0);
        }
        for (const vm of ['a', 'b']) {
          const newest = received
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

  test('loses a VM without heartbeats, and finds it again', () => {
    let state = receive(start(), [update('a', 1)], 0);
    expect(activeVms(state, VM_LOST_AFTER_MS - 1).map(({vm}) => vm)).toContain('a');
    expect(lostVms(state, VM_LOST_AFTER_MS)).toContain('a');
    state = receive(state, [update('a', 2)], VM_LOST_AFTER_MS + 5);
    expect(lostVms(state, VM_LOST_AFTER_MS + 10)).not.toContain('a');
  });

  test('adopts the lost VMs that a VM with a disk reports', () => {
    const state = receive(start(), [update('a', 1), update('b', 1)], 0);
    const later = stepMembership(state, {kind: 'lossesHeard', lost: ['b']}, 5000);
    expect(activeVms(later, 5000).map(({vm}) => vm)).toEqual(['a']);
  });

  test('returns only updates since a version', () => {
    const state = receive(start(), [update('a', 1), update('b', 1)], 0);
    const again = receive(state, [update('a', 2)], 1);
    expect(updatesSince(again, 1, state.version)).toEqual([]);
    const leaving = receive(again, [update('a', 3, {leaving: true})], 2);
    expect(updatesSince(leaving, 2, state.version).map((one) => one.facts.vm)).toEqual(['a']);
  });
});

describe('addressesFor', () => {
  test('returns only live VMs that are not leaving, those of the zone first', () => {
    const items = [
      update('a', 1, {zone: 'z2'}),
      update('b', 1),
      update('c', 1, {leaving: true}),
      update('d', 1),
      update('e', 1, {}, VM_LOST_AFTER_MS),
    ];
    const state = stepMembership(
      receive(start(), items, 0),
      {kind: 'platformListed', leaving: ['d']},
      0,
    );
    const names = addressesFor(state, 'caller', 'z2', 0).map(({vm}) => vm);
    expect(names[0]).toBe('a');
    expect(names.toSorted()).toEqual(['a', 'b', 'self']);
  });

  test('distributes callers over the VMs', () => {
    const items = Array.from({length: 9}, (_, number) => update(`vm-${number}`, 1));
    const state = receive(start(), items, 0);
    const firsts = new Map<string, number>();
    for (let caller = 0; caller < 1000; caller++) {
      const first = addressesFor(state, `caller-${caller}`, undefined, 0)[0]!.vm;
      firsts.set(first, (firsts.get(first) ?? 0) + 1);
    }
    expect(firsts.size).toBe(10);
    expect(Math.max(...firsts.values())).toBeLessThan(160);
  });
});
