import type {ReplicaId} from 'stallpaddle';

/**
 * Simulated cluster of replicas. The test controls messages, disks, clocks and failures; the cluster replaces only the
 * drivers and runs the real `stepReplica`.
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
/** Tolerance for rounding errors in sums of times, in milliseconds. */
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
  /** Rate of the clock of this replica relative to simulated time. */
  readonly clockRate: number;
  readonly disk: DurableDisk;
  frozenUntil: number;
  /** Undefined while the process is down. */
  state: ReplicationState | undefined;
  waiters: Map<number, {readonly command: string; readonly term: number}>;
  write: Write;
}

/** A message or snapshot in transit between two replicas. */
type Packet =
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

/** A violated safety property. */
export class SafetyError extends Error {
  override readonly name = 'SafetyError';
}

/** Runs replicas in simulated time and throws a `SafetyError` when they violate a safety property. */
export class ReplicationCluster {
  /** Commands that a leader has acknowledged, in order. */
  readonly acknowledged: string[] = [];
  /** Time of each acknowledgement. */
  private readonly acknowledgedAt: number[] = [];
  /** Number of times a follower advanced its `caughtUpAt`. */
  caughtUpUpdates = 0;
  /** Blocked one-way links, as `from>to`. */
  readonly cuts = new Set<string>();
  now = 1000;
  readonly packets: Packet[] = [];
  readonly replicas = new Map<ReplicaId, Replica>();
  private readonly committed: string[] = [];
  /** Elapsed time recorded by each committed command, by index. */
  private readonly counted: number[] = [];
  private nextRequest = 0;
  private readonly startedAt = this.now;

  /**
   * @param ids initial voters
   */
  constructor(ids: readonly ReplicaId[]) {
    const members: GroupMembers = {learners: [], voters: ids};
    ids.forEach((id, index) => this.addReplica(id, 0.95 + 0.05 * (index % 3), members));
  }

  /** Ids of all replicas, in order. */
  get ids(): readonly ReplicaId[] {
    return [...this.replicas.keys()];
  }

  /** Sum of the elapsed times of all committed commands, in milliseconds. */
  get countedMs(): number {
    return this.counted.reduce((total, ms) => total + ms, 0);
  }

  /** Adds a replica; its disk is empty if no members are given. */
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

  /** Replicas that hold a lease according to their own clocks. */
  leaseHolders(): readonly ReplicaId[] {
    return this.ids.filter((id) => {
      const {state} = this.replicas.get(id)!;
      return state !== undefined && holdsLease(state, this.clockOf(id));
    });
  }

  /** Stops a process; unsynced writes are lost. */
  crash(id: ReplicaId): void {
    const replica = this.replicas.get(id)!;
    replica.state = undefined;
    replica.waiters = new Map();
    replica.write = {entries: [], hardState: undefined, sends: []};
  }

  /** Starts a process from the contents of its disk. */
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

  /** Removes a replica and its disk. */
  removePermanently(id: ReplicaId): void {
    this.replicas.delete(id);
  }

  /** Suspends a process for some time; its clock keeps running. */
  freeze(id: ReplicaId, ms: number): void {
    this.replicas.get(id)!.frozenUntil = this.now + ms;
  }

  /** Advances time and delivers a clock tick to every running process. */
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

  /** Requests a membership change; only a leader accepts it. */
  changeMembers(id: ReplicaId, members: GroupMembers): void {
    this.event(id, {kind: 'changeMembers', members, requestId: this.nextRequest++});
  }

  /** Syncs the pending writes of a replica and sends the messages that waited for them. */
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

  /** Takes and syncs a snapshot of the applied state, and keeps some entries before it. */
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

  /** Delivers a packet; it is lost if the receiver is frozen or the link is blocked. */
  deliver(position: number, keep: boolean): void {
    const packet = this.packets[position];
    if (packet === undefined) {
      return;
    }
    if (!keep) {
      this.packets.splice(position, 1);
    }
    if (this.isFrozen(packet.to) || this.cuts.has(`${packet.from}>${packet.to}`)) {
      return;
    }
    switch (packet.kind) {
      case 'message':
        this.event(packet.to, {kind: 'message', message: packet.message});
        return;
      case 'snapshot':
        this.install(packet);
        return;
    }
  }

  /** Delivers a message directly. */
  inject(message: Message): void {
    this.event(message.to, {kind: 'message', message});
  }

  /** Delivers the packets from one replica to another in order; other packets stay in transit. */
  deliverBetween(from: ReplicaId, to: ReplicaId): void {
    for (let position = 0; position < this.packets.length;) {
      const packet = this.packets[position]!;
      if (packet.from === from && packet.to === to) {
        this.deliver(position, false);
      } else {
        position++;
      }
    }
  }

  /** Messages in transit from a replica. */
  messagesFrom(from: ReplicaId): readonly Message[] {
    return this.packets.flatMap((packet) =>
      packet.kind === 'message' && packet.from === from ? [packet.message] : [],
    );
  }

  /** Drops a packet. */
  drop(position: number): void {
    this.packets.splice(position, 1);
  }

  /** Runs the cluster without failures for some time. */
  settle(ms: number): void {
    this.cuts.clear();
    const until = this.now + ms;
    while (this.now < until) {
      this.ids.forEach((id) => this.restart(id));
      this.advance(5);
      for (let round = 0; round < 4; round++) {
        this.ids.forEach((id) => this.sync(id));
        for (let left = this.packets.length; left > 0; left--) {
          this.deliver(0, false);
        }
      }
    }
  }

  /** Whether a learner has caught up, according to the leader. */
  caughtUp(leader: ReplicaId, learner: ReplicaId): boolean {
    const state = this.replicas.get(leader)?.state;
    return state !== undefined && isCaughtUp(state, learner);
  }

  /** Checks that exactly one replica holds a lease and has applied every acknowledged command once. */
  checkConverged(): void {
    const holders = this.leaseHolders();
    if (holders.length !== 1) {
      throw new SafetyError(`${holders.length} replicas hold a lease after the failures`);
    }
    const leader = this.replicas.get(holders[0]!)!;
    for (const command of this.acknowledged) {
      const times = leader.applied.filter((applied) => applied === command).length;
      if (times !== 1) {
        throw new SafetyError(`acknowledged ${command} was applied ${times} times`);
      }
    }
  }

  /** Time on the clock of a replica, in milliseconds. */
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
    const {caughtUpAt} = replica.state;
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
    if (state.caughtUpAt > caughtUpAt) {
      this.checkCaughtUp(id, replica, state.caughtUpAt / replica.clockRate);
    }
  }

  private sendSnapshot(from: ReplicaId, replica: Replica, to: ReplicaId): void {
    this.snapshot(from, 0);
    const {snapshot} = replica.disk;
    this.packets.push({from, kind: 'snapshot', snapshot, term: replica.state!.term, to});
  }

  private install(packet: Extract<Packet, {kind: 'snapshot'}>): void {
    const {from, snapshot, term, to} = packet;
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
    this.packets.push({from: message.from, kind: 'message', message, to: message.to});
  }

  private apply(id: ReplicaId, replica: Replica, entry: LogEntry): void {
    const command =
      entry.payload.kind === 'command'
        ? Buffer.from(entry.payload.data).toString()
        : `#${entry.term}`;
    const expected = this.committed[entry.index];
    if (expected !== undefined && expected !== command) {
      throw new SafetyError(`index ${entry.index} holds ${expected}, but ${command} at ${id}`);
    }
    this.committed[entry.index] = command;
    if (entry.payload.kind === 'command') {
      replica.applied.push(command);
      this.checkElapsedTime(entry.index, entry.payload.elapsedMs ?? 0);
    }
    const waiter = replica.waiters.get(entry.index);
    replica.waiters.delete(entry.index);
    if (waiter !== undefined && waiter.term === entry.term) {
      this.acknowledged.push(waiter.command);
      this.acknowledgedAt.push(this.now);
    }
  }

  /** A follower that has caught up as of a time must have applied every command acknowledged before it. */
  private checkCaughtUp(id: ReplicaId, replica: Replica, at: number): void {
    this.caughtUpUpdates++;
    this.acknowledged.forEach((command, position) => {
      const isBefore = this.acknowledgedAt[position]! < at - ROUNDING_MS;
      if (isBefore && !replica.applied.includes(command)) {
        throw new SafetyError(`${id} has caught up as of ${at} without acknowledged ${command}`);
      }
    });
  }

  /** The sum of all elapsed times never exceeds the time passed, apart from fast clocks. */
  private checkElapsedTime(index: number, elapsedMs: number): void {
    this.counted[index] = elapsedMs;
    const sum = this.countedMs;
    const fastestRate = Math.max(1, ...[...this.replicas.values()].map(({clockRate}) => clockRate));
    const passed = (this.now - this.startedAt) * fastestRate;
    if (elapsedMs < 0 || sum > passed + ROUNDING_MS) {
      throw new SafetyError(`commands recorded ${sum} ms, but only ${passed} ms passed`);
    }
  }

  /** At most one replica holds a lease, and it must have applied every acknowledged command. */
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
