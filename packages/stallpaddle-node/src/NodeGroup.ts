/**
 * One replica of a group, and the care for the group's members while it leads.
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

import {GROUP_TIMING, KEEP_MEMBERS_MS, REOPEN_MS, SECOND_MS} from './NodeConstants';
import {type KnownReplica, planMembers} from './NodeMembershipPlanner';

/** Most changes of members at one look: all that follows a lost VM, or the founding of a group of five by three. */
const MAX_STEPS_PER_CHECK = 4;

/** A replica that may belong to the group, as the process has heard of it. */
export interface Candidate {
  readonly id: ReplicaId;
  readonly retiring: boolean;
  /** Time since it was last heard, in milliseconds. */
  readonly silentMs: number;
}

/** What the replica needs of its process. */
export interface NodeGroupOptions<State> extends Omit<
  ReplicaOptions<State>,
  'timing' | 'transport'
> {
  /** Everyone who may belong to the group. */
  readonly candidates: () => readonly Candidate[];
  /** First members, when the group begins with this disk among them. */
  readonly founders: readonly ReplicaId[] | null;
  readonly lostDisks: number;
  readonly peers: NodePeers;
}

/**
 * Whether a disk is only full: that may pass, and no byte that was synced is in doubt. After any other
 * failure of a disk the process ends.
 */
function isFullDisk(err: unknown): boolean {
  return err instanceof Error && 'code' in err && err.code === 'ENOSPC';
}

/** See the module's comment. */
export class NodeGroup<State> {
  private closed = false;
  private current!: ReplicaDriver<State>;
  private readonly listeners = new Set<() => void>();
  private stopReconciling: () => Promise<void> = () => Promise.resolve();

  private constructor(private readonly options: NodeGroupOptions<State>) {}

  /**
   * Opens the replica. A disk that holds none yet and isn't among the founders waits to be taken in.
   *
   * @param options what the replica needs of its process
   */
  static async open<State>(options: NodeGroupOptions<State>): Promise<NodeGroup<State>> {
    const {disk, founders, machine, self} = options;
    const formed = await ReplicaStorage.formedMembers(disk);
    if (formed === undefined && founders !== null && founders.includes(self)) {
      const members = {learners: [], voters: founders};
      await ReplicaStorage.form(disk, machine.encode(machine.initial()), members);
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
    // Only now: a slow disk may take longer to open than a round waits.
    group.stopReconciling = registerLoop(KEEP_MEMBERS_MS, () => group.reconcileMembers());
    return group;
  }

  /** The replica; another one after its disk has failed and come back. */
  get driver(): ReplicaDriver<State> {
    return this.current;
  }

  /**
   * Calls back after each change of the state.
   *
   * @param listener what to call
   * @returns ends the calls
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

  /** Opens the replica again and again until its disk takes it; the others go on without it. */
  private async reopen(failure: unknown): Promise<void> {
    await this.current.close().catch(() => {});
    await this.retryOpen(failure);
  }

  private async retryOpen(failure: unknown): Promise<void> {
    const {group, logger} = this.options;
    logger.warn('The disk is full; the replica waits for room.', {
      group,
      reason: errorMessage(failure),
    });
    while (!this.closed) {
      await delay(REOPEN_MS);
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
   * Whether every voter holds all that was committed, and the members themselves are: the next leader may not know of a
   * change that isn't, and count on a replica that has left since.
   */
  get settled(): boolean {
    const {status} = this.driver;
    const {members, membersIndex} = status.log;
    const isWhole = (voter: ReplicaId): boolean =>
      voter === this.options.self || isCaughtUp(status, voter);
    return membersIndex <= status.commit && members.voters.every(isWhole);
  }

  /**
   * Adds what tells of the replica's health.
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
      return this.driver.turnLateMs / SECOND_MS;
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

  /** Ends the replica. */
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
      // Whoever this leader has just begun to send to may have answered nothing yet: its first answer comes behind what
      // is under way to it. A process that lives while its disk takes nothing is silent too.
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
   * A step that is due after another is taken at once: between the vote of a successor and the end of the voter that it
   * replaces lies one voter that counts and may be lost.
   */
  private async reconcileMembers(): Promise<void> {
    for (let steps = 0; steps < MAX_STEPS_PER_CHECK && !this.closed; steps++) {
      if (!(await this.takeStep())) {
        return;
      }
    }
  }

  /** Changes the members where that is due; returns whether it was done. */
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
