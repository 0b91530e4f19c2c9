/**
 * Starts, signals and stops the processes of a fleet.
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

const READY_POLL_INTERVAL_MS = 50;
const READY_TIMEOUT_MS = 20_000;
const EXIT_TIMEOUT_MS = 40_000;

/** Path of the binary that `npm run build` writes. */
export const BINARY = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../../../dist/stallpaddle',
);

/** Runs the VMs and stand-ins of a layout as processes on loopback addresses. */
export class Fleet {
  private readonly children = new Map<string, ChildProcess>();

  /**
   * @param layout layout of the fleet
   * @param folder folder for settings, data and logs
   * @param standIns layout of the stand-ins, if they listen on other addresses than the VMs connect to
   */
  constructor(
    readonly layout: FleetLayout,
    private readonly folder: string,
    private readonly standIns: FleetLayout = layout,
  ) {}

  /** Names of the running processes. */
  get running(): readonly string[] {
    return [...this.children.keys()];
  }

  /** Starts all processes and waits until every VM is ready. */
  async start(): Promise<void> {
    if (!existsSync(BINARY)) {
      throw new Error('build the binary first: npm run build');
    }
    mkdirSync(this.folder, {recursive: true});
    const processes = [...standInProcesses(this.standIns), ...vmProcesses(this.layout)];
    processes.forEach((spec) => this.startProcess(spec));
    await this.waitReady();
  }

  /**
   * Starts or restarts one process. A restarted process appends to its log.
   *
   * @param spec name and settings of the process
   */
  startProcess(spec: LayoutProcess): void {
    const file = path.join(this.folder, `${spec.name}.json`);
    writeFileSync(file, JSON.stringify(spec.settings, null, 2));
    const child = spawn(BINARY, ['serve', '--settings', file], {
      cwd: this.folder,
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    child.stderr.pipe(createWriteStream(path.join(this.folder, `${spec.name}.log`), {flags: 'a'}));
    child.on('exit', () => {
      if (this.children.get(spec.name) === child) {
        this.children.delete(spec.name);
      }
    });
    this.children.set(spec.name, child);
  }

  /**
   * Returns the name and settings of a VM.
   *
   * @param index index of the VM, from 0
   */
  vmProcess(index: number): LayoutProcess {
    return vmProcesses(this.layout)[index]!;
  }

  /**
   * Sends a signal to a process that this fleet started.
   *
   * @param name name of the process
   * @param signal signal to send
   */
  signal(name: string, signal: NodeJS.Signals): void {
    const child = this.children.get(name);
    if (child?.pid === undefined) {
      throw new Error(`${name} is not running`);
    }
    child.kill(signal);
  }

  /**
   * Returns the process id of a running process.
   *
   * @param name name of the process
   */
  pidOf(name: string): number | undefined {
    return this.children.get(name)?.pid;
  }

  /**
   * Waits until a process has exited.
   *
   * @param name name of the process
   * @returns the exit code; null when the process was killed by a signal or is not running
   */
  async waitEnd(name: string): Promise<number | null> {
    const child = this.children.get(name);
    if (child === undefined) {
      return null;
    }
    return new Promise((resolve) => child.once('exit', resolve));
  }

  /**
   * Kills a process and waits until it has exited.
   *
   * @param name name of the process
   */
  async kill(name: string): Promise<void> {
    const exited = this.waitEnd(name);
    this.signal(name, 'SIGKILL');
    await exited;
  }

  /**
   * Deletes a VM's data folder to simulate the loss of its disk. The VM must not be running.
   *
   * @param index index of the VM, from 0
   */
  loseDisk(index: number): void {
    const {settings} = this.vmProcess(index);
    if (settings.kind === 'vm' && settings.disk !== undefined) {
      rmSync(path.resolve(this.folder, settings.disk.folder), {force: true, recursive: true});
    }
  }

  /**
   * Waits until VMs are ready for requests.
   *
   * @param indexes indexes of the VMs; all VMs by default
   */
  async waitReady(
    indexes: readonly number[] = Array.from({length: this.layout.vms}, (_, index) => index),
  ): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS;
    for (const index of indexes) {
      while (!(await this.isReady(index))) {
        if (Date.now() > deadline) {
          throw new Error(`VM ${index + 1} is not ready after ${READY_TIMEOUT_MS} ms`);
        }
        await delay(READY_POLL_INTERVAL_MS);
      }
    }
  }

  /** Kills every process that this fleet started and waits until they have exited. */
  async stop(): Promise<void> {
    await Promise.all(
      [...this.children.keys()].map(async (name) => {
        const exited = this.waitEnd(name);
        this.signal(name, 'SIGCONT');
        this.signal(name, 'SIGKILL');
        await Promise.race([exited, delay(EXIT_TIMEOUT_MS)]);
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
