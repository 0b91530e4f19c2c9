/**
 * Driver of a replica.
 */

import type {ReplicaId} from 'stallpaddle';
import type {BlobRef} from 'stallpaddle-storage';

import {errorMessage, unreachable} from 'stallpaddle';
import {CorruptionError, StorageBlobs} from 'stallpaddle-storage';

import type {ReplicaCounters, ReplicaOptions} from './ReplicaOptions';
import type {MachineSnapshot, ReplicaStorage} from './ReplicaStorage';
import type {
  GroupMembers,
  HardState,
  Leadership,
  LogEntry,
  Message,
  ReplicationEvent,
  ReplicationState,
  SnapshotMeta,
  Term,
} from './ReplicationTypes';

import {ReplicaBlobs} from './ReplicaBlobs';
import {COMMIT_RECORD_MS} from './ReplicaConstants';
import {ReplicaCorruption} from './ReplicaCorruption';
import {NotLeaderError, ReplicaStoppedError} from './ReplicaErrors';
import {ReplicaMonitor} from './ReplicaMonitor';
import {ReplicaRequests} from './ReplicaRequests';
import {ReplicaSnapshots} from './ReplicaSnapshots';
import {ReplicaStorage as Storage} from './ReplicaStorage';
import {isVoter, msUntilElection, ReplicaTicker, tickPeriodMs} from './ReplicaTicker';
import {leadershipOf} from './ReplicationLease';
import {isCaughtUp, knownLeader, startReplica, stepReplica, uncountedMs} from './ReplicationStep';
import {ReplicaWriter} from './ReplicaWriter';

/** Strips an append of its entries and commit index, which leaves a heartbeat. */
function withoutEntries(message: Message): Message {
  const {body} = message;
  return body.kind === 'append' ? {...message, body: {...body, commit: 0, entries: []}} : message;
}

/**
 * Runs one replica of a group: feeds events to the state machine and executes its effects on the disk, the network and
 * the replicated state.
 */
export class ReplicaDriver<State> {
  private readonly blobs: ReplicaBlobs;
  private commits = 0;
  private readonly corruption: ReplicaCorruption;
  private readonly listeners = new Set<(state: State) => void>();
  private readonly requests = new ReplicaRequests();
  private readonly snapshots: ReplicaSnapshots<State>;
  private stopped = false;
  private commitTimer: NodeJS.Timeout | undefined;
  private readonly ticker = new ReplicaTicker(() => this.tick());
  private readonly monitor: ReplicaMonitor;
  private readonly writer: ReplicaWriter;

  private constructor(
    private readonly options: ReplicaOptions<State>,
    storage: ReplicaStorage,
    blobs: StorageBlobs,
    private replication: ReplicationState,
    private machineState: State,
    /** Number of stored log entries at the start that the snapshot does not cover. */
    readonly replayed: number,
  ) {
    this.blobs = new ReplicaBlobs(blobs, (err) => this.fail(err));
    this.corruption = new ReplicaCorruption(options.clock, options.logger, options.group);
    this.monitor = new ReplicaMonitor(options.clock, options.logger, options.timing);
    this.writer = new ReplicaWriter({
      onFailure: (err) => this.fail(err),
      onPersisted: (index, term) => this.dispatch({index, kind: 'persisted', term}),
      send: (message) => options.transport.send(message),
      storage,
    });
    this.snapshots = new ReplicaSnapshots({
      assertRunning: () => this.assertRunning(),
      blobs: this.blobs,
      dispatch: (event) => this.dispatch(event),
      fail: (err) => this.fail(err),
      hardState: () => this.hardState(),
      machineState: () => this.machineState,
      options,
      replication: () => this.replication,
      setMachineState: (state) => {
        this.machineState = state;
      },
      storage,
      writer: this.writer,
    });
  }

  /**
   * Opens a replica from its stored data and starts it.
   *
   * @param options dependencies and settings
   */
  static async open<State>(options: ReplicaOptions<State>): Promise<ReplicaDriver<State>> {
    const {clock, disk, group, machine, self, timing} = options;
    const {hardState, log, replay, snapshot, storage} = await Storage.load(disk);
    const state = snapshot === undefined ? machine.initial() : machine.decode(snapshot.machine);
    const blobs = await StorageBlobs.open(disk, machine.blobEnd(state));
    const start = startReplica({group, hardState, log, self, timing}, clock.monotonicMs());
    const driver = new ReplicaDriver(options, storage, blobs, start, state, replay);
    driver.dispatch({kind: 'applyKnown'});
    driver.monitor.logOpened(driver.replication, driver.blobs.end, replay);
    driver.scheduleTick();
    driver.commitTimer = setInterval(() => driver.recordCommit(), COMMIT_RECORD_MS);
    return driver;
  }

  /** Counters since the start. */
  get counters(): ReplicaCounters {
    return {commits: this.commits, syncs: this.writer.syncs};
  }

  /** Delay of the latest late clock tick of the last two seconds, in milliseconds. */
  get tickDelayMs(): number {
    return this.monitor.tickDelayMs;
  }

  /** Time that the next command of this leader will count, in milliseconds; 0 for other replicas. */
  get uncountedMs(): number {
    return uncountedMs(this.replication, this.options.clock.monotonicMs());
  }

  /** Replication state, for status pages and tests. */
  get status(): ReplicationState {
    return this.replication;
  }

  /** Locally applied state; may lag behind the leader. */
  get localState(): State {
    return this.machineState;
  }

  /** Whether this replica leads its group, with or without a valid lease. */
  get leadership(): Leadership {
    return this.stopped
      ? {kind: 'follows'}
      : leadershipOf(this.replication, this.options.clock.monotonicMs());
  }

  /** Whether this replica is the leader and holds the lease. */
  get leads(): boolean {
    return this.leadership.kind === 'leads';
  }

  /** Upper bound on the staleness of the local state, in milliseconds; Infinity if unknown. */
  get stalenessMs(): number {
    const now = this.options.clock.monotonicMs();
    return this.leads ? 0 : now - this.replication.caughtUpAt;
  }

  /**
   * State that includes everything committed before the call.
   *
   * @throws {NotLeaderError} if this replica is not the leader or has no lease
   */
  read(): State {
    if (!this.leads) {
      throw new NotLeaderError(this.leaderHint());
    }
    return this.machineState;
  }

  /**
   * Proposes a command.
   *
   * @param data encoded command
   * @returns the result of the state machine, once a majority has synced the command
   * @throws {NotLeaderError} if the command was not accepted
   * @throws {OutcomeUnknownError} if the command may still be committed
   */
  propose(data: Uint8Array): Promise<unknown> {
    return this.request((requestId) => ({commands: [{data, requestId}], kind: 'propose'}));
  }

  /**
   * Adds or removes one voter, and sets the learners.
   *
   * @param members the new members
   */
  async changeMembers(members: GroupMembers): Promise<void> {
    await this.request((requestId) => ({kind: 'changeMembers', members, requestId}));
  }

  /**
   * Whether a learner holds everything that this leader has committed.
   *
   * @param learner the learner
   */
  isCaughtUp(learner: ReplicaId): boolean {
    return isCaughtUp(this.replication, learner);
  }

  /** Transfers leadership to another voter, before a planned stop for example. */
  transferLeadership(): void {
    this.dispatch({kind: 'transferLeadership'});
  }

  /**
   * Processes a message from another replica.
   *
   * @param message addressed to this replica
   */
  receive(message: Message): void {
    if (message.to === this.options.self) {
      // Entries applied while a snapshot is being saved would truncate bulk data that it refers to, and would be lost
      // when it replaces the state. The leader sends them again.
      const accepted = this.snapshots.isInstalling ? withoutEntries(message) : message;
      this.dispatch({kind: 'message', message: accepted});
    }
  }

  /**
   * Calls a listener after each change of the state.
   *
   * @param listener receives the new state
   * @returns removes the listener
   */
  registerListener(listener: (state: State) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Reads bulk data.
   *
   * @param ref location of the data, from the state
   */
  async readBlob(ref: BlobRef): Promise<Uint8Array> {
    try {
      return await this.blobs.read(ref);
    } catch (err) {
      if (err instanceof CorruptionError && this.corruption.report(ref, err, this.leads)) {
        // Other replicas may hold an intact copy, and clients read from the leader.
        this.handOverLeadership();
      }
      throw err;
    }
  }

  /**
   * Prepares to receive a snapshot from a leader.
   *
   * @param meta position of the snapshot
   * @param term term of the leader
   * @returns the offset at which the bulk data continues, or undefined if the snapshot is not needed
   */
  beginInstall(meta: SnapshotMeta, term: Term): Promise<number | undefined> {
    return this.snapshots.beginInstall(meta, term);
  }

  /**
   * Appends bulk data that is transferred ahead of a snapshot.
   *
   * @param offset offset of the data; ignored unless it continues the present data
   * @param bytes raw content
   * @returns the offset at which the bulk data continues
   */
  async installBlobs(offset: number, bytes: Uint8Array): Promise<number> {
    this.assertRunning();
    await this.blobs.install(offset, bytes);
    return this.blobs.end;
  }

  /**
   * Installs a snapshot whose bulk data has arrived.
   *
   * @param snapshot the snapshot
   * @param term term of the leader
   * @returns whether it was installed
   */
  async finishInstall(snapshot: MachineSnapshot, term: Term): Promise<boolean> {
    const installed = await this.snapshots.finishInstall(snapshot, term);
    this.notify();
    return installed;
  }

  /** Stops the replica without any further write, and closes its files. */
  async close(): Promise<void> {
    this.stop();
    await this.snapshots.settle();
    await this.writer.close();
    await this.blobs.close();
  }

  private handOverLeadership(): void {
    if (this.replication.log.members.voters.length > 1) {
      this.transferLeadership();
    }
  }

  /** A stopped replica must not write: another instance may have opened the same files. */
  private assertRunning(): void {
    if (this.stopped) {
      throw new ReplicaStoppedError();
    }
  }

  private request(makeEvent: (requestId: number) => ReplicationEvent): Promise<unknown> {
    if (this.stopped) {
      return Promise.reject(new ReplicaStoppedError());
    }
    return this.requests.add((requestId) => this.dispatch(makeEvent(requestId)));
  }

  private leaderHint(): ReplicaId | null {
    const leader = knownLeader(this.replication);
    return leader === this.options.self ? null : leader;
  }

  private hardState(): HardState {
    const {commit, term, votedFor} = this.replication;
    return {commit, term, votedFor};
  }

  private dispatch(event: ReplicationEvent): void {
    if (this.stopped) {
      return;
    }
    try {
      const before = this.replication;
      const {effects, state} = stepReplica(before, event, this.options.clock.monotonicMs());
      this.replication = state;
      for (const effect of effects) {
        this.execute(effect);
      }
      if (this.monitor.recordRole(before, state)) {
        this.requests.abandonAppended();
      }
    } catch (err) {
      this.fail(err);
      return;
    }
    this.scheduleTick();
    this.writer.flush();
    this.snapshots.startWhenDue();
  }

  /**
   * Schedules the next tick: at regular intervals, or only at the election timeout where nothing else depends on ticks.
   */
  private scheduleTick(): void {
    if (this.stopped) {
      return;
    }
    const now = this.options.clock.monotonicMs();
    const electionMs = msUntilElection(this.replication, now);
    const waitMs = electionMs ?? tickPeriodMs(this.options.timing, isVoter(this.replication));
    const isChanged =
      electionMs === undefined ? this.ticker.tickEvery(waitMs) : this.ticker.tickAfter(waitMs, now);
    if (isChanged) {
      this.monitor.expectTick(waitMs);
    }
  }

  private tick(): void {
    this.monitor.recordTick(this.replication);
    this.dispatch({kind: 'tick'});
    this.monitor.recordLease(this.replication);
  }

  private execute(effect: ReturnType<typeof stepReplica>['effects'][number]): void {
    switch (effect.kind) {
      case 'apply':
        this.apply(effect.entries);
        return;
      case 'persist':
        this.writer.add(effect.hardState, effect.entries);
        return;
      case 'proposed':
        this.requests.markAppended(effect.requestId, effect.index, effect.term);
        return;
      case 'rejected':
        this.requests.reject(effect.requestId, effect.leader);
        return;
      case 'send':
        this.writer.send(effect.message, effect.afterPersist);
        return;
      case 'sendSnapshot':
        void this.snapshots.send(effect.to);
        return;
      default:
        unreachable(effect);
    }
  }

  private recordCommit(): void {
    if (!this.stopped && this.replication.commit > this.writer.recordedCommit) {
      this.writer.add(this.hardState(), []);
      this.writer.flush();
    }
  }

  private apply(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      this.commits++;
      this.requests.complete(entry, this.applyEntry(entry), this.leaderHint());
    }
    this.notify();
  }

  private applyEntry(entry: LogEntry): unknown {
    if (entry.payload.kind !== 'command') {
      return undefined;
    }
    const before = this.options.machine.blobEnd(this.machineState);
    const {blobs, result, state} = this.options.machine.apply(
      this.machineState,
      entry.payload.data,
      entry.payload.elapsedMs ?? 0,
    );
    this.machineState = state;
    if (blobs.length > 0) {
      this.blobs.add(before, blobs);
    }
    return result;
  }

  private notify(): void {
    for (const listener of this.listeners) {
      listener(this.machineState);
    }
  }

  private fail(err: unknown): void {
    if (this.stopped) {
      return;
    }
    this.options.logger.error('The replica stops after a failure.', {
      group: this.options.group,
      reason: errorMessage(err),
    });
    this.stop();
    this.options.onFailure(err);
  }

  private stop(): void {
    this.stopped = true;
    clearInterval(this.commitTimer);
    this.ticker.stop();
    this.requests.stop();
    this.writer.stop();
  }
}
