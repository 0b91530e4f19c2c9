/**
 * A state machine for tests: a list of texts, most of them with bulk data.
 */
import type {ReplicaMachine} from 'stallpaddle-replication';
import type {BlobRef} from 'stallpaddle-storage';

import {decodeValue, encodeValue} from 'stallpaddle';
import {placeBlob} from 'stallpaddle-storage';

/** Begins a text that brings no bulk data. */
export const BARE = '#';

/** One command, as it was applied. */
export interface ListItem {
  /** Null for a text that brings no bulk data. */
  readonly ref: BlobRef | null;
  readonly text: string;
}

/** All commands, in order. */
export interface ListState {
  readonly blobEnd: number;
  readonly items: readonly ListItem[];
}

/**
 * Bulk data of a text.
 *
 * @param text the text
 */
export function bulkOf(text: string): Buffer {
  return Buffer.from(`bulk of ${text}`);
}

/** See the module's comment. */
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
