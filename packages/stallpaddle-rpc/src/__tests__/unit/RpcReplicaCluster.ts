/**
 * Simulated cluster of real replicas, each with its log, snapshots and bulk data on a fake disk, and snapshot transfers
 * between them. The test controls time, messages, disks and failures.
 *
 * The reference model is the list of the texts whose commands were acknowledged.
 */
import type {Clock, ReplicaId} from 'stallpaddle';
import type {
  GroupMembers,
  Message,
  ReplicationTiming,
  SnapshotSource,
} from 'stallpaddle-replication';

import {silentLogger} from 'stallpaddle';
import {ReplicaDriver, ReplicaStorage} from 'stallpaddle-replication';
import {bulkOf, FakeDisk, listMachine, type ListState} from 'stallpaddle-testing';
import {vi} from 'vitest';

import type {PeerClient} from '../../RpcClients';

import {type InstallStep, sendSnapshot, SnapshotReceiver} from '../../RpcSnapshots';

type Driver = ReplicaDriver<ListState>;

const GROUP = 'g';
const TIMING: ReplicationTiming = {
  electionTimeoutMs: 100,
  heartbeatMs: 20,
  leaseDriftFraction: 0.2,
};
const STEP_MS = 2;
/** Small enough for frequent snapshots, large enough for some commands between two of them. */
const SNAPSHOT_LOG_BYTES = 4_000;
const VOTERS = 5;
/** Disk losses that the group tolerates at once. */
const TOLERATED_DISK_LOSSES = 2;
const MEMBERSHIP_CHECK_MS = 10;
const RESTART_DELAY_MS = 20;
/** Time in which the replicas must elect a leader and converge after the last failure, in milliseconds. */
const SETTLE_MS = 8_000;

/** A simulated machine with a disk; its replica is undefined while the process is down. */
interface Machine {
  readonly disk: FakeDisk;
  driver: Driver | undefined;
  /** Increases with each start and stop, so that callbacks of earlier processes are ignored. */
  incarnation: number;
  receiver: SnapshotReceiver;
  /** When its failed process starts again; infinite while it runs. */
  restartAt: number;
  /** Longest delay of a disk operation, in milliseconds. */
  slowMs: number;
}

interface Sleeper {
  readonly dueAt: number;
  readonly wake: () => void;
}

/** Thrown when the cluster violates an invariant or does not recover. */
export class ClusterError extends Error {
  override readonly name = 'ClusterError';
}

/** Runs a group of five voters, injects failures and checks the replicas against the model. */
export class RpcReplicaCluster {
  /** Texts whose commands were acknowledged. */
  readonly acknowledged: string[] = [];
  /** One-way network partitions, as `from>to`. */
  readonly partitions = new Set<string>();
  /** Longest network delay of a message, in milliseconds. */
  delayMs = 6;
  /** Fraction of messages and transfer steps that are lost. */
  lossFraction = 0;
  private readonly clock: Clock = {monotonicMs: () => this.now, wallMs: () => this.now};
  private failure: unknown;
  private readonly lost = new Set<ReplicaId>();
  private readonly machines = new Map<ReplicaId, Machine>();
  private nextMembershipCheckAt = 0;
  private nextReplica = 0;
  private nextText = 0;
  private now = 1_000;
  private seed: number;
  private sleepers: Sleeper[] = [];

  private constructor(seed: number) {
    this.seed = seed >>> 0;
  }

  /** Starts a group of five voters. */
  static async start(seed: number): Promise<RpcReplicaCluster> {
    const cluster = new RpcReplicaCluster(seed);
    const ids = Array.from({length: VOTERS}, () => cluster.addMachine());
    const members: GroupMembers = {learners: [], voters: ids};
    for (const id of ids) {
      const first = listMachine.encode(listMachine.initial());
      await ReplicaStorage.initialize(cluster.machines.get(id)!.disk, first, members);
      await cluster.startMachine(id);
    }
    await cluster.run(400);
    return cluster;
  }

  /** Ids of all machines. */
  get ids(): readonly ReplicaId[] {
    return [...this.machines.keys()];
  }

  /** Picks a machine by a number. */
  pick(number: number): ReplicaId {
    return this.ids[number % this.ids.length]!;
  }

  /** Advances time. */
  async run(ms: number): Promise<void> {
    for (const end = this.now + ms; this.now < end;) {
      await this.tick();
      for (const [id, machine] of this.machines) {
        if (machine.restartAt <= this.now) {
          await this.stop(id);
          await this.startMachine(id);
        }
      }
    }
  }

  /** Proposes texts to the current leader without waiting for the outcome. */
  propose(count: number, bytes: number): void {
    const leader = this.leader();
    for (let number = 0; number < count && leader !== undefined; number++) {
      const text = `${this.nextText++}:${'x'.repeat(bytes)}`;
      leader.propose(Buffer.from(text)).then(
        () => this.acknowledged.push(text),
        () => {},
      );
    }
  }

  /** Makes the leader transfer its leadership. */
  handOver(): void {
    this.leader()?.transferLeadership();
  }

  /** Sets the longest delay of a machine's disk operations. */
  slowDown(id: ReplicaId, ms: number): void {
    this.machines.get(id)!.slowMs = ms;
  }

  /** Makes a machine's disk refuse writes for a time, as a full one does. */
  async fillDisk(id: ReplicaId, ms: number): Promise<void> {
    const {disk} = this.machines.get(id)!;
    disk.failAppends = new Error('disk full');
    await this.run(ms);
    disk.failAppends = null;
  }

  /** Stops a process and starts it again on the same disk. */
  async kill(id: ReplicaId, downMs: number): Promise<void> {
    await this.stop(id);
    await this.run(downMs);
    await this.startMachine(id);
  }

  /** Cuts the power of all machines; up to a number of tolerated disks is lost with it. */
  async losePower(lostDisks: number): Promise<void> {
    const failed = this.pickLosableDisks(lostDisks);
    for (const id of this.ids) {
      await this.stop(id);
    }
    failed.forEach((id) => this.loseDisk(id));
    for (const [id, machine] of this.machines) {
      machine.disk.losePower(() => this.random());
      await this.startMachine(id);
    }
  }

  /** Ends all failures, waits until the replicas have converged, and compares them with the model. */
  async check(): Promise<void> {
    this.partitions.clear();
    this.lossFraction = 0;
    for (const machine of this.machines.values()) {
      machine.slowMs = 0;
    }
    for (const end = this.now + SETTLE_MS; !this.hasConverged();) {
      if (this.now > end) {
        throw new ClusterError(`the replicas do not converge: ${this.describe()}`);
      }
      await this.run(50);
    }
    const leader = this.leader()!;
    const items = new Map(leader.localState.items.map((item) => [item.text, item]));
    const missing = this.acknowledged.filter((text) => !items.has(text));
    if (missing.length > 0) {
      throw new ClusterError(`acknowledged ${missing.join()} is missing`);
    }
    for (const id of this.ids) {
      await this.checkReplica(id, leader.localState);
    }
  }

  /** Id of the leader. */
  get leaderId(): ReplicaId | undefined {
    return this.ids.find((id) => this.machines.get(id)!.driver?.leads === true);
  }

  /** Corrupts the bulk data of the first item on one machine's disk. */
  corrupt(id: ReplicaId): void {
    const {ref} = this.machines.get(id)!.driver!.localState.items[0]!;
    this.machines.get(id)!.disk.flip('blobs-0000000000000000', ref!.offset + ref!.length);
  }

  /** Whether the leader can read the first item. */
  async canLeaderRead(): Promise<boolean> {
    const leader = this.leader()!;
    const {ref, text} = leader.localState.items[0]!;
    const read = await this.runUntilSettled(leader.readBlob(ref!).catch(() => undefined));
    return read !== undefined && bulkOf(text).equals(read);
  }

  /** Stops all processes. */
  async close(): Promise<void> {
    for (const id of this.ids) {
      await this.stop(id);
    }
  }

  private async tick(): Promise<void> {
    this.now += STEP_MS;
    vi.advanceTimersByTime(STEP_MS);
    const due = this.sleepers.filter(({dueAt}) => dueAt <= this.now);
    this.sleepers = this.sleepers.filter(({dueAt}) => dueAt > this.now);
    due.forEach(({wake}) => wake());
    await new Promise((resolve) => setImmediate(resolve));
    this.reconcileMembers();
    if (this.failure !== undefined) {
      throw this.failure;
    }
  }

  /** Advances time until work that may depend on timers has settled. */
  private async runUntilSettled<Result>(work: Promise<Result>): Promise<Result> {
    let ended = false;
    const end = (): void => {
      ended = true;
    };
    work.then(end, end);
    await new Promise((resolve) => setImmediate(resolve));
    for (const timeoutAt = this.now + SETTLE_MS; !ended;) {
      await this.tick();
      if (this.now > timeoutAt) {
        throw new ClusterError('an operation does not settle');
      }
    }
    return work;
  }

  private async checkReplica(id: ReplicaId, expected: ListState): Promise<void> {
    const driver = this.machines.get(id)!.driver!;
    const name = driver.leads ? `leader ${id}` : id;
    const {blobEnd, items} = driver.localState;
    if (blobEnd !== expected.blobEnd || items.length !== expected.items.length) {
      throw new ClusterError(`${name} holds ${items.length} items up to ${blobEnd}`);
    }
    for (const [at, {ref, text}] of items.entries()) {
      if (expected.items[at]!.text !== text) {
        throw new ClusterError(`${name} holds ${text} at ${at}`);
      }
      const read = await this.runUntilSettled(
        driver.readBlob(ref!).catch((err: unknown) => String(err)),
      );
      if (typeof read === 'string' || !bulkOf(text).equals(read)) {
        const kind = this.acknowledged.includes(text) ? 'acknowledged' : 'unacknowledged';
        throw new ClusterError(`${name} can't read ${kind} ${text.slice(0, 9)}: ${String(read)}`);
      }
    }
  }

  private addMachine(): ReplicaId {
    const id = `vm${this.nextReplica}/${this.nextReplica++}`;
    const machine: Machine = {
      disk: new FakeDisk(),
      driver: undefined,
      incarnation: 0,
      receiver: new SnapshotReceiver(),
      restartAt: Infinity,
      slowMs: 0,
    };
    machine.disk.pause = () => this.pause(Math.floor(this.random() * (machine.slowMs + 1)));
    this.machines.set(id, machine);
    return id;
  }

  private loseDisk(id: ReplicaId): void {
    this.machines.delete(id);
    this.lost.add(id);
    this.addMachine();
  }

  /** Picks machines whose disks may be lost now: no more than tolerated, including those that are not yet replaced. */
  private pickLosableDisks(count: number): readonly ReplicaId[] {
    const most = Math.min(count, TOLERATED_DISK_LOSSES - this.countUnreplaced());
    return [...this.ids]
      .map((id) => ({at: this.random(), id}))
      .sort((a, b) => a.at - b.at)
      .slice(0, Math.max(0, most))
      .map(({id}) => id);
  }

  /** Number of lost disks that some replica still counts as voters, or whose replacements don't vote everywhere yet. */
  private countUnreplaced(): number {
    const missing = this.ids.map((id) => {
      const driver = this.machines.get(id)!.driver;
      const voters = driver?.status.log.members.voters ?? [];
      const dead = voters.filter((voter) => this.lost.has(voter)).length;
      return Math.max(dead, VOTERS - (voters.length - dead));
    });
    return this.hasConverged() ? 0 : Math.max(...missing, this.lost.size > 0 ? 1 : 0);
  }

  private async startMachine(id: ReplicaId): Promise<void> {
    const machine = this.machines.get(id)!;
    const incarnation = ++machine.incarnation;
    machine.restartAt = Infinity;
    machine.disk.failAppends = null;
    machine.receiver = new SnapshotReceiver();
    const opening = ReplicaDriver.open({
      clock: this.clock,
      disk: machine.disk,
      group: GROUP,
      logger: silentLogger,
      machine: listMachine,
      onFailure: (err) => this.onFailure(id, incarnation, err),
      self: id,
      snapshotLogBytes: SNAPSHOT_LOG_BYTES,
      timing: TIMING,
      transport: {
        send: (message) => this.send(id, incarnation, message),
        sendSnapshot: (to, source) => this.transfer(id, incarnation, to, source),
      },
    });
    machine.driver = await this.runUntilSettled(opening);
  }

  private async stop(id: ReplicaId): Promise<void> {
    const machine = this.machines.get(id)!;
    const {driver} = machine;
    machine.incarnation++;
    machine.restartAt = Infinity;
    machine.driver = undefined;
    machine.disk.endProcess();
    if (driver !== undefined) {
      let ended = false;
      void driver
        .close()
        .catch(() => {})
        .then(() => (ended = true));
      // Pending disk operations fail once they are due, so all of them are made due.
      for (let polls = 0; !ended; polls++) {
        if (polls > 10_000) {
          throw new ClusterError(`${id} does not stop`);
        }
        this.sleepers.splice(0).forEach(({wake}) => wake());
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
  }

  /** Restarts a replica that failed because its disk was full; any other failure fails the test. */
  private onFailure(id: ReplicaId, incarnation: number, err: unknown): void {
    const machine = this.machines.get(id);
    if (machine?.incarnation !== incarnation) {
      return;
    }
    if (!(err instanceof Error) || err.message !== 'disk full') {
      this.failure = err;
      return;
    }
    machine.restartAt = this.now + RESTART_DELAY_MS;
  }

  private send(from: ReplicaId, incarnation: number, message: Message): void {
    if (this.isLost(from, incarnation, message.to)) {
      return;
    }
    void this.pause(Math.floor(this.random() * this.delayMs)).then(() =>
      this.machines.get(message.to)?.driver?.receive(message),
    );
  }

  private isLost(from: ReplicaId, incarnation: number, to: ReplicaId): boolean {
    const isOutdated = this.machines.get(from)?.incarnation !== incarnation;
    return isOutdated || this.partitions.has(`${from}>${to}`) || this.random() < this.lossFraction;
  }

  /** Runs a real snapshot transfer; it is aborted when a step or its response is lost. */
  private transfer(
    from: ReplicaId,
    incarnation: number,
    to: ReplicaId,
    source: SnapshotSource,
  ): Promise<boolean> {
    const travel = async (a: ReplicaId, b: ReplicaId): Promise<void> => {
      await this.pause(Math.floor(this.random() * this.delayMs));
      if (this.isLost(from, incarnation, to) || this.partitions.has(`${a}>${b}`)) {
        throw new Error('the message was lost');
      }
    };
    const install = async ({step, term}: {step: InstallStep; term: bigint}) => {
      await travel(from, to);
      const machine = this.machines.get(to);
      if (machine?.driver === undefined) {
        throw new Error('the receiver is down');
      }
      const reply = await machine.receiver.take(GROUP, machine.driver, Number(term), step);
      await travel(to, from);
      return reply;
    };
    return sendSnapshot({install} as unknown as PeerClient, source);
  }

  private pause(ms: number): Promise<void> {
    return ms <= 0
      ? Promise.resolve()
      : new Promise((wake) => this.sleepers.push({dueAt: this.now + ms, wake}));
  }

  private leader(): Driver | undefined {
    return [...this.machines.values()].find(({driver}) => driver?.leads === true)?.driver;
  }

  /** Replaces lost replicas step by step: adds a learner, promotes it once it has caught up, removes the lost voter. */
  private reconcileMembers(): void {
    const leader = this.leader();
    if (this.now < this.nextMembershipCheckAt || leader === undefined) {
      return;
    }
    this.nextMembershipCheckAt = this.now + MEMBERSHIP_CHECK_MS;
    const step = this.nextMembers(leader);
    if (step !== undefined) {
      leader.changeMembers(step).catch(() => {});
    }
  }

  private nextMembers(leader: Driver): GroupMembers | undefined {
    const {learners, voters} = leader.status.log.members;
    const dead = voters.find((voter) => this.lost.has(voter));
    const deadLearner = learners.find((learner) => this.lost.has(learner));
    if (deadLearner !== undefined) {
      return {learners: learners.filter((learner) => learner !== deadLearner), voters};
    }
    if (dead !== undefined && voters.length > VOTERS) {
      return {learners, voters: voters.filter((voter) => voter !== dead)};
    }
    const ready = learners.find((learner) => leader.isCaughtUp(learner));
    if (ready !== undefined) {
      const rest = learners.filter((learner) => learner !== ready);
      return {learners: rest, voters: [...voters, ready]};
    }
    const fresh = this.ids.find((id) => !voters.includes(id) && !learners.includes(id));
    return fresh === undefined ? undefined : {learners: [...learners, fresh], voters};
  }

  /** Whether there is a leader, and all machines are voters that have applied and persisted the same log. */
  private hasConverged(): boolean {
    const leader = this.leader();
    if (leader === undefined) {
      return false;
    }
    const {commit, log} = leader.status;
    const {voters} = log.members;
    const isSettled = commit === log.lastIndex && voters.length === VOTERS;
    return (
      isSettled &&
      this.ids.every((id) => {
        const status = this.machines.get(id)!.driver?.status;
        return voters.includes(id) && status?.applied === commit && status.persisted === commit;
      })
    );
  }

  private describe(): string {
    return [...this.machines]
      .map(([id, {driver}]) => {
        const {commit, log, role, term} = driver?.status ?? {};
        return `${id} ${role?.kind} t${term} c${commit} l${log?.lastIndex} v${log?.members.voters.join()} +${log?.members.learners.join()}`;
      })
      .join('; ');
  }

  /** Deterministic random number in [0, 1) (mulberry32). */
  private random(): number {
    this.seed = (this.seed + 0x6d_2b_79_f5) >>> 0;
    let mixed = Math.imul(this.seed ^ (this.seed >>> 15), 1 | this.seed);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }
}
