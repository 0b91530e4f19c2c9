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
});
