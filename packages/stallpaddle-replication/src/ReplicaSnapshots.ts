/**
 * A replica's snapshots: taken, sent to replicas that lag, and taken over from a leader; one at a time.
 */
import type {MonotonicMs, ReplicaId} from 'stallpaddle';

import {errorMessage} from 'stallpaddle';

import type {ReplicaBlobs} from './ReplicaBlobs';
import type {ReplicaOptions, SnapshotSource} from './ReplicaOptions';
import type {MachineSnapshot, ReplicaStorage} from './ReplicaStorage';
import type {
  HardState,
  ReplicationEvent,
  ReplicationState,
  SnapshotMeta,
  Term,
} from './ReplicationTypes';
import type {ReplicaWriter} from './ReplicaWriter';

import {LOG_BYTES_BEFORE_SNAPSHOT, LOG_BYTES_KEPT} from './ReplicaConstants';
import {wantsSnapshot} from './ReplicationFollower';

/**
 * Time for which a snapshot that was taken for a replica is sent again in place of a new one, in milliseconds: some tries at
 * a replica that is dark, each of which would write the whole state and sync all bulk data at a leader that has other work.
 */
const SEND_AGAIN_MS = 5_000;

/** What snapshots need of their replica. */
export interface ReplicaSnapshotsHost<State> {
  readonly blobs: ReplicaBlobs;
  /** Throws once the replica has ended: its successor may have opened the same files. */
  readonly assertRunning: () => void;
  readonly dispatch: (event: ReplicationEvent) => void;
  readonly fail: (err: unknown) => void;
  readonly hardState: () => HardState;
  readonly machineState: () => State;
  readonly options: ReplicaOptions<State>;
  readonly replication: () => ReplicationState;
  readonly setMachineState: (state: State) => void;
  readonly storage: ReplicaStorage;
  readonly writer: ReplicaWriter;
}

/** A snapshot with when it was taken. */
interface TakenSnapshot {
  readonly at: MonotonicMs;
  readonly snapshot: MachineSnapshot;
}

/** See the module's comment. */
export class ReplicaSnapshots<State> {
  private installing = false;
  /** The snapshot that was sent last. */
  private sent: TakenSnapshot | undefined;
  private taking = false;
  private work: Promise<unknown> = Promise.resolve();

  /**
   * @param host the replica
   */
  constructor(private readonly host: ReplicaSnapshotsHost<State>) {}

  /** A snapshot of another replica is being saved: no entry may be applied meanwhile. */
  get isInstalling(): boolean {
    return this.installing;
  }

  /** Resolves once all that was begun has ended. */
  async settle(): Promise<void> {
    await this.work;
  }

  /**
   * Prepares to take a snapshot from a leader.
   *
   * @param meta its place
   * @param term the leader's term
   * @returns where the bulk data goes on, or undefined when the snapshot isn't wanted
   */
  beginInstall(meta: SnapshotMeta, term: Term): Promise<number | undefined> {
    const {blobs, machineState, options, replication} = this.host;
    // Alone: a cut while another snapshot is saved would take the bulk data that it names.
    return this.alone(async () => {
      if (term < replication().term || !wantsSnapshot(replication(), meta)) {
        return undefined;
      }
      await blobs.cutTo(options.machine.blobEnd(machineState()));
      return blobs.end;
    });
  }

  /**
   * Takes over a snapshot whose bulk data has arrived.
   *
   * @param snapshot content
   * @param term the leader's term
   * @returns whether it was taken over
   */
  finishInstall(snapshot: MachineSnapshot, term: Term): Promise<boolean> {
    const state = this.host.options.machine.decode(snapshot.machine);
    // Alone: an own snapshot must not replace the newer one.
    return this.alone(() => this.install(snapshot, state, term));
  }

  /** Takes a snapshot once the log has grown enough. */
  startWhenDue(): void {
    const {options, replication, writer} = this.host;
    const {applied, log} = replication();
    const {snapshotLogBytes = LOG_BYTES_BEFORE_SNAPSHOT} = options;
    const isDue = writer.logBytes > snapshotLogBytes && applied > log.snapshot.index;
    if (isDue && !this.taking && !writer.isStopped) {
      this.taking = true;
      this.take()
        .catch(() => {})
        .finally(() => {
          this.taking = false;
        });
    }
  }

  /**
   * Brings a snapshot to another replica, and tells the state machine what came of it.
   *
   * @param to the replica
   */
  async send(to: ReplicaId): Promise<void> {
    const {dispatch, options} = this.host;
    let index = 0;
    let ok = false;
    try {
      const source = await this.source();
      index = source.snapshot.meta.index;
      ok = await options.transport.sendSnapshot(to, source);
      const {blobEnd, group} = source;
      options.logger.info('A snapshot was sent.', {blobEnd, group, index, taken: ok, to});
    } catch (err) {
      options.logger.warn('A snapshot was not taken over.', {reason: errorMessage(err), to});
    }
    // A receiver that didn't want it gets entries again, or the next try after a heartbeat.
    setTimeout(
      () => dispatch({index, kind: 'snapshotSent', ok, to}),
      ok ? 0 : options.timing.electionTimeoutMs,
    ).unref();
  }

  private async install(snapshot: MachineSnapshot, state: State, term: Term): Promise<boolean> {
    let installed = false;
    await this.host.writer.runBetweenWrites(async () => {
      this.installing = true;
      try {
        installed = await this.installBetweenWrites(snapshot, state, term);
      } finally {
        this.installing = false;
      }
    });
    return installed;
  }

  private async installBetweenWrites(
    snapshot: MachineSnapshot,
    state: State,
    term: Term,
  ): Promise<boolean> {
    const {blobs, dispatch, hardState, options, replication, setMachineState, storage, writer} =
      this.host;
    await blobs.settle();
    const blobEnd = options.machine.blobEnd(state);
    const complete = blobs.end === blobEnd;
    const wanted = wantsSnapshot(replication(), snapshot.meta);
    const {index} = snapshot.meta;
    const fields = {blobEnd, group: options.group, hasBlobsTo: blobs.end, index};
    if (!complete || !wanted) {
      options.logger.info('A snapshot was not taken over here.', {...fields, wanted});
      return false;
    }
    await blobs.sync();
    await storage.saveSnapshot(snapshot);
    setMachineState(state);
    dispatch({kind: 'snapshotInstalled', meta: snapshot.meta, term});
    await writer.restartLog(hardState(), []);
    options.logger.info('A snapshot was taken over here.', {...fields, term});
    return true;
  }

  /** Runs a task while no snapshot is taken, begun or taken over. */
  private alone<Result>(task: () => Promise<Result>): Promise<Result> {
    const run = this.work.then(() => {
      this.host.assertRunning();
      return task();
    });
    this.work = run.catch(() => {});
    return run;
  }

  /** Whoever a snapshot is for, a disk that failed at it is in doubt, and the replica ends. */
  private take(): Promise<MachineSnapshot> {
    const taken = this.alone(() => this.write());
    return taken.catch((err: unknown) => {
      this.host.fail(err);
      throw err;
    });
  }

  /**
   * Syncing bulk data takes long, so it goes on beside the log's writes: were they to wait, no
   * majority would answer the leader in time. Only the log's restart goes between two writes.
   */
  private async write(): Promise<MachineSnapshot> {
    const {
      assertRunning: checkRuns,
      blobs,
      dispatch,
      hardState,
      machineState,
      options,
      replication,
    } = this.host;
    const {storage, writer} = this.host;
    const {applied, log} = replication();
    const meta = {index: applied, members: log.membersAt(applied), term: log.termAt(applied)!};
    const snapshot = {machine: options.machine.encode(machineState()), meta};
    await blobs.sync();
    checkRuns();
    await storage.saveSnapshot(snapshot);
    await writer.runBetweenWrites(async () => {
      checkRuns();
      dispatch({keepFrom: this.keepFrom(applied), kind: 'snapshotTaken', meta});
      const kept = replication().log;
      await writer.restartLog(hardState(), kept.entriesFrom(kept.firstIndex, Infinity));
    });
    return snapshot;
  }

  /** First entry to keep so that a replica that lags a little needs no snapshot. */
  private keepFrom(applied: number): number {
    const {log} = this.host.replication();
    let from = applied + 1;
    let bytes = 0;
    while (from > log.firstIndex && bytes < LOG_BYTES_KEPT) {
      const [entry] = log.entriesFrom(from - 1, 0);
      bytes += entry?.payload.kind === 'command' ? entry.payload.data.length : 1;
      from--;
    }
    return from;
  }

  private async source(): Promise<SnapshotSource> {
    const {assertRunning: checkRuns, blobs, options, replication} = this.host;
    const {group, machine} = options;
    const snapshot = await this.toSend();
    checkRuns();
    const blobEnd = machine.blobEnd(machine.decode(snapshot.machine));
    const readBlobs: SnapshotSource['readBlobs'] = (offset, most) =>
      blobs.readRaw(offset, Math.min(most, blobEnd - offset));
    return {blobEnd, group, readBlobs, snapshot, term: replication().term};
  }

  /** The snapshot that was sent last, while it is young and the log still goes on from it; else a new one. */
  private async toSend(): Promise<MachineSnapshot> {
    const {options, replication} = this.host;
    const now = options.clock.monotonicMs();
    const {sent} = this;
    const follows = (sent?.snapshot.meta.index ?? -1) >= replication().log.firstIndex - 1;
    if (sent !== undefined && follows && now - sent.at < SEND_AGAIN_MS) {
      return sent.snapshot;
    }
    this.sent = undefined;
    const snapshot = await this.take();
    this.sent = {at: now, snapshot};
    return snapshot;
  }
}
