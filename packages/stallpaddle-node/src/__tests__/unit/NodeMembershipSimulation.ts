/**
 * Simulation of a group whose members are planned by the real `planMembers` and `isEmptied`.
 */
import type {ReplicaId, VmId} from 'stallpaddle';
import type {GroupMembers} from 'stallpaddle-replication';

import {vmOfReplica} from 'stallpaddle';

import {MEMBERSHIP_CHECK_MS, VOTER_TIMEOUT_MS} from '../../NodeConstants';
import {type KnownReplica, planMembers, votersFor} from '../../NodeMembershipPlanner';
import {isEmptied} from '../../NodeStorePlan';

/** Time without a leader before another is elected, in milliseconds: two election timeouts. */
const ELECTION_MS = 1_000;
/** Silence of a majority after which a leader gives up, in milliseconds. */
const QUORUM_MS = 500;
/** Time for which a VM still counts as lost after it has returned or was replaced, in milliseconds. */
const CATCH_UP_MS = 4_800;

interface Entry {
  readonly members: GroupMembers | null;
  readonly term: number;
}

interface Replica {
  /** When a new replica has received its first copy; null before the copy has started. */
  copiedAt: null | number;
  log: readonly Entry[];
}

interface Vm {
  /** Name of the current disk; null once the VM is gone. */
  current: null | ReplicaId;
  disks: number;
  lastSeenAt: number;
  /** Until when the VM is unreachable. */
  offlineUntil: number;
  retiring: boolean;
}

/** A lost disk that still counts among those lost at once. */
interface LostDisk {
  /** The disk, and further ones that the same VM has lost before it was replaced. */
  readonly replicas: readonly ReplicaId[];
  /** Since when its replacement has been available, with no more VMs away than may be lost. */
  since: number;
  /** Its VM, or a new VM that replaces it; null until one has joined. */
  successor: null | VmId;
}

interface Leader {
  readonly acked: Map<ReplicaId, {at: number; length: number}>;
  readonly addedAt: Map<ReplicaId, number>;
  readonly id: ReplicaId;
  quorumAt: number;
  readonly term: number;
  /** Length of its log up to and including its term's first entry. */
  readonly termLength: number;
}

/**
 * Whether a disk that still counts as lost belongs to a VM that has itself returned. Losing its new disk too is no further
 * loss. Losing a new VM that replaces another one is: while both are voters, single-step membership changes can't tolerate
 * the loss of both.
 */
function isOwnLoss({replicas, successor}: LostDisk, name: VmId): boolean {
  return successor === name && replicas.every((id) => vmOfReplica(id) === name);
}

/** The group has lost its majority or a committed entry. */
export class LossError extends Error {
  override readonly name = 'LossError';
}

/** All combinations of the given size. */
function choose<T>(list: readonly T[], count: number): readonly (readonly T[])[] {
  if (count === 0) {
    return [[]];
  }
  return list.flatMap((first, at) =>
    choose(list.slice(at + 1), count - 1).map((rest) => [first, ...rest]),
  );
}

function isMajority(members: GroupMembers, has: (id: ReplicaId) => boolean): boolean {
  return 2 * members.voters.filter(has).length > members.voters.length;
}

/**
 * Simulates a group among VMs that become unreachable, lose their disks, join, and are emptied and removed.
 *
 * Elections and replication follow Raft without messages: a leader copies its whole log to every member that it reaches.
 * After every step the simulation checks that the group survives any further losses that the settings allow together with
 * a restart of all other VMs: some replica must be electable, and none that lacks a committed entry.
 */
export class NodeMembershipSimulation {
  /** Membership steps so far. */
  changes = 0;
  now = 0;
  readonly vms = new Map<VmId, Vm>();
  private committed: readonly Entry[] = [];
  private leader: Leader | null = null;
  private leaderlessSince = 0;
  private readonly lost: LostDisk[] = [];
  private readonly replicas = new Map<ReplicaId, Replica>();
  private term = 0;

  /**
   * @param lostDisks disks that may be lost at once
   * @param spareVms VMs besides the founders
   */
  constructor(
    readonly lostDisks: number,
    spareVms: number,
  ) {
    const wanted = votersFor(lostDisks);
    for (let number = 0; number < wanted + spareVms; number++) {
      this.join();
    }
    const voters = [...this.replicas.keys()].slice(0, wanted);
    const founding: Entry = {members: {learners: [], voters}, term: 0};
    voters.forEach((id) => Object.assign(this.replicas.get(id)!, {copiedAt: 0, log: [founding]}));
    this.committed = [founding];
  }

  /** Names of the present VMs, in order. */
  get vmNames(): readonly VmId[] {
    return [...this.vms].filter(([, {current}]) => current !== null).map(([name]) => name);
  }

  /** Members in the leader's log; without a leader, the last committed ones. */
  get members(): GroupMembers {
    return this.leader === null
      ? this.membersOf(this.committed)
      : this.membersOf(this.logOf(this.leader.id));
  }

  /** Number of disks that count as lost. */
  get lostNow(): number {
    return this.lost.length;
  }

  /** The VM whose replica leads. */
  get leaderVm(): null | VmId {
    return this.leader === null ? null : vmOfReplica(this.leader.id);
  }

  /** Adds a VM, which replaces one that is gone for good if there is one. */
  join(): void {
    const name = `vm${this.vms.size + 1}`;
    const vm: Vm = {
      current: null,
      disks: 0,
      lastSeenAt: this.now,
      offlineUntil: -Infinity,
      retiring: false,
    };
    this.vms.set(name, vm);
    this.newDisk(name, vm);
    const replaced = this.lost.find(({successor}) => successor === null);
    if (replaced !== undefined) {
      replaced.successor = name;
    }
  }

  /** Makes a VM unreachable for a time; its disk stays. */
  silence(name: VmId, ms: number): void {
    const vm = this.vms.get(name)!;
    vm.offlineUntil = Math.max(vm.offlineUntil, this.now + ms);
    this.loseLeader(name);
  }

  /** Loses a VM's disk if the settings allow one more loss; the VM returns with an empty disk, or never. */
  loseDisk(name: VmId, backMs: null | number): void {
    const vm = this.vms.get(name)!;
    const {current} = vm;
    const known = this.lost.find((disk) => isOwnLoss(disk, name));
    if (current === null || (known === undefined && this.lost.length >= this.lostDisks)) {
      return;
    }
    if (known !== undefined) {
      this.lost.splice(this.lost.indexOf(known), 1);
    }
    const replicas = [...(known?.replicas ?? []), current];
    // A new VM that is lost too replaces nothing.
    const forIt = this.lost.filter(({successor}) => successor === name);
    forIt.forEach((disk) => Object.assign(disk, {successor: backMs === null ? null : name}));
    this.lost.push({replicas, since: this.now, successor: backMs === null ? null : name});
    this.replicas.delete(current);
    vm.retiring = false;
    this.loseLeader(name);
    if (backMs === null) {
      vm.current = null;
    } else {
      vm.offlineUntil = this.now + backMs;
      this.newDisk(name, vm);
    }
    this.check();
  }

  /** Requests that a VM be emptied; refused if too few would stay. */
  retire(name: VmId): void {
    const staying = [...this.vms].filter(
      ([other, {current, retiring}]) => other !== name && current !== null && !retiring,
    );
    if (staying.length >= votersFor(this.lostDisks)) {
      this.vms.get(name)!.retiring = true;
    }
  }

  /** Removes VMs that were reported as emptied; that is no loss. */
  removeEmptied(): void {
    for (const [name, vm] of this.vms) {
      const {current, retiring} = vm;
      if (current !== null && retiring && this.isEmptied(name, current)) {
        this.replicas.delete(current);
        vm.current = null;
        this.loseLeader(name);
        this.check();
      }
    }
  }

  /** Runs the given number of membership checks. */
  advance(rounds: number): void {
    for (let round = 0; round < rounds; round++) {
      this.now += MEMBERSHIP_CHECK_MS;
      this.recordHeartbeats();
      this.runCheck();
      this.forgetLost();
      this.check();
    }
  }

  /**
   * The leader starts its next step, replicates it to some of the others only, and becomes unreachable.
   *
   * @param receives whether a VM receives the step
   * @param ms how long it is unreachable
   * @param withDisk whether it also loses its disk, where the settings allow one more loss
   */
  leaderDies(receives: (name: VmId) => boolean, ms: number, withDisk: boolean): void {
    const {leader} = this;
    if (leader === null) {
      return;
    }
    const step = this.mayChange(leader) ? this.plan(leader) : null;
    this.append(leader.id, step?.kind === 'change' ? step.members : null);
    this.check();
    this.replicate(leader, receives);
    this.check();
    const name = vmOfReplica(leader.id);
    this.silence(name, ms);
    if (withDisk) {
      this.loseDisk(name, ms);
    }
    this.check();
  }

  /** Proposes a command that only some VMs receive at first. */
  propose(receives: (name: VmId) => boolean): void {
    const {leader} = this;
    if (leader !== null) {
      this.append(leader.id, null);
      this.replicate(leader, receives);
      this.check();
    }
  }

  /** Makes all VMs reachable again, except those that are gone. */
  heal(): void {
    for (const vm of this.vms.values()) {
      vm.offlineUntil = Math.min(vm.offlineUntil, this.now);
    }
  }

  /** Describes why an undisturbed group is not complete; null if it is. */
  findFault(): null | string {
    const {leader, lostDisks} = this;
    if (leader === null) {
      return 'no leader';
    }
    const wanted = votersFor(lostDisks);
    const able = [...this.vms.values()].filter(
      ({current, retiring}) => current !== null && !retiring,
    );
    const {voters} = this.members;
    if (able.length < wanted) {
      return null;
    }
    if (voters.length !== wanted) {
      return `${voters.length} voters in place of ${wanted}: ${voters.join(' ')}`;
    }
    const lagging = voters.find(
      (id) => !this.replicas.has(id) || this.logOf(id).length < this.committed.length,
    );
    return lagging === undefined ? null : `voter ${lagging} lacks committed entries`;
  }

  private vmOf(id: ReplicaId): Vm {
    return this.vms.get(vmOfReplica(id))!;
  }

  private logOf(id: ReplicaId): readonly Entry[] {
    return this.replicas.get(id)!.log;
  }

  private membersOf(log: readonly Entry[]): GroupMembers {
    return log.findLast(({members}) => members !== null)!.members!;
  }

  private newDisk(name: VmId, vm: Vm): void {
    vm.disks++;
    vm.current = `${name}/${vm.disks}`;
    this.replicas.set(vm.current, {copiedAt: null, log: []});
  }

  private isReached(id: ReplicaId): boolean {
    return this.replicas.has(id) && this.vmOf(id).offlineUntil <= this.now;
  }

  private loseLeader(name: VmId): void {
    if (this.leaderVm === name) {
      this.leader = null;
      this.leaderlessSince = this.now;
    }
  }

  private recordHeartbeats(): void {
    for (const vm of this.vms.values()) {
      if (vm.current !== null && vm.offlineUntil <= this.now) {
        vm.lastSeenAt = this.now;
      }
    }
  }

  private runCheck(): void {
    const {leader} = this;
    if (leader === null) {
      if (this.now - this.leaderlessSince >= ELECTION_MS) {
        this.elect();
      }
      return;
    }
    this.replicate(leader, () => true);
    if (this.now - leader.quorumAt > QUORUM_MS) {
      this.loseLeader(vmOfReplica(leader.id));
      return;
    }
    if (this.mayChange(leader)) {
      this.change(leader);
    }
  }

  private change(leader: Leader): void {
    const step = this.plan(leader);
    if (step === null) {
      return;
    }
    this.changes++;
    if (step.kind === 'handOver') {
      this.loseLeader(vmOfReplica(leader.id));
      this.elect(leader.id);
      return;
    }
    this.append(leader.id, step.members);
    this.check();
    this.replicate(leader, () => true);
  }

  /** Whether the leader has committed an entry of its own term, and no membership change is pending. */
  private mayChange({id, termLength}: Leader): boolean {
    const log = this.logOf(id);
    const changedAt = log.findLastIndex(({members}) => members !== null);
    const {length} = this.committed;
    return length >= termLength && changedAt < length;
  }

  private plan(leader: Leader): ReturnType<typeof planMembers> {
    const {lostDisks, members} = this;
    return planMembers({known: this.known(leader), lostDisks, members, self: leader.id});
  }

  private known({acked, addedAt, id: self}: Leader): readonly KnownReplica[] {
    const known = new Map<ReplicaId, KnownReplica>();
    for (const {current, lastSeenAt, retiring} of this.vms.values()) {
      if (current !== null) {
        // A new disk is unknown until its first heartbeat.
        const silentMs = this.isReached(current) ? this.now - lastSeenAt : VOTER_TIMEOUT_MS;
        known.set(current, {caughtUp: false, id: current, retiring, silentMs});
      }
    }
    for (const id of [...this.members.voters, ...this.members.learners]) {
      const {at, length} = acked.get(id) ?? {at: -Infinity, length: -1};
      const silentMs = this.now - Math.max(at, addedAt.get(id) ?? this.now);
      const retiring = known.get(id)?.retiring ?? false;
      known.set(id, {caughtUp: length >= this.committed.length, id, retiring, silentMs});
    }
    const retiring = known.get(self)?.retiring ?? false;
    known.set(self, {caughtUp: true, id: self, retiring, silentMs: 0});
    return [...known.values()];
  }

  private append(id: ReplicaId, members: GroupMembers | null): void {
    const replica = this.replicas.get(id)!;
    replica.log = [...replica.log, {members, term: this.term}];
  }

  private replicate(leader: Leader, receives: (name: VmId) => boolean): void {
    const {learners, voters} = this.membersOf(this.logOf(leader.id));
    for (const id of [...voters, ...learners]) {
      if (!leader.addedAt.has(id)) {
        leader.addedAt.set(id, this.now);
      }
      if (id !== leader.id && this.isReached(id) && receives(vmOfReplica(id))) {
        this.copyTo(id, leader);
      }
    }
    leader.acked.set(leader.id, {at: this.now, length: this.logOf(leader.id).length});
    const isReached = (voter: ReplicaId): boolean => leader.acked.get(voter)?.at === this.now;
    if (isMajority({learners, voters}, isReached)) {
      leader.quorumAt = this.now;
    }
    this.commit(leader);
  }

  /** Copies the leader's log. The first copy to a new replica takes one check interval. */
  private copyTo(id: ReplicaId, leader: Leader): void {
    const replica = this.replicas.get(id)!;
    replica.copiedAt ??= this.now + MEMBERSHIP_CHECK_MS;
    if (this.now >= replica.copiedAt) {
      replica.log = this.logOf(leader.id);
    }
    leader.acked.set(id, {at: this.now, length: replica.log.length});
  }

  private commit(leader: Leader): void {
    const log = this.logOf(leader.id);
    const members = this.membersOf(log);
    for (let {length} = log; length > this.committed.length; length--) {
      const isHeld = (id: ReplicaId): boolean => (leader.acked.get(id)?.length ?? 0) >= length;
      if (log[length - 1]!.term === leader.term && isMajority(members, isHeld)) {
        this.committed = log.slice(0, length);
        break;
      }
    }
    if (!members.voters.includes(leader.id) && this.committed.length === log.length) {
      this.loseLeader(vmOfReplica(leader.id));
    }
  }

  /** Whether a replica's log is at least as up to date as another's. */
  private isUpToDate(id: ReplicaId, other: ReplicaId): boolean {
    const own = this.logOf(id);
    const its = this.logOf(other);
    const ownTerm = own.at(-1)?.term ?? -1;
    const itsTerm = its.at(-1)?.term ?? -1;
    return ownTerm > itsTerm || (ownTerm === itsTerm && own.length >= its.length);
  }

  private isElectable(id: ReplicaId, isThere: (other: ReplicaId) => boolean): boolean {
    const log = this.logOf(id);
    if (log.length === 0) {
      return false;
    }
    const members = this.membersOf(log);
    const votes = (voter: ReplicaId): boolean => isThere(voter) && this.isUpToDate(id, voter);
    return members.voters.includes(id) && isMajority(members, votes);
  }

  private elect(but?: ReplicaId): void {
    const isThere = (id: ReplicaId): boolean => this.isReached(id);
    const able = [...this.replicas.keys()].filter(
      (id) => id !== but && isThere(id) && this.isElectable(id, isThere),
    );
    // Any of them may become a candidate first.
    const id = able[this.term % Math.max(1, able.length)];
    if (id === undefined) {
      return;
    }
    this.term++;
    this.append(id, null);
    const {now, term} = this;
    const addedAt = new Map<ReplicaId, number>();
    const termLength = this.logOf(id).length;
    this.leader = {acked: new Map(), addedAt, id, quorumAt: now, term, termLength};
    this.replicate(this.leader, () => true);
  }

  private isEmptied(name: VmId, replica: ReplicaId): boolean {
    const {leader, members} = this;
    if (leader === null) {
      return false;
    }
    const isCaughtUp = (id: ReplicaId): boolean =>
      (leader.acked.get(id)?.length ?? -1) >= this.committed.length;
    const settled = this.mayChange(leader) && members.voters.every(isCaughtUp);
    const report = {...members, emptying: [replica], settled, term: leader.term};
    return isEmptied({name, replica, retiring: true}, report, this.lostDisks);
  }

  /** Whether the loss of a VM, or of the one that it replaces, still counts. */
  private isCountedLost(name: VmId): boolean {
    return this.lost.some(({successor}) => successor === name);
  }

  /** VMs that are unreachable, or have been reachable again only for a short time. */
  private silentVms(): readonly VmId[] {
    const isSilent = ([, {current, offlineUntil}]: [VmId, Vm]): boolean =>
      current !== null && this.now - offlineUntil < CATCH_UP_MS;
    return [...this.vms].filter(isSilent).map(([name]) => name);
  }

  /** Number of VMs that count as lost: they are unreachable, or their disk is not replaced yet. */
  private lostVms(): number {
    return this.silentVms().filter((name) => !this.isCountedLost(name)).length + this.lost.length;
  }

  private forgetLost(): void {
    const isOverwhelmed = this.lostVms() > this.lostDisks;
    for (const disk of [...this.lost]) {
      const {replicas, successor} = disk;
      const isBack = successor !== null && this.vms.get(successor)!.offlineUntil <= this.now;
      // The group can't distinguish a VM that is gone for good from one that is only unreachable.
      const isUnclear =
        successor !== null && !isOwnLoss(disk, successor) && this.silentVms().length > 0;
      if (!isBack || isOverwhelmed || isUnclear) {
        // No progress is required while more VMs are away than the settings allow, so the time restarts.
        disk.since = this.now;
      }
      if (this.now - disk.since >= CATCH_UP_MS || replicas.every((id) => this.isReplaced(id))) {
        this.lost.splice(this.lost.indexOf(disk), 1);
      }
    }
  }

  /** Whether a lost replica is no member any more, and enough voters hold all committed entries. */
  private isReplaced(replica: ReplicaId): boolean {
    const {voters} = this.membersOf(this.committed);
    const present = [...this.members.voters, ...this.members.learners];
    const holds = (id: ReplicaId): boolean =>
      this.replicas.has(id) && this.logOf(id).length >= this.committed.length;
    return (
      voters.length >= votersFor(this.lostDisks) &&
      ![...voters, ...present].includes(replica) &&
      voters.every(holds)
    );
  }

  /** Checks the group for every combination of disks that may still be lost at this moment. */
  private check(): void {
    const ids = [...this.replicas.keys()];
    const isCountedLost = (id: ReplicaId): boolean =>
      this.lost.some((disk) => isOwnLoss(disk, vmOfReplica(id)));
    const countedLost = ids.filter(isCountedLost);
    const others = ids.filter((id) => !countedLost.includes(id));
    for (const gone of choose(others, this.lostDisks - this.lost.length)) {
      this.checkWithout(gone);
      this.checkWithout([...gone, ...countedLost]);
    }
  }

  private checkWithout(gone: readonly ReplicaId[]): void {
    const there = [...this.replicas.keys()].filter((id) => !gone.includes(id));
    const isThere = (id: ReplicaId): boolean => there.includes(id);
    const able = there.filter((id) => this.isElectable(id, isThere));
    const context = `without ${gone.join(' ')}, voters ${this.members.voters.join(' ')}`;
    if (able.length === 0) {
      throw new LossError(`no majority any more ${context}`);
    }
    // Logs with the same entry are identical up to it.
    const last = this.committed.length - 1;
    const lagging = able.find((id) => this.logOf(id)[last] !== this.committed[last]);
    if (lagging !== undefined) {
      throw new LossError(`${lagging} may lead and lacks a committed entry ${context}`);
    }
  }
}
