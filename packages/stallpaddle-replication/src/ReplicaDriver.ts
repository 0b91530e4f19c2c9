/**
 * Runs one replica: feeds events to the state machine and carries out its effects on the disk, the
 * network and the replicated state.
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

/** An append that only tells that its leader lives. */
function withoutEntries(message: Message): Message {
  const {body} = message;
  return body.kind === 'append' ? {...message, body: {...body, commit: 0, entries: []}} : message;
}

/** One replica of one group; see the module's comment. */
export class ReplicaDriver<State> {
  private readonly blobs: ReplicaBlobs;
  private commits = 0;
  private readonly damage: ReplicaCorruption;
  private readonly listeners = new Set<(state: State) => void>();
  private readonly requests = new ReplicaRequests();
  private readonly snapshots: ReplicaSnapshots<State>;
  private stopped = false;
  private commitTimer: NodeJS.Timeout | undefined;
  private readonly turns = new ReplicaTicker(() => this.tick());
  private readonly watch: ReplicaMonitor;
  private readonly writer: ReplicaWriter;

  private constructor(
    private readonly options: ReplicaOptions<State>,
    storage: ReplicaStorage,
    blobs: StorageBlobs,
    private replication: ReplicationState,
    private machineState: State,
    /** Log entries found at the start that the snapshot doesn't cover. */
    readonly replayed: number,
  ) {
    this.blobs = new ReplicaBlobs(blobs, (err) => this.fail(err));
    this.damage = new ReplicaCorruption(options.clock, options.logger, options.group);
    this.watch = new ReplicaMonitor(options.clock, options.logger, options.timing);
    this.writer = new ReplicaWriter({
      onFailure: (err) => this.fail(err),
      onPersisted: (index, term) => this.dispatch({index, kind: 'persisted', term}),
      send: (message) => options.transport.send(message),
      storage,
    });
    this.snapshots = new ReplicaSnapshots({
      assertRunning: () => this.checkRuns(),
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
   * Opens a replica from its disk and starts it.
   *
   * @param options what it is made of
   */
  static async open<State>(options: ReplicaOptions<State>): Promise<ReplicaDriver<State>> {
    const {clock, disk, group, machine, self, timing} = options;
    const {hardState, log, replay, snapshot, storage} = await Storage.load(disk);
    const state = snapshot === undefined ? machine.initial() : machine.decode(snapshot.machine);
    const blobs = await StorageBlobs.open(disk, machine.blobEnd(state));
    const start = startReplica({group, hardState, log, self, timing}, clock.monotonicMs());
    const driver = new ReplicaDriver(options, storage, blobs, start, state, replay);
    driver.dispatch({kind: 'applyKnown'});
    driver.watch.noteOpened(driver.replication, driver.blobs.end, replay);
    driver.followVote();
    driver.commitTimer = setInterval(() => driver.recordCommit(), COMMIT_RECORD_MS);
    return driver;
  }

  /** Counts since the start. */
  get counters(): ReplicaCounters {
    return {commits: this.commits, syncs: this.writer.syncs};
  }

  /** Delay of the latest late turn of the last two seconds, in milliseconds. */
  get tickDelayMs(): number {
    return this.watch.tickDelayMs;
  }

  /** Time that this leader's next command will count, in milliseconds; 0 without leadership. */
  get uncountedMs(): number {
    return uncountedMs(this.replication, this.options.clock.monotonicMs());
  }

  /** Replication state, for views and tests. */
  get status(): ReplicationState {
    return this.replication;
  }

  /** The state as applied here; it may lag behind the leader's. */
  get localState(): State {
    return this.machineState;
  }

  /** What this replica may do for its group now. */
  get leadership(): Leadership {
    return this.stopped
      ? {kind: 'follows'}
      : leadershipOf(this.replication, this.options.clock.monotonicMs());
  }

  /** Whether this replica leads and its lease runs. */
  get leads(): boolean {
    return this.leadership.kind === 'leads';
  }

  /** Age of what this replica surely holds of what is committed, in milliseconds; Infinity when it can't tell. */
  get stalenessMs(): number {
    const now = this.options.clock.monotonicMs();
    return this.leads ? 0 : now - this.replication.caughtUpAt;
  }

  /**
   * The state with all that was committed before this call.
   *
   * @throws {NotLeaderError} without leadership or lease
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
   * @returns the state machine's result, once a majority has the command on disk
   * @throws {NotLeaderError} when nothing was taken on
   * @throws {OutcomeUnknownError} when it may still be committed
   */
  propose(data: Uint8Array): Promise<unknown> {
    return this.request((requestId) => ({commands: [{data, requestId}], kind: 'propose'}));
  }

  /**
   * Changes the members by one replica.
   *
   * @param members the new members
   */
  async changeMembers(members: GroupMembers): Promise<void> {
    await this.request((requestId) => ({kind: 'changeMembers', members, requestId}));
  }

  /**
   * Whether a learner holds all that this leader has committed.
   *
   * @param learner the learner
   */
  isCaughtUp(learner: ReplicaId): boolean {
    return isCaughtUp(this.replication, learner);
  }

  /** Hands leadership to another replica, for a planned stop. */
  transferLeadership(): void {
    this.dispatch({kind: 'transferLeadership'});
  }

  /**
   * Takes in a message of another replica.
   *
   * @param message addressed to this replica
   */
  receive(message: Message): void {
    if (message.to === this.options.self) {
      // Entries that are applied while a snapshot is saved would cut off the bulk data that it names, and be forgotten with
      // the state that it replaces. The leader sends them again.
      const taken = this.snapshots.isInstalling ? withoutEntries(message) : message;
      this.dispatch({kind: 'message', message: taken});
    }
  }

  /**
   * Calls back after each change of the state.
   *
   * @param listener gets the new state
   * @returns ends the calls
   */
  registerListener(listener: (state: State) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Reads bulk data.
   *
   * @param ref its place, from the state
   */
  async readBlob(ref: BlobRef): Promise<Uint8Array> {
    try {
      return await this.blobs.read(ref);
    } catch (err) {
      if (err instanceof CorruptionError && this.damage.note(ref, err, this.leads)) {
        // The others may hold it whole, and callers ask whoever leads.
        this.makeWay();
      }
      throw err;
    }
  }

  /**
   * Prepares to take a snapshot from a leader.
   *
   * @param meta its place
   * @param term the leader's term
   * @returns where the bulk data goes on, or undefined when the snapshot isn't wanted
   */
  beginInstall(meta: SnapshotMeta, term: Term): Promise<number | undefined> {
    return this.snapshots.beginInstall(meta, term);
  }

  /**
   * Takes bulk data that comes before a snapshot.
   *
   * @param offset where it goes; anywhere but after the present end it is ignored
   * @param bytes content
   * @returns where the bulk data goes on
   */
  async installBlobs(offset: number, bytes: Uint8Array): Promise<number> {
    this.checkRuns();
    await this.blobs.install(offset, bytes);
    return this.blobs.end;
  }

  /**
   * Takes over a snapshot whose bulk data has arrived.
   *
   * @param snapshot content
   * @param term the leader's term
   * @returns whether it was taken over
   */
  async finishInstall(snapshot: MachineSnapshot, term: Term): Promise<boolean> {
    const installed = await this.snapshots.finishInstall(snapshot, term);
    this.notify();
    return installed;
  }

  /** Ends the replica without any further write. */
  async close(): Promise<void> {
    this.stop();
    await this.snapshots.settle();
    await this.writer.close();
    await this.blobs.close();
  }

  private makeWay(): void {
    if (this.replication.log.members.voters.length > 1) {
      this.transferLeadership();
    }
  }

  /** A replica that has ended writes nothing: its successor may have opened the same files. */
  private checkRuns(): void {
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
        this.carryOut(effect);
      }
      if (this.watch.noteRole(before, state)) {
        this.requests.abandonPlaced();
      }
    } catch (err) {
      this.fail(err);
      return;
    }
    this.followVote();
    this.writer.flush();
    this.snapshots.startWhenDue();
  }

  /** Only a leader has to look at its clock often. */
  private followVote(): void {
    if (this.stopped) {
      return;
    }
    const now = this.options.clock.monotonicMs();
    const electionMs = msUntilElection(this.replication, now);
    const waitMs = electionMs ?? tickPeriodMs(this.options.timing, isVoter(this.replication));
    const isNew =
      electionMs === undefined ? this.turns.follow(waitMs) : this.turns.followOnce(waitMs, now);
    if (isNew) {
      this.watch.expectTurn(waitMs);
    }
  }

  private tick(): void {
    this.watch.noteTurn(this.replication);
    this.dispatch({kind: 'tick'});
    this.watch.noteLease(this.replication);
  }

  private carryOut(effect: ReturnType<typeof stepReplica>['effects'][number]): void {
    switch (effect.kind) {
      case 'apply':
        this.apply(effect.entries);
        return;
      case 'persist':
        this.writer.add(effect.hardState, effect.entries);
        return;
      case 'proposed':
        this.requests.place(effect.requestId, effect.index, effect.term);
        return;
      case 'rejected':
        this.requests.refuse(effect.requestId, effect.leader);
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
      this.requests.finish(entry, this.applyOne(entry), this.leaderHint());
    }
    this.notify();
  }

  private applyOne(entry: LogEntry): unknown {
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
    this.options.logger.error('The replica ends after a failure.', {
      group: this.options.group,
      reason: errorMessage(err),
    });
    this.stop();
    this.options.onFailure(err);
  }

  private stop(): void {
    this.stopped = true;
    clearInterval(this.commitTimer);
    this.turns.stop();
    this.requests.stop();
    this.writer.stop();
  }
}
