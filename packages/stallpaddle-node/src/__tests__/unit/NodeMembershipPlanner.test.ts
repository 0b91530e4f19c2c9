/**
 * Membership steps: a group always keeps the voters that it needs, and settles.
 */
import fc from 'fast-check';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {type KnownReplica, type MembershipInput, planMembers} from '../../NodeMembershipPlanner';

function replicaOf(id: string, changes: Partial<KnownReplica> = {}): KnownReplica {
  return {caughtUp: true, id, retiring: false, silentMs: 0, ...changes};
}

function plan(changes: Partial<MembershipInput>) {
  return planMembers({
    known: ['a/1', 'b/1', 'c/1'].map((id) => replicaOf(id)),
    lostDisks: 1,
    members: {learners: [], voters: ['a/1', 'b/1', 'c/1']},
    self: 'a/1',
    ...changes,
  });
}

/** Applies steps until none is due. */
function settle(input: MembershipInput): {
  readonly learners: readonly string[];
  readonly voters: readonly string[];
} {
  let {members} = input;
  for (let turn = 0; turn < 20; turn++) {
    const step = planMembers({...input, members});
    if (step === null || step.kind === 'handOver') {
      return members;
    }
    const before = members;
    ({members} = step);
    const changed = [
      ...members.voters.filter((id) => !before.voters.includes(id)),
      ...before.voters.filter((id) => !members.voters.includes(id)),
    ];
    expect(changed.length).toBeLessThanOrEqual(1);
  }
  throw new Error('the members never settle');
}

describe('planMembers', () => {
  test('changes nothing while all voters are available', () => {
    expect(plan({})).toBeNull();
  });

  test('removes a voter that returned with another disk, and adds the new disk', () => {
    const known = [
      replicaOf('a/1'),
      replicaOf('b/1'),
      replicaOf('c/1', {silentMs: 9_000}),
      replicaOf('c/2'),
    ];
    const {voters} = settle({
      known,
      lostDisks: 1,
      members: {learners: [], voters: ['a/1', 'b/1', 'c/1']},
      self: 'a/1',
    });
    expect([...voters].sort()).toEqual(['a/1', 'b/1', 'c/2']);
  });

  test('keeps a voter that is only silent until another has caught up', () => {
    const silent = replicaOf('c/1', {silentMs: 9_000});
    expect(plan({known: [replicaOf('a/1'), replicaOf('b/1'), silent]})).toBeNull();
    const learning = replicaOf('d/1', {caughtUp: false});
    const members = {learners: ['d/1'], voters: ['a/1', 'b/1', 'c/1']};
    expect(
      plan({known: [replicaOf('a/1'), replicaOf('b/1'), silent, learning], members}),
    ).toBeNull();
    const known = [replicaOf('a/1'), replicaOf('b/1'), silent, replicaOf('d/1')];
    const {voters} = settle({known, lostDisks: 1, members, self: 'a/1'});
    expect([...voters].sort()).toEqual(['a/1', 'b/1', 'd/1']);
  });

  test('promotes the successor of a silent voter before the silent one is removed', () => {
    const voters = ['a/1', 'b/1', 'c/1', 'd/1', 'e/1'];
    const known = [...voters.slice(0, 4), 'f/1'].map((id) => replicaOf(id));
    const all = [...known, replicaOf('e/1', {caughtUp: false, silentMs: 3_000})];
    const before = {learners: ['f/1'], voters};
    const six = {learners: [], voters: [...voters, 'f/1']};
    expect(plan({known: all, lostDisks: 2, members: before})).toMatchObject({members: six});
    const five = {learners: [], voters: ['a/1', 'b/1', 'c/1', 'd/1', 'f/1']};
    expect(plan({known: all, lostDisks: 2, members: six})).toMatchObject({members: five});
  });

  test('demotes an excess voter to a learner when the silent one returns or a new leader finds six voters', () => {
    const voters = ['a/1', 'b/1', 'c/1', 'd/1', 'e/1', 'f/1'];
    const known = voters.map((id) => replicaOf(id));
    const next = {learners: ['f/1'], voters: voters.slice(0, 5)};
    const members = {learners: [], voters};
    expect(plan({known, lostDisks: 2, members})).toMatchObject({members: next});
    // A new leader can't know which voter is to be removed until all have answered it.
    const unsure = known.map((replica) => ({...replica, caughtUp: replica.id !== 'e/1'}));
    expect(plan({known: unsure, lostDisks: 2, members})).toBeNull();
  });

  test('removes the voter first that has been silent longest', () => {
    const voters = ['a/1', 'b/1', 'c/1', 'd/1', 'e/1', 'f/1'];
    const silent = [replicaOf('b/1', {silentMs: 3_000}), replicaOf('c/1', {silentMs: 9_000})];
    const known = ['a/1', 'd/1', 'e/1', 'f/1'].map((id) => replicaOf(id));
    const members = {learners: [], voters};
    const next = {learners: [], voters: voters.filter((id) => id !== 'c/1')};
    expect(plan({known: [...known, ...silent], lostDisks: 2, members})).toMatchObject({
      members: next,
    });
  });

  test('adds no second disk of a VM before its lost one is removed', () => {
    const lost = replicaOf('c/1', {silentMs: 400});
    const known = [replicaOf('a/1'), replicaOf('b/1'), lost, replicaOf('c/2', {caughtUp: false})];
    expect(plan({known})).toBeNull();
    const later = known.map((replica) =>
      replica.id === 'c/1' ? {...replica, silentMs: 600} : replica,
    );
    const two = {learners: [], voters: ['a/1', 'b/1']};
    expect(plan({known: later})).toMatchObject({members: two});
    // Of two disks of one VM, the one with the latest heartbeat is the current one.
    const stale = [
      replicaOf('a/1'),
      replicaOf('b/1'),
      replicaOf('c/1'),
      replicaOf('c/0', {silentMs: 800}),
    ];
    expect(plan({known: stale})).toBeNull();
  });

  test('adds the successor before it removes a voter that is to be emptied', () => {
    const known = [
      replicaOf('a/1'),
      replicaOf('b/1', {retiring: true}),
      replicaOf('c/1'),
      replicaOf('d/1'),
    ];
    const members = {learners: ['d/1'], voters: ['a/1', 'b/1', 'c/1']};
    expect(plan({known, members})).toMatchObject({members: {voters: ['a/1', 'b/1', 'c/1', 'd/1']}});
    expect([...settle({known, lostDisks: 1, members, self: 'a/1'}).voters].sort()).toEqual([
      'a/1',
      'c/1',
      'd/1',
    ]);
  });

  test('transfers leadership before the leader itself is removed', () => {
    const known = [
      replicaOf('a/1', {retiring: true}),
      ...['b/1', 'c/1', 'd/1'].map((id) => replicaOf(id)),
    ];
    const members = {learners: [], voters: ['a/1', 'b/1', 'c/1', 'd/1']};
    expect(plan({known, members})).toEqual({kind: 'handOver'});
  });

  test('always settles, one voter at a time, and keeps enough voters', async () => {
    const replica = fc.record({
      caughtUp: fc.boolean(),
      retiring: fc.boolean(),
      silentMs: fc.constantFrom(0, 2_000, 9_000),
    });
    const property = fc.property(
      fc.array(replica, {maxLength: 6, minLength: 3}),
      fc.nat(2),
      (all, lostDisks) => {
        const known = all.map((changes, at) => replicaOf(`${'abcdef'[at]}/1`, changes));
        known[0] = replicaOf('a/1');
        const first = known.slice(0, 3).map(({id}) => id);
        const {voters} = settle({
          known,
          lostDisks,
          members: {learners: [], voters: first},
          self: 'a/1',
        });
        expect(voters).toContain('a/1');
        expect(voters.length).toBeGreaterThanOrEqual(Math.min(3, 2 * lostDisks + 1));
      },
    );
    await assertHistories('members of a group', property, 400);
  });
});
