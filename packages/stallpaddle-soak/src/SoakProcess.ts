/** Processes of a soak's fleet. */
import {type ChildProcess, spawn} from 'node:child_process';
import {closeSync, mkdirSync, openSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {delay} from 'stallpaddle';

/** Options of a process. */
export interface SoakProcessOptions {
  /** Program and arguments. */
  readonly command: readonly string[];
  /** Returns the environment variables that name the settings file. */
  readonly environment: (settingsFile: string) => Readonly<Record<string, string>>;
  /** Folder of the settings, the data and the log. */
  readonly folder: string;
  readonly name: string;
  /** Returns the settings of a start; `first` is true only for the first one. */
  readonly settings: (first: boolean) => string;
}

/** Pause before a process that exited unexpectedly is restarted, in milliseconds. */
const RESTART_PAUSE_MS = 100;
/** Timeout of a graceful stop, in milliseconds; then the process is killed. */
const STOP_TIMEOUT_MS = 8_000;

/** Child processes that are running; they are killed when this process exits. */
const children = new Set<ChildProcess>();
process.once('exit', () => children.forEach((child) => child.kill('SIGKILL')));

/** Runs one process of the fleet, restarts it when it exits unexpectedly, and kills, stops or suspends it. */
export class SoakProcess {
  /** Unexpected exits, each with the name of the process and the signal or exit code. */
  readonly ownEnds: string[] = [];
  private child: ChildProcess | undefined;
  private isFirst = true;
  private shouldRun = false;

  /**
   * @param options options of the process
   */
  constructor(private readonly options: SoakProcessOptions) {
    mkdirSync(options.folder, {recursive: true});
  }

  /** Folder that holds the simulated disk. */
  get dataFolder(): string {
    return path.join(this.options.folder, 'data');
  }

  /** File with the output of the process. */
  get logFile(): string {
    return path.join(this.options.folder, 'log');
  }

  get runs(): boolean {
    return this.child !== undefined;
  }

  /** Starts the process, and restarts it whenever it exits unexpectedly. */
  start(): void {
    if (this.child !== undefined) {
      return;
    }
    this.shouldRun = true;
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
    children.add(child);
    child.once('exit', (code, signal) => {
      children.delete(child);
      this.onExit(code, signal);
    });
  }

  /** Kills the process; it stays down until {@link start}. */
  async kill(): Promise<void> {
    this.shouldRun = false;
    const {child} = this;
    if (child !== undefined) {
      const exited = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await exited;
    }
  }

  /** Stops the process gracefully and waits until it has exited. */
  async stop(): Promise<void> {
    this.shouldRun = false;
    const {child} = this;
    if (child !== undefined) {
      const exited = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGTERM');
      await Promise.race([exited, delay(STOP_TIMEOUT_MS)]);
      await this.kill();
    }
  }

  /** Suspends the process. */
  freeze(): void {
    this.child?.kill('SIGSTOP');
  }

  /** Resumes the process. */
  thaw(): void {
    this.child?.kill('SIGCONT');
  }

  /** Deletes the data of the process; only while it is down. */
  wipe(): void {
    rmSync(this.dataFolder, {force: true, recursive: true});
  }

  private onExit(code: null | number, signal: NodeJS.Signals | null): void {
    this.child = undefined;
    if (this.shouldRun) {
      this.ownEnds.push(`${this.options.name}: ${signal ?? `exit ${code}`}`);
      setTimeout(() => {
        if (this.shouldRun) {
          this.start();
        }
      }, RESTART_PAUSE_MS);
    }
  }
}
