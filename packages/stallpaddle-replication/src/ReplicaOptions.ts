/**
 * What a replica is made of, how it reaches the others, and what it counts.
 */
import type {Clock, GroupId, Logger, ReplicaId} from 'stallpaddle';
import type {Disk} from 'stallpaddle-storage';

import type {ReplicaMachine} from './ReplicaMachine';
import type {MachineSnapshot} from './ReplicaStorage';
import type {Message, ReplicationTiming, Term} from './ReplicationTypes';

/** How a replica reaches the others. */
export interface ReplicaTransport {
  /** Sends without waiting; loss is allowed. */
  readonly send: (message: Message) => void;
  /** Brings a snapshot to another replica; false when it did not take it. */
  readonly sendSnapshot: (to: ReplicaId, source: SnapshotSource) => Promise<boolean>;
}

/** A snapshot to be brought to another replica. */
export interface SnapshotSource {
  /** Where the bulk data ends that the snapshot needs, in bytes. */
  readonly blobEnd: number;
  readonly group: GroupId;
  /** Reads bulk data as it lies, at most as much as asked for. */
  readonly readBlobs: (
    offset: number,
    most: number,
  ) => Promise<{readonly bytes: Uint8Array; readonly offset: number}>;
  readonly snapshot: MachineSnapshot;
  /** Term of the leader that brings it. */
  readonly term: Term;
}

/** What a replica is made of. */
export interface ReplicaOptions<State> {
  readonly clock: Clock;
  readonly disk: Disk;
  readonly group: GroupId;
  readonly logger: Logger;
  readonly machine: ReplicaMachine<State>;
  /** Called once when the replica ends after a failure. */
  readonly onFailure: (err: unknown) => void;
  readonly self: ReplicaId;
  /** Size of the log file at which a snapshot replaces it, in bytes. */
  readonly snapshotLogBytes?: number;
  readonly timing: ReplicationTiming;
  readonly transport: ReplicaTransport;
}

/** Counts since the start. */
export interface ReplicaCounters {
  /** Log entries applied. */
  readonly commits: number;
  /** Writes of the log that were made to last. */
  readonly syncs: number;
}
