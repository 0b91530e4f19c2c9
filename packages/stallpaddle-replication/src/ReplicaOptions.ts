/**
 * Options, transport and counters of a replica.
 */
import type {Clock, GroupId, Logger, ReplicaId} from 'stallpaddle';
import type {Disk} from 'stallpaddle-storage';

import type {ReplicaMachine} from './ReplicaMachine';
import type {MachineSnapshot} from './ReplicaStorage';
import type {Message, ReplicationTiming, Term} from './ReplicationTypes';

/** Transport to the other replicas of the group. */
export interface ReplicaTransport {
  /** Sends a message without waiting; it may be lost. */
  readonly send: (message: Message) => void;
  /** Transfers a snapshot to another replica; resolves to false if it was not installed. */
  readonly sendSnapshot: (to: ReplicaId, source: SnapshotSource) => Promise<boolean>;
}

/** A snapshot to transfer to another replica. */
export interface SnapshotSource {
  /** End of the bulk data that the snapshot refers to, in bytes. */
  readonly blobEnd: number;
  readonly group: GroupId;
  /** Reads raw bulk data, at most the requested number of bytes. */
  readonly readBlobs: (
    offset: number,
    maxBytes: number,
  ) => Promise<{readonly bytes: Uint8Array; readonly offset: number}>;
  readonly snapshot: MachineSnapshot;
  /** Term of the sending leader. */
  readonly term: Term;
}

/** Dependencies and settings of a replica. */
export interface ReplicaOptions<State> {
  readonly clock: Clock;
  readonly disk: Disk;
  readonly group: GroupId;
  readonly logger: Logger;
  readonly machine: ReplicaMachine<State>;
  /** Called once if the replica stops after a failure. */
  readonly onFailure: (err: unknown) => void;
  readonly self: ReplicaId;
  /** Size of the log file above which a snapshot is taken, in bytes. */
  readonly snapshotLogBytes?: number;
  readonly timing: ReplicationTiming;
  readonly transport: ReplicaTransport;
}

/** Counters since the start of the process. */
export interface ReplicaCounters {
  /** Log entries applied. */
  readonly commits: number;
  /** Synced writes of the log. */
  readonly syncs: number;
}
