/**
 * Starts a fleet's processes, and ends every one of them.
 */
import type {ChildProcess} from 'node:child_process';

import {spawn} from 'node:child_process';
import {createWriteStream, existsSync, mkdirSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {delay} from 'stallpaddle';
import {callServer} from 'stallpaddle-load';

import type {FleetLayout, LayoutProcess} from './FleetLayout';

import {standInProcesses, vmAddress, vmProcesses} from './FleetLayout';

const READY_LOOK_MS = 50;
const READY_MOST_MS = 20_000;
const END_MOST_MS = 40_000;

/** Path of the binary that `npm run build` leaves. */
export const BINARY = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../../../dist/stallpaddle',
);

/** A fleet of real processes on loopback addresses. */
export class Fleet {
  private readonly children = new Map<string, ChildProcess>();

  /**
   * @param layout what the fleet is made of
   * @param folder where settings, data and logs go
   * @param standIns layout of the backend servers, where they listen elsewhere than the VMs think
   */
  constructor(
    readonly layout: FleetLayout,
    private readonly folder: string,
    private readonly standIns: FleetLayout = layout,
  ) {}

  /** Names of the processes that run. */
  get running(): readonly string[] {
    return [...this.children.keys()];
  }

  /** Starts everything and waits until every VM takes work. */
  async start(): Promise<void> {
    if (!existsSync(BINARY)) {
      throw new Error('build the binary first: npm run build');
    }
    mkdirSync(this.folder, {recursive: true});
    const processes = [...standInProcesses(this.standIns), ...vmProcesses(this.layout)];
    processes.forEach((one) => this.startProcess(one));
    await this.waitReady();
  }

  /**
   * Starts one process, or starts it again.
   *
   * @param one the process
   */
  startProcess(one: LayoutProcess): void {
    const file = path.join(this.folder, `${one.name}.json`);
    writeFileSync(file, JSON.stringify(one.settings, null, 2));
    const child = spawn(BINARY, ['serve', '--settings', file], {
      cwd: this.folder,
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    child.stderr.pipe(createWriteStream(path.join(this.folder, `${one.name}.log`), {flags: 'a'}));
    child.on('exit', () => {
      if (this.children.get(one.name) === child) {
        this.children.delete(one.name);
      }
    });
    this.children.set(one.name, child);
  }

  /**
   * The process of a VM.
   *
   * @param index the VM's number, from 0
   */
  vmProcess(index: number): LayoutProcess {
    return vmProcesses(this.layout)[index]!;
  }

  /**
   * Sends a signal to a process that this fleet started.
   *
   * @param name the process
   * @param signal the signal
   */
  signal(name: string, signal: NodeJS.Signals): void {
    const child = this.children.get(name);
    if (child?.pid === undefined) {
      throw new Error(`${name} does not run`);
    }
    child.kill(signal);
  }

  /**
   * Process id of a running process.
   *
   * @param name the process
   */
  pidOf(name: string): number | undefined {
    return this.children.get(name)?.pid;
  }

  /**
   * Waits until a process has ended.
   *
   * @param name the process
   * @returns its exit code; null when a signal ended it
   */
  async waitEnd(name: string): Promise<number | null> {
    const child = this.children.get(name);
    if (child === undefined) {
      return null;
    }
    return new Promise((resolve) => child.once('exit', resolve));
  }

  /**
   * Kills a process and waits until it has gone.
   *
   * @param name the process
   */
  async kill(name: string): Promise<void> {
    const ended = this.waitEnd(name);
    this.signal(name, 'SIGKILL');
    await ended;
  }

  /**
   * Deletes a VM's data folder, as when its disk is lost. The VM must not run.
   *
   * @param index the VM's number, from 0
   */
  loseDisk(index: number): void {
    const {settings} = this.vmProcess(index);
    if (settings.kind === 'vm' && settings.disk !== undefined) {
      rmSync(path.resolve(this.folder, settings.disk.folder), {force: true, recursive: true});
    }
  }

  /**
   * Waits until VMs take work.
   *
   * @param indexes the VMs' numbers; all when missing
   */
  async waitReady(
    indexes: readonly number[] = Array.from({length: this.layout.vms}, (_, index) => index),
  ): Promise<void> {
    const until = Date.now() + READY_MOST_MS;
    for (const index of indexes) {
      while (!(await this.isReady(index))) {
        if (Date.now() > until) {
          throw new Error(`VM ${index + 1} takes no work after ${READY_MOST_MS} ms`);
        }
        await delay(READY_LOOK_MS);
      }
    }
  }

  /** Ends every process that this fleet started. */
  async stop(): Promise<void> {
    await Promise.all(
      [...this.children.keys()].map(async (name) => {
        const ended = this.waitEnd(name);
        this.signal(name, 'SIGCONT');
        this.signal(name, 'SIGKILL');
        await Promise.race([ended, delay(END_MOST_MS)]);
      }),
    );
  }

  private async isReady(index: number): Promise<boolean> {
    try {
      const {status} = await callServer({...vmAddress(this.layout, index), path: '/healthz'});
      return status === 200;
    } catch {
      return false;
    }
  }
}
