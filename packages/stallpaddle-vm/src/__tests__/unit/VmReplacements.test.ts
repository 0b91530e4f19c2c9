import type {ReplacementConfig} from 'stallpaddle-control';
import type {GroupMembers} from 'stallpaddle-replication';

import {describe, expect, test} from 'vitest';

import {nextMembers} from '../../VmReplacements';

const REPLACEMENT = {group: 'g', joining: 'd/2', leaving: 'c/1'};

describe('nextMembers', () => {
  test('adds a learner, promotes it, then removes the leaving replica, one change at a time', () => {
    const first = {learners: [], voters: ['a/1', 'b/1', 'c/1']};
    const learning = {learners: ['d/2'], voters: ['a/1', 'b/1', 'c/1']};
    const four = {learners: [], voters: ['a/1', 'b/1', 'c/1', 'd/2']};
    const three = {learners: [], voters: ['a/1', 'b/1', 'd/2']};
    expect(nextMembers(first, REPLACEMENT, false)).toEqual(learning);
    expect(nextMembers(learning, REPLACEMENT, false)).toBe('wait');
    expect(nextMembers(learning, REPLACEMENT, true)).toEqual(four);
    expect(nextMembers(four, REPLACEMENT, true)).toEqual(three);
    expect(nextMembers(three, REPLACEMENT, true)).toBe('ended');
  });

  /** Returns the members after each step of replacements that alternate in one group, with caught-up learners. */
  function steps(replacements: readonly ReplacementConfig[]): readonly GroupMembers[] {
    const seen: GroupMembers[] = [{learners: [], voters: ['a/1', 'b/1', 'c/1']}];
    for (let step = 0; step < 12; step++) {
      const next = nextMembers(seen.at(-1)!, replacements[step % replacements.length]!, true);
      if (typeof next === 'object') {
        seen.push(next);
      }
    }
    return seen;
  }

  test('never leaves fewer voters than before, even if two replacements alternate', () => {
    const seen = steps([REPLACEMENT, {group: 'g', joining: 'e/2', leaving: 'b/1'}]);
    expect(Math.min(...seen.map(({voters}) => voters.length))).toBe(3);
    expect([...seen.at(-1)!.voters].sort()).toEqual(['a/1', 'd/2', 'e/2']);
    for (const [at, {voters}] of seen.entries()) {
      const before = seen[Math.max(0, at - 1)]!.voters;
      const changed = [...voters, ...before].filter(
        (id) => !voters.includes(id) || !before.includes(id),
      );
      expect(changed.length).toBeLessThanOrEqual(1);
    }
  });
});
