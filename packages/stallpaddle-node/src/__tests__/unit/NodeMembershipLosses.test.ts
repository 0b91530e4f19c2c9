/**
 * A group that has lost as much as the settings allow at once still has a majority and all committed entries, at every step
 * of every membership change. Guards against removing a voter that is merely silent before its successor votes.
 */
import fc from 'fast-check';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {NodeMembershipSimulation} from './NodeMembershipSimulation';

/** Membership checks after which an undisturbed group must be complete again: ten seconds. */
const SETTLE_CHECKS = 40;

type Action =
  | {readonly back: null | number; readonly kind: 'loseDisk'; readonly vm: number}
  | {readonly kind: 'advance'; readonly rounds: number}
  | {readonly kind: 'heal' | 'join' | 'removeEmptied'}
  | {
      readonly kind: 'leaderDies';
      readonly ms: number;
      readonly receivers: number;
      readonly withDisk: boolean;
    }
  | {readonly kind: 'propose'; readonly receivers: number}
  | {readonly kind: 'retire'; readonly vm: number}
  | {readonly kind: 'silence'; readonly ms: number; readonly vm: number};

const vm = fc.nat({max: 9});
/** Bit set of the VMs that receive a message. */
const receivers = fc.nat({max: 1_023});
const ms = fc.constantFrom(250, 1_000, 2_000, 3_000, 5_000, 20_000);

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      rounds: fc.integer({max: 24, min: 1}),
    }),
    weight: 8,
  },
  {arbitrary: fc.record({kind: fc.constant('silence' as const), ms, vm}), weight: 4},
  {
    arbitrary: fc.record({
      back: fc.option(ms, {freq: 4}),
      kind: fc.constant('loseDisk' as const),
      vm,
    }),
    weight: 4,
  },
  {
    arbitrary: fc.record({
      kind: fc.constant('leaderDies' as const),
      ms,
      receivers,
      withDisk: fc.boolean(),
    }),
    weight: 3,
  },
  {arbitrary: fc.record({kind: fc.constant('propose' as const), receivers}), weight: 3},
  {arbitrary: fc.record({kind: fc.constant('retire' as const), vm}), weight: 1},
  {arbitrary: fc.record({kind: fc.constantFrom('heal', 'join', 'removeEmptied')}), weight: 3},
);

/** Most VMs of a history. */
const MAX_VMS = 9;

function perform(simulation: NodeMembershipSimulation, step: Action): void {
  const names = simulation.vmNames;
  const nameAt = (at: number): string => names[at % names.length]!;
  const receivesOf = (bits: number) => (name: string) => ((bits >> names.indexOf(name)) & 1) === 1;
  switch (step.kind) {
    case 'advance':
      simulation.advance(step.rounds);
      return;
    case 'heal':
      simulation.heal();
      return;
    case 'join':
      if (simulation.vms.size < MAX_VMS) {
        simulation.join();
      }
      return;
    case 'leaderDies':
      simulation.leaderDies(receivesOf(step.receivers), step.ms, step.withDisk);
      return;
    case 'loseDisk':
      simulation.loseDisk(nameAt(step.vm), step.back);
      return;
    case 'propose':
      simulation.propose(receivesOf(step.receivers));
      return;
    case 'removeEmptied':
      simulation.removeEmptied();
      return;
    case 'retire':
      simulation.retire(nameAt(step.vm));
      return;
    case 'silence':
      simulation.silence(nameAt(step.vm), step.ms);
      return;
  }
}

describe('planMembers', () => {
  test(
    'keeps a majority and every committed entry under any allowed losses, before, during and after each step',
    async () => {
      let changes = 0;
      const property = fc.property(
        fc.integer({max: 2, min: 1}),
        fc.nat({max: 2}),
        fc.array(action, {maxLength: 60, minLength: 10, size: 'max'}),
        (lostDisks, spareVms, actions) => {
          const simulation = new NodeMembershipSimulation(lostDisks, spareVms);
          simulation.advance(6);
          actions.forEach((step) => perform(simulation, step));
          simulation.heal();
          simulation.advance(SETTLE_CHECKS);
          expect(simulation.findFault()).toBeNull();
          changes += simulation.changes;
        },
      );
      await assertHistories('losses and members', property, 300);
      // Histories without membership changes would prove nothing.
      expect(changes).toBeGreaterThan(1_000);
    },
    fuzzTimeoutMs(),
  );

  test('keeps a voter that is merely silent until its successor votes', () => {
    const simulation = new NodeMembershipSimulation(2, 1);
    simulation.advance(8);
    const silent = simulation.vmNames.find(
      (name) =>
        name !== simulation.leaderVm &&
        simulation.members.voters.some((id) => id.startsWith(`${name}/`)),
    )!;
    simulation.silence(silent, 60_000);
    for (let check = 0; check < SETTLE_CHECKS; check++) {
      simulation.advance(1);
      expect(simulation.members.voters.length).toBeGreaterThanOrEqual(5);
    }
    expect(simulation.members.voters.some((id) => id.startsWith(`${silent}/`))).toBe(false);
  });
});
