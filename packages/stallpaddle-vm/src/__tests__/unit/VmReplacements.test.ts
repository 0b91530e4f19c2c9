import type {ReplacementConfig} from 'stallpaddle-control';
import type {GroupMembers} from 'stallpaddle-replication';

import {describe, expect, test} from 'vitest';

import {nextMembers} from '../../VmReplacements';

const REPLACEMENT = {group: 'g', joining: 'd/2', leaving: 'c/1'};

describe('nextMembers', () => {
  test('copies first, gives the vote, then takes the lost one out, one replica at a time', () => {
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

  /** All steps of replacements that take turns in one group, each learner caught up when its turn comes. */
  function steps(replacements: readonly ReplacementConfig[]): readonly GroupMembers[] {
    const seen: GroupMembers[] = [{learners: [], voters: ['a/1', 'b/1', 'c/1']}];
    for (let turn = 0; turn < 12; turn++) {
      const next = nextMembers(seen.at(-1)!, replacements[turn % replacements.length]!, true);
      if (typeof next === 'object') {
        seen.push(next);
      }
    }
    return seen;
  }

  test('never leaves fewer voters than there were, also while two replacements take turns', () => {
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
