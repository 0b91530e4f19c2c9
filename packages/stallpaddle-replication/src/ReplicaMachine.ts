/**
 * Replicated state machine of a group, with bulk data stored beside the log.
 */
import type {BlobRef} from 'stallpaddle-storage';

/**
 * Time on the logical clock of a group, in milliseconds: the sum of the elapsed times recorded by its leaders, never
 * ahead of real time.
 */
export type GroupMs = number;

/** Bulk data of an applied command, with its location in the segment files. */
export interface PlacedBlob {
  readonly payload: Uint8Array;
  readonly ref: BlobRef;
}

/** Result of applying one command. */
export interface MachineResult<State> {
  readonly blobs: readonly PlacedBlob[];
  /** Returned to the proposer of the command. */
  readonly result: unknown;
  readonly state: State;
}

/** Deterministic state machine without side effects: all replicas reach the same state from the same commands. */
export interface ReplicaMachine<State> {
  /** Applies a command; `elapsedMs` is the time since the previous command, as recorded by the leader. */
  readonly apply: (state: State, command: Uint8Array, elapsedMs: number) => MachineResult<State>;
  /** End of the bulk data that the state refers to, in bytes. */
  readonly blobEnd: (state: State) => number;
  readonly decode: (bytes: Uint8Array) => State;
  readonly encode: (state: State) => Uint8Array;
  readonly initial: () => State;
}
