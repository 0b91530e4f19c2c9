/**
 * Data that replicas of a group exchange and keep.
 *
 * The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote,
 * check-quorum, a leader lease and membership changes of one replica at a time.
 */
import type {GroupId, MonotonicMs, ReplicaId} from 'stallpaddle';

import type {ReplicationLog} from './ReplicationLog';

/** Election period; rises by one with each election. */
export type Term = number;
/** Position in the log, from 1. */
export type LogIndex = number;

/** Who holds copies of the log. */
export interface GroupMembers {
  /** Receive the log without a vote. */
  readonly learners: readonly ReplicaId[];
  /** A majority of these decides. */
  readonly voters: readonly ReplicaId[];
}

/** What a log entry carries. */
export type EntryPayload =
  | {
      readonly data: Uint8Array;
      /**
       * Time that the proposing leader counted since its last command, or since it was elected, by its steady clock,
       * in milliseconds. Sums of it never run ahead of time: no two leaders count the same time. Entries of releases
       * before it have none.
       */
      readonly elapsedMs?: number;
      readonly kind: 'command';
    }
  | {readonly kind: 'members'; readonly members: GroupMembers}
  | {readonly kind: 'noop'};

/** One place in the log. */
export interface LogEntry {
  readonly index: LogIndex;
  readonly payload: EntryPayload;
  readonly term: Term;
}

/** What a replica must never forget between restarts, besides its log. */
export interface HardState {
  /**
   * Index known to be committed when this was written. It may lag, and then a restart knows less; without
   * it a restarted replica could show nothing until a leader was elected.
   */
  readonly commit?: LogIndex;
  readonly term: Term;
  readonly votedFor: ReplicaId | null;
}

/** The place in the log that a snapshot stands for. */
export interface SnapshotMeta {
  readonly index: LogIndex;
  readonly members: GroupMembers;
  readonly term: Term;
}

/** Body of a message between replicas. */
export type MessageBody =
  /**
   * A leader's word that it lives, and the answer. They say nothing of the log, so they may overtake other messages:
   * what is under way to a replica may take longer than a lease.
   */
  | {readonly kind: 'alive' | 'aliveReply'; readonly sentAt: MonotonicMs}
  | {
      /** When the leader sent the newest append that the receiver has answered; earlier releases don't tell. */
      readonly answeredSentAt?: MonotonicMs;
      readonly commit: LogIndex;
      readonly entries: readonly LogEntry[];
      readonly kind: 'append';
      readonly prevIndex: LogIndex;
      readonly prevTerm: Term;
      /** Leader's monotonic time at sending; comes back in the reply and dates the lease. */
      readonly sentAt: MonotonicMs;
    }
  | {
      readonly kind: 'appendReply';
      /** Last index known to match when `ok`; else the place to try next. */
      readonly lastIndex: LogIndex;
      readonly ok: boolean;
      readonly sentAt: MonotonicMs;
    }
  | {
      readonly kind: 'preVote' | 'vote';
      readonly lastIndex: LogIndex;
      readonly lastTerm: Term;
      /** The leader of the last term asked for this election and gave up its lease. */
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

/** Times that every replica of a group shares. */
export interface ReplicationTiming {
  /** Shortest silence after which a replica stands for election, in milliseconds. */
  readonly electionTimeoutMs: number;
  /** Time between heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Part of the lease given up for clocks that run at different speeds. */
  readonly leaseDriftFraction: number;
}

/** What the leader knows of another replica. */
export interface Progress {
  /** When this leader began to send to the replica: it may have answered nothing yet. */
  readonly addedAt: MonotonicMs;
  /** `sentAt` of the newest message of any kind that the replica answered: its process lives, and hears this leader. */
  readonly ackedSentAt: MonotonicMs;
  /** `sentAt` of the newest append that the replica answered: its disk takes what comes, and the log gets through. */
  readonly appendAckedSentAt: MonotonicMs;
  /** When it was last told that the leader lives, apart from appends. */
  readonly aliveSentAt: MonotonicMs;
  readonly lastSentAt: MonotonicMs;
  readonly match: LogIndex;
  readonly mode: 'probe' | 'replicate' | 'snapshot';
  readonly next: LogIndex;
}

/** A leader's look at its clock that came late: it sent nothing meanwhile, so nobody could answer. */
export interface LateTick {
  readonly at: MonotonicMs;
  readonly lateMs: number;
}

/** What a replica does at present. */
export type Role =
  | {
      readonly kind: 'candidate' | 'preCandidate';
      readonly transfer: boolean;
      readonly votes: ReadonlySet<ReplicaId>;
    }
  | {readonly kind: 'follower'; readonly leader: ReplicaId | null}
  | {
      /** Up to when this leader's commands have counted the time. It ends with the role, so no other term's is in it. */
      readonly countedUntil: MonotonicMs;
      readonly kind: 'leader';
      /** Its late looks since the last send that a majority has answered. */
      readonly lateTicks: readonly LateTick[];
      /** When it last looked at its clock. */
      readonly lastTickAt: MonotonicMs;
      /** When a command was last recorded, or none waited for it. */
      readonly commitAdvancedAt: MonotonicMs;
      readonly progress: ReadonlyMap<ReplicaId, Progress>;
      readonly since: MonotonicMs;
      /** Index of this term's first entry; until it is committed nothing may be read. */
      readonly termStart: LogIndex;
    };

/** What a replica may do for its group at a moment. */
export type Leadership =
  /** Another replica leads, or nobody. */
  | {readonly kind: 'follows'}
  /** It may answer from its own state and decide; in its term nobody else does. */
  | {readonly kind: 'leads'; readonly term: Term}
  /**
   * It was elected in the term and knows of no later one, but its lease doesn't run: it decides nothing until the lease
   * runs again, or it is known that another leads.
   */
  | {readonly kind: 'unsure'; readonly term: Term};

/** What happens to a replica. */
export type ReplicationEvent =
  /** A restart: what was known to be committed before goes to the state machine. */
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

/** A command that waits for its place in the log. */
export interface ProposedCommand {
  readonly data: Uint8Array;
  readonly requestId: number;
}

/** What the driver must do after a step. */
export type ReplicationEffect =
  | {readonly entries: readonly LogEntry[]; readonly kind: 'apply'}
  | {
      readonly entries: readonly LogEntry[];
      readonly hardState: HardState;
      /** Write and sync as one record; entries replace any at the same or a later index. */
      readonly kind: 'persist';
    }
  | {
      /** The message speaks for what was written: send it only once all earlier writes are synced. */
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

/** State after a step and what must be done for it. */
export interface ReplicationStepResult {
  readonly effects: readonly ReplicationEffect[];
  readonly state: ReplicationState;
}

/** A leader's append that a follower answered. */
export interface AckedAppend {
  /** When, by the follower's clock. */
  readonly at: MonotonicMs;
  /** When it was sent, by the leader's clock. */
  readonly sentAt: MonotonicMs;
}

/** Appends of a term's leader that a follower answered, from the last whose answer surely came to the latest. */
export interface AckedAppends {
  readonly appends: readonly AckedAppend[];
  readonly term: Term;
}

/** Everything that a replica of a group knows. */
export interface ReplicationState {
  /** What this replica answered as a follower of its term's leader; null before the first answer. */
  readonly ackedAppends: AckedAppends | null;
  readonly applied: LogIndex;
  readonly commit: LogIndex;
  /** When this replica last held all that its leader had committed, as a follower; -Infinity before it ever did. */
  readonly caughtUpAt: MonotonicMs;
  readonly electionAt: MonotonicMs;
  /** Number of timeouts drawn so far; spreads elections of different replicas. */
  readonly electionCount: number;
  readonly group: GroupId;
  /** When a current leader was last heard, or the start: until the timeout no vote is given. */
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
