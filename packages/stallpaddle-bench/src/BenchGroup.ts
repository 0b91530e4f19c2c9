/**
 * A replicated group for benchmarks.
 */
import type {ReplicaMachine, ReplicaTransport} from 'stallpaddle-replication';

import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {delay, silentLogger, systemClock} from 'stallpaddle';
import {DEFAULT_TIMING, ReplicaDriver, ReplicaStorage} from 'stallpaddle-replication';
import {openDisk} from 'stallpaddle-storage';

const REPLICA_IDS = ['vm-1/a', 'vm-2/b', 'vm-3/c'] as const;
const GROUP = 'bench';

/** Runs three replicas of a group in one process, with files on disk and in-process message delivery. */
export class BenchGroup<State> {
  private readonly drivers = new Map<string, ReplicaDriver<State>>();
  private readonly folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-bench-'));

  /**
   * @param machine state machine that the group replicates
   */
  constructor(private readonly machine: ReplicaMachine<State>) {}

  /** Initializes the replicas' storage and starts them. */
  async start(): Promise<void> {
    for (const id of REPLICA_IDS) {
      const disk = await openDisk(this.folderOf(id));
      const initialState = this.machine.encode(this.machine.initial());
      await ReplicaStorage.initialize(disk, initialState, {learners: [], voters: REPLICA_IDS});
      await this.open(id);
    }
  }

  /** Waits until a replica leads the group and returns it. */
  async leader(): Promise<ReplicaDriver<State>> {
    for (;;) {
      const leader = [...this.drivers.values()].find((driver) => driver.leads);
      if (leader !== undefined) {
        return leader;
      }
      await delay(2);
    }
  }

  /** Closes and reopens the leader's replica; returns the time to open it and the number of replayed entries. */
  async reopen(): Promise<{readonly ms: number; readonly replayed: number}> {
    const leader = await this.leader();
    const [id] = [...this.drivers].find(([, driver]) => driver === leader)!;
    await leader.close();
    const startedAt = performance.now();
    const driver = await this.open(id);
    return {ms: performance.now() - startedAt, replayed: driver.replayed};
  }

  /** Closes all replicas and removes their files. */
  async stop(): Promise<void> {
    await Promise.all([...this.drivers.values()].map((driver) => driver.close()));
    rmSync(this.folder, {force: true, recursive: true});
  }

  private folderOf(id: string): string {
    return path.join(this.folder, id.replace('/', '-'));
  }

  private async open(id: string): Promise<ReplicaDriver<State>> {
    const transport: ReplicaTransport = {
      send: (message) => setImmediate(() => this.drivers.get(message.to)?.receive(message)),
      sendSnapshot: () => Promise.resolve(false),
    };
    const driver = await ReplicaDriver.open({
      clock: systemClock,
      disk: await openDisk(this.folderOf(id)),
      group: GROUP,
      logger: silentLogger,
      machine: this.machine,
      onFailure: (err) => {
        throw err;
      },
      self: id,
      timing: DEFAULT_TIMING,
      transport,
    });
    this.drivers.set(id, driver);
    return driver;
  }
}
