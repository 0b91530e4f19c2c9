/**
 * This process's replica of a group.
 */
import type {ReplicaId} from 'stallpaddle';

import {delay, errorMessage, registerLoop} from 'stallpaddle';
import {
  isCaughtUp,
  ReplicaDriver,
  type ReplicaOptions,
  ReplicaStorage,
} from 'stallpaddle-replication';
import {sendSnapshot} from 'stallpaddle-rpc';

import type {NodeMetrics, ReadGauge} from './NodeMetrics';
import type {NodePeers} from './NodePeers';

import {DISK_REOPEN_PAUSE_MS, GROUP_TIMING, MEMBERSHIP_CHECK_MS, SECOND_MS} from './NodeConstants';
import {type KnownReplica, planMembers} from './NodeMembershipPlanner';

/** Most membership changes in one check: enough to replace a lost VM, or to grow a group from three to five voters. */
const MAX_STEPS_PER_CHECK = 4;

/** A replica that may become a member of the group. */
export interface Candidate {
  readonly id: ReplicaId;
  readonly retiring: boolean;
  /** Time since its last heartbeat, in milliseconds. */
  readonly silentMs: number;
}

/** Dependencies of {@link NodeGroup}. */
export interface NodeGroupOptions<State> extends Omit<
  ReplicaOptions<State>,
  'timing' | 'transport'
> {
  /** Replicas that may become members. */
  readonly candidates: () => readonly Candidate[];
  /** First members of the group; null on a disk that is not to found it. */
  readonly founders: readonly ReplicaId[] | null;
  readonly lostDisks: number;
  readonly peers: NodePeers;
}

/** Whether a disk is full. That may pass and leaves synced data intact; after any other disk failure the process ends. */
function isFullDisk(err: unknown): boolean {
  return err instanceof Error && 'code' in err && err.code === 'ENOSPC';
}

/**
 * Runs one replica of a group. While it leads, it also changes the group's members as {@link planMembers} decides.
 */
export class NodeGroup<State> {
  private closed = false;
  private current!: ReplicaDriver<State>;
  private readonly listeners = new Set<() => void>();
  private stopReconciling: () => Promise<void> = () => Promise.resolve();

  private constructor(private readonly options: NodeGroupOptions<State>) {}

  /**
   * Opens the replica. An empty disk that isn't among the founders waits until the group adds it.
   *
   * @param options its dependencies
   */
  static async open<State>(options: NodeGroupOptions<State>): Promise<NodeGroup<State>> {
    const {disk, founders, machine, self} = options;
    const formed = await ReplicaStorage.storedMembers(disk);
    if (formed === undefined && founders !== null && founders.includes(self)) {
      const members = {learners: [], voters: founders};
      await ReplicaStorage.initialize(disk, machine.encode(machine.initial()), members);
    }
    const group = new NodeGroup(options);
    try {
      await group.openDriver();
    } catch (err) {
      if (!isFullDisk(err)) {
        throw err;
      }
      await group.retryOpen(err);
    }
    // Starts only after the replica is open: on a slow disk that may take longer than the interval.
    group.stopReconciling = registerLoop(MEMBERSHIP_CHECK_MS, () => group.reconcileMembers());
    return group;
  }

  /** The replica's driver. A new one replaces it after the disk was full. */
  get driver(): ReplicaDriver<State> {
    return this.current;
  }

  /**
   * Registers a listener that is called after each change of the state.
   *
   * @param listener the listener
   * @returns removes the listener
   */
  registerListener(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private async openDriver(): Promise<void> {
    const {clock, disk, group, logger, machine, peers, self, snapshotLogBytes} = this.options;
    this.current = await ReplicaDriver.open({
      clock,
      disk,
      group,
      logger,
      machine,
      onFailure: (err) => this.onFailure(err),
      self,
      snapshotLogBytes,
      timing: GROUP_TIMING,
      transport: {
        send: (message) => peers.send(message),
        sendSnapshot: (to, source) => sendSnapshot(peers.of(to), source),
      },
    });
    this.current.registerListener(() => [...this.listeners].forEach((listener) => listener()));
  }

  private onFailure(err: unknown): void {
    if (isFullDisk(err)) {
      void this.reopen(err);
    } else {
      this.options.onFailure(err);
    }
  }

  /** Reopens the replica, retrying until its disk has space. */
  private async reopen(failure: unknown): Promise<void> {
    await this.current.close().catch(() => {});
    await this.retryOpen(failure);
  }

  private async retryOpen(failure: unknown): Promise<void> {
    const {group, logger} = this.options;
    logger.warn('The disk is full; the replica waits for free space.', {
      group,
      reason: errorMessage(failure),
    });
    while (!this.closed) {
      await delay(DISK_REOPEN_PAUSE_MS);
      try {
        await this.openDriver();
        logger.info('The replica is open again.', {group});
        return;
      } catch (err) {
        if (!isFullDisk(err)) {
          this.options.onFailure(err);
          return;
        }
      }
    }
  }

  /**
   * Whether the current members are committed and every voter holds all committed entries. The next leader may not know
   * of an uncommitted change of members, and would still count on a replica that has left.
   */
  get settled(): boolean {
    const {status} = this.driver;
    const {members, membersIndex} = status.log;
    const isWhole = (voter: ReplicaId): boolean =>
      voter === this.options.self || isCaughtUp(status, voter);
    return membersIndex <= status.commit && members.voters.every(isWhole);
  }

  /**
   * Exposes metrics of the replica's health.
   *
   * @param metrics the process's metrics
   */
  exposeMetrics(metrics: NodeMetrics): void {
    const expose = (name: string, help: string, read: ReadGauge): void =>
      metrics.exposeGauge(`stallpaddle_replica_${name}`, help, read);
    expose('leads', 'Whether this replica leads with its lease.', () => Number(this.driver.leads));
    expose('term', 'Election period; rises with each election.', () => this.driver.status.term);
    expose('commits', 'Entries applied since the start.', () => this.driver.counters.commits);
    expose('syncs', 'Syncs of the log since the start.', () => this.driver.counters.syncs);
    expose('turn_late_seconds', 'Delay of the latest turn of the last two seconds.', () => {
      return this.driver.tickDelayMs / SECOND_MS;
    });
    expose('voters', 'Voters of the group.', () => this.driver.status.log.members.voters.length);
    expose('unapplied', 'Entries in the log that are not known to be committed.', () => {
      const {commit, log} = this.driver.status;
      return log.lastIndex - commit;
    });
    expose('lag', 'Entries that the replica furthest behind lacks, as the leader knows.', () => {
      const {commit, role} = this.driver.status;
      const matches = role.kind === 'leader' ? [...role.progress.values()] : [];
      return Math.max(0, ...matches.map(({match}) => commit - match));
    });
  }

  /** Closes the replica. */
  async close(): Promise<void> {
    this.closed = true;
    await this.stopReconciling();
    await this.driver.close();
  }

  private knownReplicas(): readonly KnownReplica[] {
    const {status} = this.driver;
    const {role} = status;
    if (role.kind !== 'leader') {
      return [];
    }
    const now = this.options.clock.monotonicMs();
    const known = new Map<ReplicaId, KnownReplica>();
    for (const {id, retiring, silentMs} of this.options.candidates()) {
      known.set(id, {caughtUp: false, id, retiring, silentMs});
    }
    for (const [id, {addedAt, appendAckedSentAt}] of role.progress) {
      // A member that was just added may not have answered yet: its first acknowledgement comes after all the data that
      // is in flight to it. Only acknowledged appends count, so a process whose disk hangs is silent too.
      const silentMs = now - Math.max(appendAckedSentAt, addedAt);
      const retiring = known.get(id)?.retiring ?? false;
      known.set(id, {caughtUp: isCaughtUp(status, id), id, retiring, silentMs});
    }
    const {self} = this.options;
    const retiring = known.get(self)?.retiring ?? false;
    known.set(self, {caughtUp: true, id: self, retiring, silentMs: 0});
    return [...known.values()];
  }

  /**
   * Executes membership steps until none is due. Steps aren't spread over several checks: while both a
   * successor and the voter that it replaces are voters, the group may survive fewer losses.
   */
  private async reconcileMembers(): Promise<void> {
    for (let steps = 0; steps < MAX_STEPS_PER_CHECK && !this.closed; steps++) {
      if (!(await this.takeStep())) {
        return;
      }
    }
  }

  /** Executes the next membership step, if any; returns whether the members were changed. */
  private async takeStep(): Promise<boolean> {
    const {group, logger, lostDisks, self} = this.options;
    const {driver} = this;
    if (!driver.leads) {
      return false;
    }
    const {members} = driver.status.log;
    const step = planMembers({known: this.knownReplicas(), lostDisks, members, self});
    if (step === null) {
      return false;
    }
    if (step.kind === 'handOver') {
      driver.transferLeadership();
      return false;
    }
    const fields = {
      group,
      learners: step.members.learners.join(','),
      reason: step.reason,
      voters: step.members.voters.join(','),
    };
    try {
      await driver.changeMembers(step.members);
      logger.info('The members of the group change.', fields);
      return true;
    } catch (err) {
      logger.warn('The members could not be changed.', {...fields, error: errorMessage(err)});
      return false;
    }
  }
}
