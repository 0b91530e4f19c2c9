/**
 * One process of the fleet's real program, under signals from outside. Ends only what it has started.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {closeSync, mkdirSync, openSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {delay} from 'stallpaddle';

/** What a process is started with. */
export interface SoakProcessOptions {
  /** Program and its arguments. */
  readonly command: readonly string[];
  /** Variable that names the settings file. */
  readonly environment: (settingsFile: string) => Readonly<Record<string, string>>;
  /** Folder of its settings, disk and log. */
  readonly folder: string;
  readonly name: string;
  /** Settings of a start; `first` is true only at the first. */
  readonly settings: (first: boolean) => string;
}

/** Pause before a process that has ended is started again, in milliseconds. */
const START_AGAIN_MS = 100;
/** Longest wait for a process that was told to stop, in milliseconds; then it is killed. */
const STOP_MS = 8_000;

/** All that this program has started. Whatever ends it, they end with it. */
const running = new Set<ChildProcess>();
process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));

/** See the module's comment. */
export class SoakProcess {
  /** Times that it ended by itself, with how. */
  readonly ownEnds: string[] = [];
  private child: ChildProcess | undefined;
  private isFirst = true;
  private isWanted = false;

  /**
   * @param options what it is started with
   */
  constructor(private readonly options: SoakProcessOptions) {
    mkdirSync(options.folder, {recursive: true});
  }

  /** Folder of its disk. */
  get dataFolder(): string {
    return path.join(this.options.folder, 'data');
  }

  /** File of its output. */
  get logFile(): string {
    return path.join(this.options.folder, 'log');
  }

  /** Whether it runs. */
  get runs(): boolean {
    return this.child !== undefined;
  }

  /** Starts it; it is started again whenever it ends by itself. */
  start(): void {
    if (this.child !== undefined) {
      return;
    }
    this.isWanted = true;
    const {command, environment, folder, settings} = this.options;
    const file = path.join(folder, 'settings.json');
    writeFileSync(file, settings(this.isFirst));
    this.isFirst = false;
    const log = openSync(this.logFile, 'a');
    const [program, ...args] = command;
    const child = spawn(program!, args, {
      env: {...process.env, ...environment(file)},
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.child = child;
    running.add(child);
    child.once('exit', (code, signal) => {
      running.delete(child);
      this.onExit(code, signal);
    });
  }

  /** Kills it; it stays down until {@link start}. */
  async kill(): Promise<void> {
    this.isWanted = false;
    const {child} = this;
    if (child !== undefined) {
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await ended;
    }
  }

  /** Tells it to stop and waits until it has. */
  async stop(): Promise<void> {
    this.isWanted = false;
    const {child} = this;
    if (child !== undefined) {
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGTERM');
      await Promise.race([ended, delay(STOP_MS)]);
      await this.kill();
    }
  }

  /** Lets it stand still. */
  freeze(): void {
    this.child?.kill('SIGSTOP');
  }

  /** Lets it go on. */
  thaw(): void {
    this.child?.kill('SIGCONT');
  }

  /** Empties its disk; only while it is down. */
  wipe(): void {
    rmSync(this.dataFolder, {force: true, recursive: true});
  }

  private onExit(code: null | number, signal: NodeJS.Signals | null): void {
    this.child = undefined;
    if (this.isWanted) {
      this.ownEnds.push(`${this.options.name}: ${signal ?? `exit ${code}`}`);
      setTimeout(() => {
        if (this.isWanted) {
          this.start();
        }
      }, START_AGAIN_MS);
    }
  }
}
