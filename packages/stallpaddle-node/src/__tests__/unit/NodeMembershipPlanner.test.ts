/**
 * Who belongs to a group, step by step.
 */
import fc from 'fast-check';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {type KnownReplica, type MembershipInput, planMembers} from '../../NodeMembershipPlanner';

function heard(id: string, changes: Partial<KnownReplica> = {}): KnownReplica {
  return {caughtUp: true, id, retiring: false, silentMs: 0, ...changes};
}

function plan(changes: Partial<MembershipInput>) {
  return planMembers({
    known: ['a/1', 'b/1', 'c/1'].map((id) => heard(id)),
    lostDisks: 1,
    members: {learners: [], voters: ['a/1', 'b/1', 'c/1']},
    self: 'a/1',
    ...changes,
  });
}

/** Applies steps until there is none. */
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
  test('changes nothing while all is well', () => {
    expect(plan({})).toBeNull();
  });

  test('lets a voter go that came back with another disk, and takes the new disk in', () => {
    const known = [heard('a/1'), heard('b/1'), heard('c/1', {silentMs: 9_000}), heard('c/2')];
    const {voters} = settle({
      known,
      lostDisks: 1,
      members: {learners: [], voters: ['a/1', 'b/1', 'c/1']},
      self: 'a/1',
    });
    expect([...voters].sort()).toEqual(['a/1', 'b/1', 'c/2']);
  });

  test('keeps a voter that is only silent until another has caught up', () => {
    const silent = heard('c/1', {silentMs: 9_000});
    expect(plan({known: [heard('a/1'), heard('b/1'), silent]})).toBeNull();
    const learning = heard('d/1', {caughtUp: false});
    const members = {learners: ['d/1'], voters: ['a/1', 'b/1', 'c/1']};
    expect(plan({known: [heard('a/1'), heard('b/1'), silent, learning], members})).toBeNull();
    const known = [heard('a/1'), heard('b/1'), silent, heard('d/1')];
    const {voters} = settle({known, lostDisks: 1, members, self: 'a/1'});
    expect([...voters].sort()).toEqual(['a/1', 'b/1', 'd/1']);
  });

  test('gives the successor of a silent voter its vote before the silent one leaves', () => {
    const voters = ['a/1', 'b/1', 'c/1', 'd/1', 'e/1'];
    const known = [...voters.slice(0, 4), 'f/1'].map((id) => heard(id));
    const all = [...known, heard('e/1', {caughtUp: false, silentMs: 3_000})];
    const before = {learners: ['f/1'], voters};
    const six = {learners: [], voters: [...voters, 'f/1']};
    expect(plan({known: all, lostDisks: 2, members: before})).toMatchObject({members: six});
    const five = {learners: [], voters: ['a/1', 'b/1', 'c/1', 'd/1', 'f/1']};
    expect(plan({known: all, lostDisks: 2, members: six})).toMatchObject({members: five});
  });

  test('keeps the copy of one voter too many when the silent one is back, or the next leader finds six', () => {
    const voters = ['a/1', 'b/1', 'c/1', 'd/1', 'e/1', 'f/1'];
    const known = voters.map((id) => heard(id));
    const next = {learners: ['f/1'], voters: voters.slice(0, 5)};
    const members = {learners: [], voters};
    expect(plan({known, lostDisks: 2, members})).toMatchObject({members: next});
    // Until all have answered the next leader, it can't know who of them is about to go.
    const unsure = known.map((replica) => ({...replica, caughtUp: replica.id !== 'e/1'}));
    expect(plan({known: unsure, lostDisks: 2, members})).toBeNull();
  });

  test('lets the one go first that has been silent longest', () => {
    const voters = ['a/1', 'b/1', 'c/1', 'd/1', 'e/1', 'f/1'];
    const silent = [heard('b/1', {silentMs: 3_000}), heard('c/1', {silentMs: 9_000})];
    const known = ['a/1', 'd/1', 'e/1', 'f/1'].map((id) => heard(id));
    const members = {learners: [], voters};
    const next = {learners: [], voters: voters.filter((id) => id !== 'c/1')};
    expect(plan({known: [...known, ...silent], lostDisks: 2, members})).toMatchObject({
      members: next,
    });
  });

  test('takes no second disk of a VM in before its lost one has left', () => {
    const lost = heard('c/1', {silentMs: 400});
    const known = [heard('a/1'), heard('b/1'), lost, heard('c/2', {caughtUp: false})];
    expect(plan({known})).toBeNull();
    const later = known.map((replica) =>
      replica.id === 'c/1' ? {...replica, silentMs: 600} : replica,
    );
    const two = {learners: [], voters: ['a/1', 'b/1']};
    expect(plan({known: later})).toMatchObject({members: two});
    // Of two disks of one VM the one that speaks is the present one.
    const stale = [heard('a/1'), heard('b/1'), heard('c/1'), heard('c/0', {silentMs: 800})];
    expect(plan({known: stale})).toBeNull();
  });

  test('takes the successor in before it lets go of one that is to be emptied', () => {
    const known = [heard('a/1'), heard('b/1', {retiring: true}), heard('c/1'), heard('d/1')];
    const members = {learners: ['d/1'], voters: ['a/1', 'b/1', 'c/1']};
    expect(plan({known, members})).toMatchObject({members: {voters: ['a/1', 'b/1', 'c/1', 'd/1']}});
    expect([...settle({known, lostDisks: 1, members, self: 'a/1'}).voters].sort()).toEqual([
      'a/1',
      'c/1',
      'd/1',
    ]);
  });

  test('hands leadership over before the leader itself is emptied', () => {
    const known = [heard('a/1', {retiring: true}), ...['b/1', 'c/1', 'd/1'].map((id) => heard(id))];
    const members = {learners: [], voters: ['a/1', 'b/1', 'c/1', 'd/1']};
    expect(plan({known, members})).toEqual({kind: 'handOver'});
  });

  test('always settles, one voter at a time, and never below what is heard', async () => {
    const replica = fc.record({
      caughtUp: fc.boolean(),
      retiring: fc.boolean(),
      silentMs: fc.constantFrom(0, 2_000, 9_000),
    });
    const property = fc.property(
      fc.array(replica, {maxLength: 6, minLength: 3}),
      fc.nat(2),
      (all, lostDisks) => {
        const known = all.map((changes, at) => heard(`${'abcdef'[at]}/1`, changes));
        known[0] = heard('a/1');
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
