/**
 * Replicated log: the Raft state machine and the driver that runs it.
 */
export {LOG_BYTES_BEFORE_SNAPSHOT, SNAPSHOT_CHUNK_BYTES} from './ReplicaConstants';
export {ReplicaDriver} from './ReplicaDriver';
export {NotLeaderError, OutcomeUnknownError, ReplicaStoppedError} from './ReplicaErrors';
export {loadIdentity} from './ReplicaIdentity';
export type {GroupMs, MachineResult, PlacedBlob, ReplicaMachine} from './ReplicaMachine';
export type {
  ReplicaCounters,
  ReplicaOptions,
  ReplicaTransport,
  SnapshotSource,
} from './ReplicaOptions';
export {type MachineSnapshot, ReplicaStorage} from './ReplicaStorage';
export {DEFAULT_TIMING} from './ReplicationConstants';
export {wantsSnapshot} from './ReplicationFollower';
export {
  holdsLease,
  isMajority,
  leadershipOf,
  leaseUntil,
  majorityValue,
  votersWithEntry,
} from './ReplicationLease';
export {EMPTY_SNAPSHOT, ReplicationLog} from './ReplicationLog';
export {
  isCaughtUp,
  isUrgent,
  knownLeader,
  type ReplicaStart,
  startReplica,
  stepReplica,
} from './ReplicationStep';
export type {
  EntryPayload,
  GroupMembers,
  HardState,
  Leadership,
  LogEntry,
  LogIndex,
  Message,
  MessageBody,
  Progress,
  ReplicationEffect,
  ReplicationEvent,
  ReplicationState,
  ReplicationTiming,
  SnapshotMeta,
  Term,
} from './ReplicationTypes';
