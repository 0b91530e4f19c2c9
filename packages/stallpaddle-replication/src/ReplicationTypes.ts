/**
 * Messages, stored records and in-memory state of a replica.
 *
 * The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote, check-quorum, a leader
 * lease and single-server membership changes.
 */
import type {GroupId, MonotonicMs, ReplicaId} from 'stallpaddle';

import type {ReplicationLog} from './ReplicationLog';

/** Raft term; increases with each election. */
export type Term = number;
/** Position in the log, from 1. */
export type LogIndex = number;

/** Voters and learners of a group. */
export interface GroupMembers {
  /** Replicas that receive the log but have no vote. */
  readonly learners: readonly ReplicaId[];
  /** Replicas whose majority commits entries and elects the leader. */
  readonly voters: readonly ReplicaId[];
}

/** Content of a log entry. */
export type EntryPayload =
  | {
      readonly data: Uint8Array;
      /**
       * Time that the proposing leader measured on its monotonic clock since its previous command, or since its
       * election, in milliseconds. No two leaders count the same interval, so the sum never runs ahead of real time.
       * Absent in entries written by older releases.
       */
      readonly elapsedMs?: number;
      readonly kind: 'command';
    }
  | {readonly kind: 'members'; readonly members: GroupMembers}
  | {readonly kind: 'noop'};

/** Entry of the log. */
export interface LogEntry {
  readonly index: LogIndex;
  readonly payload: EntryPayload;
  readonly term: Term;
}

/** Raft state that survives restarts, besides the log. */
export interface HardState {
  /**
   * Commit index at the time of the write. It may lag behind, but without it a restarted replica could apply nothing
   * until a leader is elected.
   */
  readonly commit?: LogIndex;
  readonly term: Term;
  readonly votedFor: ReplicaId | null;
}

/** Log position that a snapshot covers, and the members at that position. */
export interface SnapshotMeta {
  readonly index: LogIndex;
  readonly members: GroupMembers;
  readonly term: Term;
}

/** Body of a message between replicas. */
export type MessageBody =
  /**
   * Keepalive of the leader and its reply. They carry no log position, so they may overtake other messages: an append
   * may be in transit for longer than a lease.
   */
  | {readonly kind: 'alive' | 'aliveReply'; readonly sentAt: MonotonicMs}
  | {
      /** `sentAt` of the newest append whose reply the leader has received; older releases omit it. */
      readonly answeredSentAt?: MonotonicMs;
      readonly commit: LogIndex;
      readonly entries: readonly LogEntry[];
      readonly kind: 'append';
      readonly prevIndex: LogIndex;
      readonly prevTerm: Term;
      /**
       * Monotonic time of the leader when it sent the append; echoed in the reply, from which the lease is computed.
       */
      readonly sentAt: MonotonicMs;
    }
  | {
      readonly kind: 'appendReply';
      /** Last matching index if `ok`, otherwise the last index that may match. */
      readonly lastIndex: LogIndex;
      readonly ok: boolean;
      readonly sentAt: MonotonicMs;
    }
  | {
      readonly kind: 'preVote' | 'vote';
      readonly lastIndex: LogIndex;
      readonly lastTerm: Term;
      /** Whether the leader of the previous term released its lease and requested this election. */
      readonly transfer: boolean;
    }
  | {readonly granted: boolean; readonly kind: 'preVoteReply' | 'voteReply'}
  | {readonly kind: 'timeoutNow'};

/** A message between two replicas of one group. */
export interface Message {
  readonly body: MessageBody;
  readonly from: ReplicaId;
  readonly group: GroupId;
  readonly term: Term;
  readonly to: ReplicaId;
}

/** Timing parameters shared by all replicas of a group. */
export interface ReplicationTiming {
  /** Shortest time without contact from a leader after which a replica starts an election, in milliseconds. */
  readonly electionTimeoutMs: number;
  /** Interval between heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Fraction of the lease given up to tolerate clocks that run at different rates. */
  readonly leaseDriftFraction: number;
}

/** Replication progress of another replica, as tracked by the leader. */
export interface Progress {
  /** When this leader started to replicate to the replica, which may not have replied yet. */
  readonly addedAt: MonotonicMs;
  /** `sentAt` of the newest message of any kind that the replica acknowledged: its process is alive and reachable. */
  readonly ackedSentAt: MonotonicMs;
  /** `sentAt` of the newest append that the replica acknowledged: its disk accepts writes and the log gets through. */
  readonly appendAckedSentAt: MonotonicMs;
  /** When the last `alive` message was sent to it. */
  readonly aliveSentAt: MonotonicMs;
  readonly lastSentAt: MonotonicMs;
  readonly match: LogIndex;
  readonly mode: 'probe' | 'replicate' | 'snapshot';
  readonly next: LogIndex;
}

/** A late clock tick of the leader. Nothing was sent since the previous tick, so no acknowledgement could arrive. */
export interface LateTick {
  readonly at: MonotonicMs;
  readonly lateMs: number;
}

/** Raft role of a replica, with the state that belongs to the role. */
export type Role =
  | {
      readonly kind: 'candidate' | 'preCandidate';
      readonly transfer: boolean;
      readonly votes: ReadonlySet<ReplicaId>;
    }
  | {readonly kind: 'follower'; readonly leader: ReplicaId | null}
  | {
      /**
       * Time up to which the commands of this leader have counted. It is part of the role, so that no time of another
       * term is counted.
       */
      readonly countedUntil: MonotonicMs;
      readonly kind: 'leader';
      /** Late ticks since the newest send that a majority has acknowledged. */
      readonly lateTicks: readonly LateTick[];
      /** Time of the last clock tick. */
      readonly lastTickAt: MonotonicMs;
      /** When the commit index last advanced, or when a tick last found every entry committed. */
      readonly commitAdvancedAt: MonotonicMs;
      readonly progress: ReadonlyMap<ReplicaId, Progress>;
      readonly since: MonotonicMs;
      /** Index of the first entry of this term; nothing may be read before it is committed. */
      readonly termStart: LogIndex;
    };

/** Whether a replica may read and decide for its group at a given time. */
export type Leadership =
  /** Another replica leads, or there is no leader. */
  | {readonly kind: 'follows'}
  /** It may serve reads from its own state and make decisions; no other replica may in its term. */
  | {readonly kind: 'leads'; readonly term: Term}
  /**
   * It was elected in this term and knows of no later one, but its lease has lapsed. It makes no decisions until the
   * lease is renewed or another leader becomes known.
   */
  | {readonly kind: 'unsure'; readonly term: Term};

/** Input of the replica state machine. */
export type ReplicationEvent =
  /** After a restart: applies the entries that are known to be committed. */
  | {readonly kind: 'applyKnown'}
  | {readonly kind: 'changeMembers'; readonly members: GroupMembers; readonly requestId: number}
  | {readonly commands: readonly ProposedCommand[]; readonly kind: 'propose'}
  | {readonly kind: 'message'; readonly message: Message}
  | {readonly index: LogIndex; readonly kind: 'persisted'; readonly term: Term}
  | {readonly kind: 'snapshotInstalled'; readonly meta: SnapshotMeta; readonly term: Term}
  | {
      readonly index: LogIndex;
      readonly kind: 'snapshotSent';
      readonly ok: boolean;
      readonly to: ReplicaId;
    }
  | {readonly kind: 'snapshotTaken'; readonly keepFrom: LogIndex; readonly meta: SnapshotMeta}
  | {readonly kind: 'tick'}
  | {readonly kind: 'transferLeadership'};

/** A command to append to the log. */
export interface ProposedCommand {
  readonly data: Uint8Array;
  readonly requestId: number;
}

/** Output of a step, executed by the driver. */
export type ReplicationEffect =
  | {readonly entries: readonly LogEntry[]; readonly kind: 'apply'}
  | {
      readonly entries: readonly LogEntry[];
      readonly hardState: HardState;
      /** Written and synced as one record; the entries replace any at the same or a later index. */
      readonly kind: 'persist';
    }
  | {
      /** The message depends on earlier writes: it is sent only once all of them are synced. */
      readonly afterPersist: boolean;
      readonly kind: 'send';
      readonly message: Message;
    }
  | {
      readonly index: LogIndex;
      readonly kind: 'proposed';
      readonly requestId: number;
      readonly term: Term;
    }
  | {readonly kind: 'rejected'; readonly leader: ReplicaId | null; readonly requestId: number}
  | {readonly kind: 'sendSnapshot'; readonly to: ReplicaId};

/** State after a step and the effects to execute, in order. */
export interface ReplicationStepResult {
  readonly effects: readonly ReplicationEffect[];
  readonly state: ReplicationState;
}

/** An append of the leader that a follower acknowledged. */
export interface AckedAppend {
  /** Time of the acknowledgement, on the clock of the follower. */
  readonly at: MonotonicMs;
  /** Time of sending, on the clock of the leader. */
  readonly sentAt: MonotonicMs;
}

/**
 * Appends of one term that a follower acknowledged, starting with the newest one whose acknowledgement the leader is
 * known to have received.
 */
export interface AckedAppends {
  readonly appends: readonly AckedAppend[];
  readonly term: Term;
}

/** State of one replica of a group. */
export interface ReplicationState {
  /** Appends acknowledged as a follower of the current term's leader; null before the first one. */
  readonly ackedAppends: AckedAppends | null;
  readonly applied: LogIndex;
  readonly commit: LogIndex;
  /**
   * Latest time at which this replica, as a follower, is known to have held everything its leader had committed;
   * -Infinity if never.
   */
  readonly caughtUpAt: MonotonicMs;
  readonly electionAt: MonotonicMs;
  /** Number of election timeouts drawn; input of the next draw, so that replicas time out at different moments. */
  readonly electionCount: number;
  readonly group: GroupId;
  /**
   * When a message of the current leader last arrived, or the replica started; no vote is granted for an election
   * timeout after that.
   */
  readonly leaderContactAt: MonotonicMs;
  readonly log: ReplicationLog;
  /** Last index known to be synced on this replica's disk. */
  readonly persisted: LogIndex;
  readonly role: Role;
  readonly self: ReplicaId;
  readonly term: Term;
  readonly timing: ReplicationTiming;
  readonly votedFor: ReplicaId | null;
}
