/**
 * Snapshot operations of a replica.
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
 * Time for which a sent snapshot is reused, in milliseconds. Without it, each attempt to reach an unreachable replica
 * would make the leader write its whole state and sync all bulk data.
 */
const SNAPSHOT_REUSE_MS = 5_000;

/** State and operations of the replica that snapshots use. */
export interface ReplicaSnapshotsHost<State> {
  readonly blobs: ReplicaBlobs;
  /** Throws once the replica has stopped: another instance may have opened the same files. */
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

/** A snapshot and the time it was taken. */
interface TakenSnapshot {
  readonly at: MonotonicMs;
  readonly snapshot: MachineSnapshot;
}

/** Takes snapshots, sends them to replicas that lag behind, and installs those of a leader; one at a time. */
export class ReplicaSnapshots<State> {
  private installing = false;
  /** The snapshot that was sent last. */
  private sent: TakenSnapshot | undefined;
  private taking = false;
  private work: Promise<unknown> = Promise.resolve();

  /**
   * @param host state and operations of the replica
   */
  constructor(private readonly host: ReplicaSnapshotsHost<State>) {}

  /** Whether a received snapshot is being saved; no entry may be applied meanwhile. */
  get isInstalling(): boolean {
    return this.installing;
  }

  /** Resolves once all operations started so far have ended. */
  async settle(): Promise<void> {
    await this.work;
  }

  /**
   * Prepares to receive a snapshot from a leader.
   *
   * @param meta position of the snapshot
   * @param term term of the leader
   * @returns the offset at which the bulk data continues, or undefined if the snapshot is not needed
   */
  beginInstall(meta: SnapshotMeta, term: Term): Promise<number | undefined> {
    const {blobs, machineState, options, replication} = this.host;
    // Exclusive: truncating while another snapshot is saved would remove bulk data that it refers to.
    return this.runExclusive(async () => {
      if (term < replication().term || !wantsSnapshot(replication(), meta)) {
        return undefined;
      }
      await blobs.truncateTo(options.machine.blobEnd(machineState()));
      return blobs.end;
    });
  }

  /**
   * Installs a snapshot whose bulk data has arrived.
   *
   * @param snapshot the snapshot
   * @param term term of the leader
   * @returns whether it was installed
   */
  finishInstall(snapshot: MachineSnapshot, term: Term): Promise<boolean> {
    const state = this.host.options.machine.decode(snapshot.machine);
    // Exclusive: a snapshot taken here must not replace the newer one.
    return this.runExclusive(() => this.install(snapshot, state, term));
  }

  /** Takes a snapshot if the log file exceeds its size limit. */
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
   * Sends a snapshot to another replica and reports the outcome to the state machine.
   *
   * @param to receiver
   */
  async send(to: ReplicaId): Promise<void> {
    const {dispatch, options} = this.host;
    let index = 0;
    let ok = false;
    try {
      const source = await this.openSource();
      index = source.snapshot.meta.index;
      ok = await options.transport.sendSnapshot(to, source);
      const {blobEnd, group} = source;
      options.logger.info('A snapshot was sent.', {blobEnd, group, index, taken: ok, to});
    } catch (err) {
      options.logger.warn('A snapshot could not be sent.', {reason: errorMessage(err), to});
    }
    // A receiver that did not install it is probed again after an election timeout.
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
      options.logger.info('A received snapshot was not installed.', {...fields, wanted});
      return false;
    }
    await blobs.sync();
    await storage.saveSnapshot(snapshot);
    setMachineState(state);
    dispatch({kind: 'snapshotInstalled', meta: snapshot.meta, term});
    await writer.restartLog(hardState(), []);
    options.logger.info('A received snapshot was installed.', {...fields, term});
    return true;
  }

  /** Runs a task while no other snapshot operation runs. */
  private runExclusive<Result>(task: () => Promise<Result>): Promise<Result> {
    const run = this.work.then(() => {
      this.host.assertRunning();
      return task();
    });
    this.work = run.catch(() => {});
    return run;
  }

  /**
   * Takes a snapshot. Stops the replica on failure: the state of the disk is unknown then, whether or not the snapshot
   * was meant for another replica.
   */
  private take(): Promise<MachineSnapshot> {
    const taken = this.runExclusive(() => this.write());
    return taken.catch((err: unknown) => {
      this.host.fail(err);
      throw err;
    });
  }

  /**
   * Saves a snapshot. Bulk data is synced while the log continues to be written; blocking log writes would keep the
   * leader from a quorum for too long. Only the restart of the log runs between two writes.
   */
  private async write(): Promise<MachineSnapshot> {
    const {assertRunning, blobs, dispatch, hardState, machineState, options, replication} =
      this.host;
    const {storage, writer} = this.host;
    const {applied, log} = replication();
    const meta = {index: applied, members: log.membersAt(applied), term: log.termAt(applied)!};
    const snapshot = {machine: options.machine.encode(machineState()), meta};
    await blobs.sync();
    assertRunning();
    await storage.saveSnapshot(snapshot);
    await writer.runBetweenWrites(async () => {
      assertRunning();
      dispatch({keepFrom: this.firstIndexToKeep(applied), kind: 'snapshotTaken', meta});
      const kept = replication().log;
      await writer.restartLog(hardState(), kept.entriesFrom(kept.firstIndex, Infinity));
    });
    return snapshot;
  }

  /** Index of the first entry to keep, so that a replica that lags slightly needs no snapshot. */
  private firstIndexToKeep(applied: number): number {
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

  private async openSource(): Promise<SnapshotSource> {
    const {assertRunning, blobs, options, replication} = this.host;
    const {group, machine} = options;
    const snapshot = await this.snapshotToSend();
    assertRunning();
    const blobEnd = machine.blobEnd(machine.decode(snapshot.machine));
    const readBlobs: SnapshotSource['readBlobs'] = (offset, maxBytes) =>
      blobs.readRaw(offset, Math.min(maxBytes, blobEnd - offset));
    return {blobEnd, group, readBlobs, snapshot, term: replication().term};
  }

  /** The snapshot that was sent last, if it is recent and the log still continues from it; otherwise a new one. */
  private async snapshotToSend(): Promise<MachineSnapshot> {
    const {options, replication} = this.host;
    const now = options.clock.monotonicMs();
    const {sent} = this;
    const isContinued = (sent?.snapshot.meta.index ?? -1) >= replication().log.firstIndex - 1;
    if (sent !== undefined && isContinued && now - sent.at < SNAPSHOT_REUSE_MS) {
      return sent.snapshot;
    }
    this.sent = undefined;
    const snapshot = await this.take();
    this.sent = {at: now, snapshot};
    return snapshot;
  }
}
