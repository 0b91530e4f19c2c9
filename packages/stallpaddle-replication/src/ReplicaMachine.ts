/**
 * What a group replicates: a deterministic state machine with bulk data beside it.
 */
import type {BlobRef} from 'stallpaddle-storage';

/** Time of a group's own clock, in milliseconds: the sum of what its leaders counted, never ahead of time. */
export type GroupMs = number;

/** Bulk data that an applied command puts into the segment files. */
export interface PlacedBlob {
  readonly payload: Uint8Array;
  readonly ref: BlobRef;
}

/** Outcome of one command. */
export interface MachineResult<State> {
  readonly blobs: readonly PlacedBlob[];
  /** Answer to whoever proposed the command. */
  readonly result: unknown;
  readonly state: State;
}

/** Pure and deterministic: all replicas reach the same state from the same commands. */
export interface ReplicaMachine<State> {
  /** Applies a command; `elapsedMs` is the time since the command before it, counted by the group's leaders. */
  readonly apply: (state: State, command: Uint8Array, elapsedMs: number) => MachineResult<State>;
  /** End of the bulk data that the state refers to, in bytes. */
  readonly blobEnd: (state: State) => number;
  readonly decode: (bytes: Uint8Array) => State;
  readonly encode: (state: State) => Uint8Array;
  readonly initial: () => State;
}
