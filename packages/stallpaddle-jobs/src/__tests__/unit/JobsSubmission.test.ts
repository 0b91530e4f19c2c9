/**
 * Guards against items that are accepted and can be sent to no engine.
 */
import {describe, expect, test} from 'vitest';

import type {SubmittedItem} from '../../JobsTypes';

import {findSubmissionFault} from '../../JobsSubmission';

function itemOf(changes: Partial<SubmittedItem> = {}): SubmittedItem {
  const headers = [['Model', 'm']] as const;
  return {body: new Uint8Array(), headers, id: 'i', path: '/p/x', tokens: 1, ...changes};
}

describe('findSubmissionFault', () => {
  test('accepts letters beyond Latin-1, and all that HTTP allows', () => {
    const headers = [['x-note!', 'a\t– b']] as const;
    expect(
      findSubmissionFault([itemOf(), itemOf({headers, id: 'é-š 1', path: '/š?a=%20'})]),
    ).toBeNull();
  });

  test.each<[string, Partial<SubmittedItem>]>([
    ['no id', {id: ''}],
    ['an id with a line feed', {id: 'a\nb'}],
    ['a path with a blank', {path: '/a b'}],
    ['a path with a line feed', {path: '/a\nb'}],
    ['a path without a slash', {path: 'a'}],
    ['a header whose name has a blank', {headers: [['a b', 'c']]}],
    ['a header without a name', {headers: [['', 'c']]}],
    ['a header with a line feed', {headers: [['a', 'b\r\nc: d']]}],
  ])('names the item with %s', (_, changes) => {
    expect(findSubmissionFault([itemOf(), itemOf(changes)])).toMatch(/^Item 1: /);
  });
});
