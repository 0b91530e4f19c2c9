/** A replicated state machine for tests. */
import type {ReplicaMachine} from 'stallpaddle-replication';
import type {BlobRef} from 'stallpaddle-storage';

import {decodeValue, encodeValue} from 'stallpaddle';
import {placeBlob} from 'stallpaddle-storage';

/** Prefix of a text without bulk data. */
export const BARE = '#';

/** An applied command. */
export interface ListItem {
  /** Null for a text without bulk data. */
  readonly ref: BlobRef | null;
  readonly text: string;
}

/** All applied commands, in order. */
export interface ListState {
  readonly blobEnd: number;
  readonly items: readonly ListItem[];
}

/**
 * Returns the bulk data that belongs to a text.
 *
 * @param text text of the command
 */
export function bulkOf(text: string): Buffer {
  return Buffer.from(`bulk of ${text}`);
}

/** Appends each command's text to a list, with bulk data in a blob unless the text starts with {@link BARE}. */
export const listMachine: ReplicaMachine<ListState> = {
  apply: ({blobEnd, items}, command) => {
    const text = Buffer.from(command).toString();
    if (text.startsWith(BARE)) {
      const state = {blobEnd, items: [...items, {ref: null, text}]};
      return {blobs: [], result: null, state};
    }
    const payload = bulkOf(text);
    const {end, ref} = placeBlob(blobEnd, payload.length);
    const state = {blobEnd: end, items: [...items, {ref, text}]};
    return {blobs: [{payload, ref}], result: ref, state};
  },
  blobEnd: ({blobEnd}) => blobEnd,
  decode: (bytes) => decodeValue<ListState>(bytes),
  encode: (state) => encodeValue(state),
  initial: () => ({blobEnd: 0, items: []}),
};
