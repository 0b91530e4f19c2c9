/**
 * A group of real replicas, each with its log, its snapshots and its bulk data on a disk of its own, and the transfers
 * between them. Time, messages, disks and failures are the test's own.
 *
 * A naive model stands beside it: the texts whose commands were acknowledged, and nothing else.
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
/** So small that snapshots are taken all the time, and so large that some commands fall between two. */
const SNAPSHOT_LOG_BYTES = 4_000;
const VOTERS = 5;
/** Disks that may be lost at once. */
const LOST_DISKS = 2;
const KEEP_MEMBERS_MS = 10;
const RESTART_MS = 20;
/** Time within which a whole group leads again and holds the same everywhere, in milliseconds. */
const SETTLE_MS = 8_000;

/** A machine with a disk; the replica is undefined while its process is down. */
interface Machine {
  readonly disk: FakeDisk;
  driver: Driver | undefined;
  /** Rises with each start, so that what an earlier process began ends nowhere. */
  life: number;
  receiver: SnapshotReceiver;
  /** When its process, which has ended by itself, starts again; infinite while it runs. */
  restartAt: number;
  /** Longest that an operation of its disk takes, in milliseconds. */
  slowMs: number;
}

interface Waiting {
  readonly dueAt: number;
  readonly wake: () => void;
}

/** A broken promise. */
export class ClusterError extends Error {
  override readonly name = 'WorldError';
}

/** See the module's comment. */
export class RpcReplicaCluster {
  /** Texts whose commands were acknowledged. */
  readonly acknowledged: string[] = [];
  /** One-way cuts, as `from>to`. */
  readonly cuts = new Set<string>();
  /** Longest way of a message, in milliseconds. */
  delayMs = 6;
  /** Part of messages and of steps of transfers that are lost. */
  lossPart = 0;
  private readonly clock: Clock = {monotonicMs: () => this.now, wallMs: () => this.now};
  private failure: unknown;
  private readonly lost = new Set<ReplicaId>();
  private readonly machines = new Map<ReplicaId, Machine>();
  private nextKeepAt = 0;
  private nextReplica = 0;
  private nextText = 0;
  private now = 1_000;
  private seed: number;
  private waiting: Waiting[] = [];

  private constructor(seed: number) {
    this.seed = seed >>> 0;
  }

  /** Founds a group of five voters. */
  static async found(seed: number): Promise<RpcReplicaCluster> {
    const world = new RpcReplicaCluster(seed);
    const ids = Array.from({length: VOTERS}, () => world.addMachine());
    const members: GroupMembers = {learners: [], voters: ids};
    for (const id of ids) {
      const first = listMachine.encode(listMachine.initial());
      await ReplicaStorage.initialize(world.machines.get(id)!.disk, first, members);
      await world.start(id);
    }
    await world.run(400);
    return world;
  }

  /** Names of all machines. */
  get ids(): readonly ReplicaId[] {
    return [...this.machines.keys()];
  }

  /** A machine by a number, whatever there are. */
  pick(number: number): ReplicaId {
    return this.ids[number % this.ids.length]!;
  }

  /** Lets time pass. */
  async run(ms: number): Promise<void> {
    for (const end = this.now + ms; this.now < end;) {
      await this.tick();
      for (const [id, machine] of this.machines) {
        if (machine.restartAt <= this.now) {
          await this.end(id);
          await this.start(id);
        }
      }
    }
  }

  /** Proposes texts at whoever leads; nobody waits for the outcome. */
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

  /** Hands leadership on. */
  handOver(): void {
    this.leader()?.transferLeadership();
  }

  /** Makes a machine's disk slow, or fast again. */
  slowDown(id: ReplicaId, ms: number): void {
    this.machines.get(id)!.slowMs = ms;
  }

  /** Makes the disk of a machine refuse writes for a time, as a full one does. */
  async fillDisk(id: ReplicaId, ms: number): Promise<void> {
    const {disk} = this.machines.get(id)!;
    disk.failAppends = new Error('no room');
    await this.run(ms);
    disk.failAppends = null;
  }

  /** Ends a process and starts it again; its disk stays as it is. */
  async kill(id: ReplicaId, downMs: number): Promise<void> {
    await this.end(id);
    await this.run(downMs);
    await this.start(id);
  }

  /** All machines lose power at this moment, and some of those that may their disks. */
  async losePower(lostDisks: number): Promise<void> {
    const leaving = this.losable(lostDisks);
    for (const id of this.ids) {
      await this.end(id);
    }
    leaving.forEach((id) => this.loseDisk(id));
    for (const [id, machine] of this.machines) {
      machine.disk.losePower(() => this.draw());
      await this.start(id);
    }
  }

  /** Ends all failures, waits until the group is whole, and compares with the model. */
  async check(): Promise<void> {
    this.cuts.clear();
    this.lossPart = 0;
    for (const machine of this.machines.values()) {
      machine.slowMs = 0;
    }
    for (const end = this.now + SETTLE_MS; !this.isWhole();) {
      if (this.now > end) {
        throw new ClusterError(`the group does not become whole: ${this.describe()}`);
      }
      await this.run(50);
    }
    const leader = this.leader()!;
    const items = new Map(leader.localState.items.map((item) => [item.text, item]));
    const missing = this.acknowledged.filter((text) => !items.has(text));
    if (missing.length > 0) {
      throw new ClusterError(`acknowledged ${missing.join()} is not there`);
    }
    for (const id of this.ids) {
      await this.checkReplica(id, leader.localState);
    }
  }

  /** Name of the replica that leads. */
  get leaderId(): ReplicaId | undefined {
    return this.ids.find((id) => this.machines.get(id)!.driver?.leads === true);
  }

  /** Damages the bulk data of the first item on one machine's disk, as bad media would. */
  damage(id: ReplicaId): void {
    const {ref} = this.machines.get(id)!.driver!.localState.items[0]!;
    this.machines.get(id)!.disk.flip('blobs-0000000000000000', ref!.offset + ref!.length);
  }

  /** Whether the leader can read the first item. */
  async leaderReads(): Promise<boolean> {
    const leader = this.leader()!;
    const {ref, text} = leader.localState.items[0]!;
    const read = await this.until(leader.readBlob(ref!).catch(() => undefined));
    return read !== undefined && bulkOf(text).equals(read);
  }

  /** Ends all processes. */
  async close(): Promise<void> {
    for (const id of this.ids) {
      await this.end(id);
    }
  }

  private async tick(): Promise<void> {
    this.now += STEP_MS;
    vi.advanceTimersByTime(STEP_MS);
    const due = this.waiting.filter(({dueAt}) => dueAt <= this.now);
    this.waiting = this.waiting.filter(({dueAt}) => dueAt > this.now);
    due.forEach(({wake}) => wake());
    await new Promise((resolve) => setImmediate(resolve));
    this.keepMembers();
    if (this.failure !== undefined) {
      throw this.failure;
    }
  }

  /** Lets time pass until something has ended: it may wait for a disk. */
  private async until<Result>(work: Promise<Result>): Promise<Result> {
    let ended = false;
    const end = (): void => {
      ended = true;
    };
    work.then(end, end);
    await new Promise((resolve) => setImmediate(resolve));
    for (const giveUpAt = this.now + SETTLE_MS; !ended;) {
      await this.tick();
      if (this.now > giveUpAt) {
        throw new ClusterError('nothing ends');
      }
    }
    return work;
  }

  private async checkReplica(id: ReplicaId, expected: ListState): Promise<void> {
    const driver = this.machines.get(id)!.driver!;
    const who = driver.leads ? `leader ${id}` : id;
    const {blobEnd, items} = driver.localState;
    if (blobEnd !== expected.blobEnd || items.length !== expected.items.length) {
      throw new ClusterError(`${who} holds ${items.length} items up to ${blobEnd}`);
    }
    for (const [at, {ref, text}] of items.entries()) {
      if (expected.items[at]!.text !== text) {
        throw new ClusterError(`${who} holds ${text} at ${at}`);
      }
      const read = await this.until(driver.readBlob(ref!).catch((err: unknown) => String(err)));
      if (typeof read === 'string' || !bulkOf(text).equals(read)) {
        const known = this.acknowledged.includes(text) ? 'acknowledged' : 'unanswered';
        throw new ClusterError(`${who} can't read ${known} ${text.slice(0, 9)}: ${String(read)}`);
      }
    }
  }

  private addMachine(): ReplicaId {
    const id = `vm${this.nextReplica}/${this.nextReplica++}`;
    const machine: Machine = {
      disk: new FakeDisk(),
      driver: undefined,
      life: 0,
      receiver: new SnapshotReceiver(),
      restartAt: Infinity,
      slowMs: 0,
    };
    machine.disk.pause = () => this.pause(Math.floor(this.draw() * (machine.slowMs + 1)));
    this.machines.set(id, machine);
    return id;
  }

  private loseDisk(id: ReplicaId): void {
    this.machines.delete(id);
    this.lost.add(id);
    this.addMachine();
  }

  /** Some machines whose disks may be lost now: as many as are borne, counted until they have been replaced. */
  private losable(count: number): readonly ReplicaId[] {
    const most = Math.min(count, LOST_DISKS - this.unreplaced());
    return [...this.ids]
      .map((id) => ({at: this.draw(), id}))
      .sort((a, b) => a.at - b.at)
      .slice(0, Math.max(0, most))
      .map(({id}) => id);
  }

  /** Lost disks that some replica still counts as a voter, or whose successors don't vote everywhere yet. */
  private unreplaced(): number {
    const missing = this.ids.map((id) => {
      const driver = this.machines.get(id)!.driver;
      const voters = driver?.status.log.members.voters ?? [];
      const dead = voters.filter((voter) => this.lost.has(voter)).length;
      return Math.max(dead, VOTERS - (voters.length - dead));
    });
    return this.isWhole() ? 0 : Math.max(...missing, this.lost.size > 0 ? 1 : 0);
  }

  private async start(id: ReplicaId): Promise<void> {
    const machine = this.machines.get(id)!;
    const life = ++machine.life;
    machine.restartAt = Infinity;
    machine.disk.failAppends = null;
    machine.receiver = new SnapshotReceiver();
    const opening = ReplicaDriver.open({
      clock: this.clock,
      disk: machine.disk,
      group: GROUP,
      logger: silentLogger,
      machine: listMachine,
      onFailure: (err) => this.onFailure(id, life, err),
      self: id,
      snapshotLogBytes: SNAPSHOT_LOG_BYTES,
      timing: TIMING,
      transport: {
        send: (message) => this.send(id, life, message),
        sendSnapshot: (to, source) => this.transfer(id, life, to, source),
      },
    });
    machine.driver = await this.until(opening);
  }

  private async end(id: ReplicaId): Promise<void> {
    const machine = this.machines.get(id)!;
    const {driver} = machine;
    machine.life++;
    machine.restartAt = Infinity;
    machine.driver = undefined;
    machine.disk.endProcess();
    if (driver !== undefined) {
      let ended = false;
      void driver
        .close()
        .catch(() => {})
        .then(() => (ended = true));
      // What it waits for fails once its time has come.
      for (let turns = 0; !ended; turns++) {
        if (turns > 10_000) {
          throw new ClusterError(`${id} does not end`);
        }
        this.waiting.splice(0).forEach(({wake}) => wake());
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
  }

  /** A replica that ends by itself is started again, as its process would be. */
  private onFailure(id: ReplicaId, life: number, err: unknown): void {
    const machine = this.machines.get(id);
    if (machine?.life !== life) {
      return;
    }
    if (!(err instanceof Error) || err.message !== 'no room') {
      this.failure = err;
      return;
    }
    machine.restartAt = this.now + RESTART_MS;
  }

  private send(from: ReplicaId, life: number, message: Message): void {
    if (this.isLost(from, life, message.to)) {
      return;
    }
    void this.pause(Math.floor(this.draw() * this.delayMs)).then(() =>
      this.machines.get(message.to)?.driver?.receive(message),
    );
  }

  private isLost(from: ReplicaId, life: number, to: ReplicaId): boolean {
    const isOver = this.machines.get(from)?.life !== life;
    return isOver || this.cuts.has(`${from}>${to}`) || this.draw() < this.lossPart;
  }

  /** The product's own transfer; each of its steps may be lost on either way, and then it breaks off. */
  private transfer(
    from: ReplicaId,
    life: number,
    to: ReplicaId,
    source: SnapshotSource,
  ): Promise<boolean> {
    const way = async (a: ReplicaId, b: ReplicaId): Promise<void> => {
      await this.pause(Math.floor(this.draw() * this.delayMs));
      if (this.isLost(from, life, to) || this.cuts.has(`${a}>${b}`)) {
        throw new Error('the step is lost');
      }
    };
    const install = async ({step, term}: {step: InstallStep; term: bigint}) => {
      await way(from, to);
      const machine = this.machines.get(to);
      if (machine?.driver === undefined) {
        throw new Error('nobody is there');
      }
      const reply = await machine.receiver.take(GROUP, machine.driver, Number(term), step);
      await way(to, from);
      return reply;
    };
    return sendSnapshot({install} as unknown as PeerClient, source);
  }

  private pause(ms: number): Promise<void> {
    return ms <= 0
      ? Promise.resolve()
      : new Promise((wake) => this.waiting.push({dueAt: this.now + ms, wake}));
  }

  private leader(): Driver | undefined {
    return [...this.machines.values()].find(({driver}) => driver?.leads === true)?.driver;
  }

  /** Replaces lost replicas one step at a time: a learner, a voter once it has caught up, and then one voter less. */
  private keepMembers(): void {
    const leader = this.leader();
    if (this.now < this.nextKeepAt || leader === undefined) {
      return;
    }
    this.nextKeepAt = this.now + KEEP_MEMBERS_MS;
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

  /** Whether one replica leads, all live ones vote and hold the same log, and no lost one counts. */
  private isWhole(): boolean {
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

  /** A number from 0 to below 1; the same for the same seed (mulberry32). */
  private draw(): number {
    this.seed = (this.seed + 0x6d_2b_79_f5) >>> 0;
    let mixed = Math.imul(this.seed ^ (this.seed >>> 15), 1 | this.seed);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }
}
