/**
 * The processes, links and engines of a soak, and how a fault is brought about on them.
 */
import {randomInt} from 'node:crypto';
import path from 'node:path';
import {delay, seededRandom, unreachable} from 'stallpaddle';

import type {SoakHistory} from './SoakHistory';
import type {SoakShape} from './SoakPlan';
import type {SoakFault} from './SoakTypes';
import type {SoakWire} from './SoakWire';

import {SoakEngine} from './SoakEngine';
import {makeCall} from './SoakHttp';
import {SoakLink} from './SoakLink';
import {SoakProcess} from './SoakProcess';

/** A VM as its settings name it. */
export interface SoakVm {
  readonly dataFolder: string;
  readonly first: boolean;
  readonly host: string;
  readonly kind: 'control' | 'entry' | 'store';
  readonly lostDisks: number;
  readonly name: string;
  readonly ports: SoakPorts;
  /** Hosts of the first VMs of the control group. */
  readonly seeds: readonly string[];
  readonly zone: string;
}

/** Ports on which processes listen; the same on all VMs. */
export interface SoakPorts {
  readonly callers: number;
  readonly control: number;
  readonly directory: number;
  /** Port on which others call a process: a link stands there. */
  readonly peer: number;
  /** Port on which the process itself takes those calls. */
  readonly peerListen: number;
  readonly ready: number;
}

/** The program that a soak runs. */
export interface SoakProgram {
  readonly command: readonly string[];
  readonly environment: (settingsFile: string) => Readonly<Record<string, string>>;
  readonly settings: (vm: SoakVm) => string;
}

/** What a fleet is made of. */
export interface SoakFleetOptions {
  readonly folder: string;
  readonly history: SoakHistory;
  readonly program: SoakProgram;
  readonly seed: number;
  readonly shape: SoakShape;
  readonly words: SoakWire;
}

/** Zones of the VMs and engines. */
const ZONES = 3;
/** VMs of the control group that others are told of. */
const SEEDS = 3;
const PORTS: SoakPorts = {
  callers: 19_001,
  control: 19_000,
  directory: 19_002,
  peer: 19_010,
  peerListen: 19_011,
  ready: 19_003,
};
const ENGINE_PORT = 19_100;
/** Second numbers of loopback addresses among which each soak draws its own, so that several run at once. */
const NETWORKS = {least: 64, most: 250};
/** Longest wait for the fleet's first work, in milliseconds. */
const START_MS = 30_000;
/** Pause between two looks whether it takes work, in milliseconds. */
const LOOK_AGAIN_MS = 50;
/** Longest wait for an answer of the operator's or a caller's question, in milliseconds. */
const QUESTION_MS = 1_000;

/** See the module's comment. */
export class SoakFleet {
  private readonly engines: readonly SoakEngine[];
  private readonly hosts = new Map<string, string>();
  private readonly links = new Map<string, SoakLink>();
  private readonly network: string;
  private readonly processes = new Map<string, SoakProcess>();
  private version = 1;

  /**
   * @param options what it is made of
   */
  constructor(private readonly options: SoakFleetOptions) {
    const {history, seed, shape, words} = options;
    this.network = `127.${randomInt(NETWORKS.least, NETWORKS.most)}`;
    this.name('control', shape.controls);
    this.name('entry', shape.entries);
    this.name('store', shape.stores);
    const random = seededRandom(seed);
    this.engines = Array.from(
      {length: shape.engines},
      (_, at) =>
        new SoakEngine({
          controls: this.controlAddresses,
          history,
          host: `${this.network}.40.${at + 1}`,
          name: `engine-${at}`,
          port: ENGINE_PORT,
          random,
          words,
          zone: `z${at % ZONES}`,
        }),
    );
  }

  /** Names of the VMs that serve callers. */
  get entryNames(): readonly string[] {
    return [...this.options.shape.controls, ...this.options.shape.entries];
  }

  /** Processes that ended by themselves. */
  get ownEnds(): readonly string[] {
    return [...this.processes.values()].flatMap(({ownEnds}) => ownEnds);
  }

  /** Files of the processes' output. */
  get logFiles(): readonly string[] {
    return [...this.processes.values()].map(({logFile}) => logFile);
  }

  private get controlAddresses(): readonly string[] {
    return this.entryNames.map((name) => this.addressOf(name, 'control'));
  }

  /**
   * An address of a VM.
   *
   * @param name the VM
   * @param port which of its addresses
   */
  addressOf(name: string, port: keyof SoakPorts): string {
    return `${this.hosts.get(name)!}:${PORTS[port]}`;
  }

  /**
   * The VM that has an address.
   *
   * @param address IP number and port
   */
  vmAt(address: string): string {
    const host = address.split(':')[0];
    return [...this.hosts].find(([, other]) => other === host)?.[0] ?? address;
  }

  /** Starts all, and waits until every entry VM takes work. */
  async start(): Promise<void> {
    for (const [name, host] of this.hosts) {
      const {peer: port, peerListen: target} = PORTS;
      this.links.set(name, await SoakLink.open({host, port, target}));
    }
    this.processes.forEach((process) => process.start());
    await Promise.all(this.engines.map((engine) => engine.start()));
    const endAt = performance.now() + START_MS;
    while (!(await this.configure(this.version))) {
      await this.waitToStart(endAt, 'no configuration is taken');
    }
    while (!(await this.isReady())) {
      await this.waitToStart(endAt, 'not every entry VM takes callers');
    }
  }

  /** Ends all. */
  async stop(): Promise<void> {
    await Promise.all([...this.processes.values()].map((process) => process.kill()));
    await Promise.all(this.engines.map((engine) => engine.crash()));
    this.links.forEach((link) => link.close());
  }

  /**
   * Brings a fault about, from its begin to its end.
   *
   * @param fault the fault
   */
  async inflict(fault: SoakFault): Promise<void> {
    const {history} = this.options;
    history.note({fault, kind: 'faultBegan'});
    await this.carryOut(fault);
    history.note({fault, kind: 'faultEnded'});
  }

  /** Reads the configuration at a VM and notes its version; an unclear answer says nothing. */
  async readConfiguration(name: string): Promise<void> {
    const {history, words} = this.options;
    const sentAt = history.now;
    const address = this.addressOf(name, 'control');
    const options = {address, agent: false, mostMs: QUESTION_MS} as const;
    const reply = await makeCall(words.readConfiguration, options);
    if (reply.kind === 'answer' && reply.status === 200 && reply.whole) {
      history.note({kind: 'configRead', sentAt, version: words.readVersion(reply.text), vm: name});
    }
  }

  private async carryOut(fault: SoakFault): Promise<void> {
    switch (fault.kind) {
      case 'configure':
        await this.configureSurely(++this.version);
        return;
      case 'cut':
        await this.cut(fault);
        return;
      case 'engineBreaks':
        this.engines[fault.engine]!.breaks = true;
        await delay(fault.forMs);
        this.engines[fault.engine]!.breaks = false;
        return;
      case 'engineCrash':
        await this.engines[fault.engine]!.crashFor(fault.downMs, fault.sameName);
        return;
      case 'engineLeaves':
        await this.engines[fault.engine]!.leaveAndReturn(fault.sameName);
        return;
      case 'engineSilent':
        this.engines[fault.engine]!.silent = true;
        await delay(fault.forMs);
        this.engines[fault.engine]!.silent = false;
        return;
      case 'freeze': {
        const process = this.processes.get(fault.vm)!;
        process.freeze();
        await delay(fault.forMs);
        process.thaw();
        return;
      }
      case 'kill':
        await this.restart([fault.vm], [], fault.downMs);
        return;
      case 'killAll':
        await this.restart([...this.processes.keys()], fault.wiped, fault.downMs);
        return;
      case 'reset':
        this.links.get(fault.vm)!.reset();
        return;
      case 'slow': {
        const link = this.links.get(fault.vm)!;
        link.delayMs = fault.delayMs;
        await delay(fault.forMs);
        link.delayMs = 0;
        return;
      }
      case 'stop': {
        const process = this.processes.get(fault.vm)!;
        await process.stop();
        process.start();
        return;
      }
      case 'wipe':
        await this.restart([fault.vm], [fault.vm], fault.downMs);
        return;
      default:
        unreachable(fault);
    }
  }

  private async cut({direction, forMs, vm}: Extract<SoakFault, {kind: 'cut'}>): Promise<void> {
    const link = this.links.get(vm)!;
    link.losesAnswers = direction !== 'calls';
    link.losesCalls = direction !== 'answers';
    await delay(forMs);
    link.losesAnswers = false;
    link.losesCalls = false;
    // Bytes were lost in the middle of its connections: they are of no use any more.
    link.reset();
  }

  private async restart(
    names: readonly string[],
    wiped: readonly string[],
    downMs: number,
  ): Promise<void> {
    const processes = names.map((name) => this.processes.get(name)!);
    await Promise.all(processes.map((process) => process.kill()));
    wiped.forEach((name) => this.processes.get(name)!.wipe());
    await delay(downMs);
    processes.forEach((process) => process.start());
  }

  private async configure(version: number): Promise<boolean> {
    const {history, words} = this.options;
    const name = this.entryNames[randomInt(this.entryNames.length)]!;
    history.note({kind: 'configSent', version});
    const address = this.addressOf(name, 'control');
    const options = {address, agent: false, mostMs: QUESTION_MS} as const;
    const reply = await makeCall(words.configure(version), options);
    const isTaken = reply.kind === 'answer' && reply.status === 200;
    if (isTaken) {
      history.note({kind: 'configAccepted', version});
    }
    return isTaken;
  }

  /** Sends a configuration again until it is taken, as the operator does; at last it may or may not be in force. */
  private async configureSurely(version: number): Promise<void> {
    const endAt = performance.now() + START_MS;
    while (performance.now() < endAt && !(await this.configure(version))) {
      await delay(LOOK_AGAIN_MS);
    }
  }

  private async isReady(): Promise<boolean> {
    const answers = await Promise.all(
      this.entryNames.map((name) =>
        makeCall(this.options.words.ready, {
          address: this.addressOf(name, 'ready'),
          agent: false,
          mostMs: QUESTION_MS,
        }),
      ),
    );
    return answers.every((reply) => reply.kind === 'answer' && reply.status === 200);
  }

  private async waitToStart(endAt: number, what: string): Promise<void> {
    if (performance.now() > endAt) {
      throw new Error(`the fleet did not start: ${what}; its logs are in ${this.options.folder}`);
    }
    await delay(LOOK_AGAIN_MS);
  }

  private name(kind: SoakVm['kind'], names: readonly string[]): void {
    const {folder, program, shape} = this.options;
    const seeds = Array.from({length: SEEDS}, (_, at) => `${this.network}.20.${at + 1}`);
    const third = {control: 20, entry: 21, store: 22}[kind];
    names.forEach((name, at) => {
      const host = `${this.network}.${third}.${at + 1}`;
      const own = path.join(folder, name);
      this.hosts.set(name, host);
      const vm = {
        dataFolder: kind === 'entry' ? '' : path.join(own, 'data'),
        host,
        kind,
        lostDisks: shape.lostDisks,
        name,
        ports: PORTS,
        seeds,
        zone: `z${at % ZONES}`,
      };
      const {command, environment} = program;
      const settings = (first: boolean): string => program.settings({...vm, first});
      this.processes.set(
        name,
        new SoakProcess({command, environment, folder: own, name, settings}),
      );
    });
  }
}
