import type {ReplicaId} from 'stallpaddle';

/**
 * A group of replicas under a test's control: messages, disks, clocks and failures are all its own.
 *
 * It stands in for the drivers only; every decision is the product's own `stepReplica`.
 */
import type {
  GroupMembers,
  HardState,
  LogEntry,
  Message,
  ReplicationEvent,
  ReplicationState,
  SnapshotMeta,
} from '../../ReplicationTypes';

import {addToBatch} from '../../ReplicaStorage';
import {wantsSnapshot} from '../../ReplicationFollower';
import {holdsLease} from '../../ReplicationLease';
import {EMPTY_SNAPSHOT, ReplicationLog} from '../../ReplicationLog';
import {isCaughtUp, startReplica, stepReplica} from '../../ReplicationStep';

const TIMING = {electionTimeoutMs: 100, heartbeatMs: 20, leaseDriftFraction: 0.2};
/** Sums of times that aren't whole, in milliseconds. */
const ROUNDING_MS = 0.001;
const NO_HARD_STATE: HardState = {term: 0, votedFor: null};

interface Snapshot {
  readonly applied: readonly string[];
  readonly meta: SnapshotMeta;
}

interface DurableDisk {
  entries: readonly LogEntry[];
  hardState: HardState;
  snapshot: Snapshot;
}

interface Write {
  readonly entries: LogEntry[];
  hardState: HardState | undefined;
  readonly sends: Message[];
}

interface Replica {
  applied: string[];
  /** This replica's clock runs at so many times the world's. */
  readonly clockRate: number;
  readonly disk: DurableDisk;
  frozenUntil: number;
  /** Undefined while the process is down. */
  state: ReplicationState | undefined;
  waiters: Map<number, {readonly command: string; readonly term: number}>;
  write: Write;
}

/** Something under way between two replicas. */
type Parcel =
  | {
      readonly from: ReplicaId;
      readonly kind: 'message';
      readonly message: Message;
      readonly to: ReplicaId;
    }
  | {
      readonly from: ReplicaId;
      readonly kind: 'snapshot';
      readonly snapshot: Snapshot;
      readonly term: number;
      readonly to: ReplicaId;
    };

/** A broken promise. */
export class SafetyError extends Error {
  override readonly name = 'SafetyError';
}

/** See the module's comment. */
export class ReplicationCluster {
  /** Commands that a leader has acknowledged. */
  readonly acknowledged: string[] = [];
  /** When each of them was. */
  private readonly acknowledgedAt: number[] = [];
  /** Times that a follower has said as of when it holds all. */
  completions = 0;
  /** One-way cuts, as `from>to`. */
  readonly cuts = new Set<string>();
  now = 1000;
  readonly parcels: Parcel[] = [];
  readonly replicas = new Map<ReplicaId, Replica>();
  private readonly committed: string[] = [];
  /** Time that each committed command counted, by index. */
  private readonly counted: number[] = [];
  private nextRequest = 0;
  private readonly startedAt = this.now;

  /**
   * @param ids first members
   */
  constructor(ids: readonly ReplicaId[]) {
    const members: GroupMembers = {learners: [], voters: ids};
    ids.forEach((id, index) => this.addReplica(id, 0.95 + 0.05 * (index % 3), members));
  }

  /** Names of all replicas, in order. */
  get ids(): readonly ReplicaId[] {
    return [...this.replicas.keys()];
  }

  /** Time that all committed commands have counted, in milliseconds. */
  get countedMs(): number {
    return this.counted.reduce((total, ms) => total + ms, 0);
  }

  /** Adds a replica; without members its disk is empty. */
  addReplica(id: ReplicaId, clockRate: number, members: GroupMembers | null): void {
    const meta = members === null ? EMPTY_SNAPSHOT : {index: 0, members, term: 0};
    this.replicas.set(id, {
      applied: [],
      clockRate,
      disk: {entries: [], hardState: NO_HARD_STATE, snapshot: {applied: [], meta}},
      frozenUntil: 0,
      state: undefined,
      waiters: new Map(),
      write: {entries: [], hardState: undefined, sends: []},
    });
    this.restart(id);
  }

  /** Replicas that lead and whose lease runs, on their own clocks. */
  leaseHolders(): readonly ReplicaId[] {
    return this.ids.filter((id) => {
      const {state} = this.replicas.get(id)!;
      return state !== undefined && holdsLease(state, this.clockOf(id));
    });
  }

  /** Ends a process; what was not synced is gone. */
  crash(id: ReplicaId): void {
    const replica = this.replicas.get(id)!;
    replica.state = undefined;
    replica.waiters = new Map();
    replica.write = {entries: [], hardState: undefined, sends: []};
  }

  /** Starts a process from its disk. */
  restart(id: ReplicaId): void {
    const replica = this.replicas.get(id)!;
    if (replica.state !== undefined) {
      return;
    }
    const {entries, hardState, snapshot} = replica.disk;
    const log = ReplicationLog.restore(snapshot.meta, entries);
    replica.applied = [...snapshot.applied];
    replica.state = startReplica(
      {group: 'g', hardState, log, self: id, timing: TIMING},
      this.clockOf(id),
    );
  }

  /** Removes a replica and its disk for good. */
  loseForGood(id: ReplicaId): void {
    this.replicas.delete(id);
  }

  /** Stops a process from doing anything for a time; its clock runs on. */
  freeze(id: ReplicaId, ms: number): void {
    this.replicas.get(id)!.frozenUntil = this.now + ms;
  }

  /** Lets time pass and every running process look at its clock. */
  advance(ms: number): void {
    this.now += ms;
    this.ids.forEach((id) => this.event(id, {kind: 'tick'}));
    this.checkLease();
  }

  /** Proposes a command at a replica. */
  propose(id: ReplicaId, command: string): void {
    const requestId = this.nextRequest++;
    const data = Buffer.from(command);
    this.event(id, {commands: [{data, requestId}], kind: 'propose'});
  }

  /** Asks a replica to change the members; it does so if it leads. */
  changeMembers(id: ReplicaId, members: GroupMembers): void {
    this.event(id, {kind: 'changeMembers', members, requestId: this.nextRequest++});
  }

  /** Syncs what a replica has written, and lets go of the messages that waited for it. */
  sync(id: ReplicaId): void {
    const replica = this.replicas.get(id);
    if (replica?.state === undefined || this.isFrozen(id)) {
      return;
    }
    const {write} = replica;
    replica.write = {entries: [], hardState: undefined, sends: []};
    if (write.hardState !== undefined) {
      const entries = [...replica.disk.entries];
      addToBatch(entries, write.entries);
      replica.disk.entries = entries;
      replica.disk.hardState = write.hardState;
    }
    write.sends.forEach((message) => this.post(message));
    const last = write.entries.at(-1);
    if (last !== undefined) {
      this.event(id, {index: last.index, kind: 'persisted', term: last.term});
    }
  }

  /** Takes and syncs a snapshot of what a replica has applied, keeping a few entries. */
  snapshot(id: ReplicaId, keep: number): void {
    const replica = this.replicas.get(id);
    const state = replica?.state;
    if (replica === undefined || state === undefined || this.isFrozen(id)) {
      return;
    }
    const {applied, log} = state;
    if (applied <= log.snapshot.index) {
      return;
    }
    const meta = {index: applied, members: log.membersAt(applied), term: log.termAt(applied)!};
    replica.disk.snapshot = {applied: [...replica.applied], meta};
    this.event(id, {keepFrom: applied - keep, kind: 'snapshotTaken', meta});
    const kept = replica.state!.log;
    replica.disk.entries = kept.entriesFrom(kept.firstIndex, Infinity);
    const {commit, term, votedFor} = state;
    replica.disk.hardState = {commit, term, votedFor};
  }

  /** Delivers a parcel, or loses it when it is cut off. */
  deliver(position: number, keep: boolean): void {
    const parcel = this.parcels[position];
    if (parcel === undefined) {
      return;
    }
    if (!keep) {
      this.parcels.splice(position, 1);
    }
    if (this.isFrozen(parcel.to) || this.cuts.has(`${parcel.from}>${parcel.to}`)) {
      return;
    }
    switch (parcel.kind) {
      case 'message':
        this.event(parcel.to, {kind: 'message', message: parcel.message});
        return;
      case 'snapshot':
        this.install(parcel);
        return;
    }
  }

  /** Hands a replica a message as if it had just arrived. */
  inject(message: Message): void {
    this.event(message.to, {kind: 'message', message});
  }

  /** Delivers the parcels from one replica to another, in order; the others stay. */
  deliverBetween(from: ReplicaId, to: ReplicaId): void {
    for (let position = 0; position < this.parcels.length;) {
      const parcel = this.parcels[position]!;
      if (parcel.from === from && parcel.to === to) {
        this.deliver(position, false);
      } else {
        position++;
      }
    }
  }

  /** Messages under way from a replica. */
  messagesFrom(from: ReplicaId): readonly Message[] {
    return this.parcels.flatMap((parcel) =>
      parcel.kind === 'message' && parcel.from === from ? [parcel.message] : [],
    );
  }

  /** Loses a parcel. */
  drop(position: number): void {
    this.parcels.splice(position, 1);
  }

  /** Runs everything without failures for a time. */
  settle(ms: number): void {
    this.cuts.clear();
    const until = this.now + ms;
    while (this.now < until) {
      this.ids.forEach((id) => this.restart(id));
      this.advance(5);
      for (let round = 0; round < 4; round++) {
        this.ids.forEach((id) => this.sync(id));
        for (let left = this.parcels.length; left > 0; left--) {
          this.deliver(0, false);
        }
      }
    }
  }

  /** Whether a learner has caught up, as the leader sees it. */
  caughtUp(leader: ReplicaId, learner: ReplicaId): boolean {
    const state = this.replicas.get(leader)?.state;
    return state !== undefined && isCaughtUp(state, learner);
  }

  /** Checks that every acknowledged command is in every replica's applied ones, once, in order. */
  checkConverged(): void {
    const holders = this.leaseHolders();
    if (holders.length !== 1) {
      throw new SafetyError(`${holders.length} replicas hold a lease after the failures`);
    }
    const leader = this.replicas.get(holders[0]!)!;
    for (const command of this.acknowledged) {
      const times = leader.applied.filter((applied) => applied === command).length;
      if (times !== 1) {
        throw new SafetyError(`acknowledged ${command} is applied ${times} times`);
      }
    }
  }

  /** A replica's own clock, in milliseconds. */
  clockOf(id: ReplicaId): number {
    return this.now * this.replicas.get(id)!.clockRate;
  }

  private isFrozen(id: ReplicaId): boolean {
    return (this.replicas.get(id)?.frozenUntil ?? 0) > this.now;
  }

  private event(id: ReplicaId, event: ReplicationEvent): void {
    const replica = this.replicas.get(id);
    if (replica?.state === undefined || this.isFrozen(id)) {
      return;
    }
    const {caughtUpAt: completeAt} = replica.state;
    const {effects, state} = stepReplica(replica.state, event, this.clockOf(id));
    replica.state = state;
    for (const effect of effects) {
      switch (effect.kind) {
        case 'apply':
          effect.entries.forEach((entry) => this.apply(id, replica, entry));
          break;
        case 'persist':
          replica.write.hardState = effect.hardState;
          addToBatch(replica.write.entries, effect.entries);
          break;
        case 'proposed': {
          const [entry] = state.log.entriesFrom(effect.index, 0);
          if (entry?.payload.kind === 'command') {
            const command = Buffer.from(entry.payload.data).toString();
            replica.waiters.set(effect.index, {command, term: effect.term});
          }
          break;
        }
        case 'rejected':
          break;
        case 'send':
          if (effect.afterPersist && replica.write.hardState !== undefined) {
            replica.write.sends.push(effect.message);
          } else {
            this.post(effect.message);
          }
          break;
        case 'sendSnapshot':
          this.sendSnapshot(id, replica, effect.to);
          break;
      }
    }
    if (state.caughtUpAt > completeAt) {
      this.checkComplete(id, replica, state.caughtUpAt / replica.clockRate);
    }
  }

  private sendSnapshot(from: ReplicaId, replica: Replica, to: ReplicaId): void {
    this.snapshot(from, 0);
    const {snapshot} = replica.disk;
    this.parcels.push({from, kind: 'snapshot', snapshot, term: replica.state!.term, to});
  }

  private install(parcel: Extract<Parcel, {kind: 'snapshot'}>): void {
    const {from, snapshot, term, to} = parcel;
    const replica = this.replicas.get(to);
    let ok = false;
    if (replica?.state !== undefined && term >= replica.state.term) {
      ok = wantsSnapshot(replica.state, snapshot.meta);
    }
    if (ok) {
      replica!.disk.snapshot = snapshot;
      replica!.disk.entries = [];
      replica!.write = {entries: [], hardState: replica!.write.hardState, sends: []};
      replica!.applied = [...snapshot.applied];
      this.event(to, {kind: 'snapshotInstalled', meta: snapshot.meta, term});
    }
    this.event(from, {index: snapshot.meta.index, kind: 'snapshotSent', ok, to});
  }

  private post(message: Message): void {
    this.parcels.push({from: message.from, kind: 'message', message, to: message.to});
  }

  private apply(id: ReplicaId, replica: Replica, entry: LogEntry): void {
    const command =
      entry.payload.kind === 'command'
        ? Buffer.from(entry.payload.data).toString()
        : `#${entry.term}`;
    const known = this.committed[entry.index];
    if (known !== undefined && known !== command) {
      throw new SafetyError(`index ${entry.index} holds ${known} and, at ${id}, ${command}`);
    }
    this.committed[entry.index] = command;
    if (entry.payload.kind === 'command') {
      replica.applied.push(command);
      this.checkTime(entry.index, entry.payload.elapsedMs ?? 0);
    }
    const waiter = replica.waiters.get(entry.index);
    replica.waiters.delete(entry.index);
    if (waiter !== undefined && waiter.term === entry.term) {
      this.acknowledged.push(waiter.command);
      this.acknowledgedAt.push(this.now);
    }
  }

  /** A follower that holds all as of a moment has applied what was acknowledged before it. */
  private checkComplete(id: ReplicaId, replica: Replica, at: number): void {
    this.completions++;
    this.acknowledged.forEach((command, position) => {
      const isBefore = this.acknowledgedAt[position]! < at - ROUNDING_MS;
      if (isBefore && !replica.applied.includes(command)) {
        throw new SafetyError(`${id} holds all as of ${at}, but not ${command}`);
      }
    });
  }

  /** The time that all committed commands count together never runs ahead, but for clocks that run fast. */
  private checkTime(index: number, elapsedMs: number): void {
    this.counted[index] = elapsedMs;
    const sum = this.countedMs;
    const fastest = Math.max(1, ...[...this.replicas.values()].map(({clockRate}) => clockRate));
    const passed = (this.now - this.startedAt) * fastest;
    if (elapsedMs < 0 || sum > passed + ROUNDING_MS) {
      throw new SafetyError(`commands count ${sum} ms of ${passed} ms`);
    }
  }

  /** A lease holder answers from its own state: it must have all that was acknowledged. */
  private checkLease(): void {
    const holders = this.leaseHolders();
    if (holders.length > 1) {
      throw new SafetyError(`${holders.join(' and ')} hold a lease at once`);
    }
    for (const id of holders) {
      const {applied} = this.replicas.get(id)!;
      const missing = this.acknowledged.find((command) => !applied.includes(command));
      if (missing !== undefined) {
        throw new SafetyError(`${id} holds the lease without acknowledged ${missing}`);
      }
    }
  }
}
