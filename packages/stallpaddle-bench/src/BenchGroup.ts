/**
 * Three replicas of a group in one process, with real disks and direct messages.
 */
import type {ReplicaMachine, ReplicaTransport} from 'stallpaddle-replication';

import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {delay, silentLogger, systemClock} from 'stallpaddle';
import {DEFAULT_TIMING, ReplicaDriver, ReplicaStorage} from 'stallpaddle-replication';
import {openDisk} from 'stallpaddle-storage';

const IDS = ['vm-1/a', 'vm-2/b', 'vm-3/c'] as const;
const GROUP = 'bench';

/** See the module's comment. */
export class BenchGroup<State> {
  private readonly drivers = new Map<string, ReplicaDriver<State>>();
  private readonly folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-bench-'));

  /**
   * @param machine what the group replicates
   */
  constructor(private readonly machine: ReplicaMachine<State>) {}

  /** Forms the group and starts its replicas. */
  async start(): Promise<void> {
    for (const id of IDS) {
      const disk = await openDisk(this.folderOf(id));
      const first = this.machine.encode(this.machine.initial());
      await ReplicaStorage.initialize(disk, first, {learners: [], voters: IDS});
      await this.open(id);
    }
  }

  /** The replica that leads; waits until there is one. */
  async leader(): Promise<ReplicaDriver<State>> {
    for (;;) {
      const found = [...this.drivers.values()].find((driver) => driver.leads);
      if (found !== undefined) {
        return found;
      }
      await delay(2);
    }
  }

  /** Ends and opens the leader's replica again; returns how long opening took, in milliseconds. */
  async reopen(): Promise<{readonly ms: number; readonly replayed: number}> {
    const leader = await this.leader();
    const [id] = [...this.drivers].find(([, driver]) => driver === leader)!;
    await leader.close();
    const startedAt = performance.now();
    const driver = await this.open(id);
    return {ms: performance.now() - startedAt, replayed: driver.replayed};
  }

  /** Ends all replicas and removes their files. */
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
