/** Processes, links and engines of a soak. */
import {randomInt} from 'node:crypto';
import path from 'node:path';
import {delay, seededRandom, unreachable} from 'stallpaddle';

import type {SoakHistory} from './SoakHistory';
import type {SoakShape} from './SoakPlan';
import type {SoakFault} from './SoakTypes';
import type {SoakWire} from './SoakWire';

import {SERVICES} from './SoakConfigurations';
import {SoakEngine} from './SoakEngine';
import {makeCall} from './SoakHttp';
import {SoakLink} from './SoakLink';
import {SoakOperator} from './SoakOperator';
import {SOFTWARE_VERSIONS} from './SoakOutput';
import {SoakProcess} from './SoakProcess';

/** A VM, as its settings describe it. */
export interface SoakVm {
  readonly dataFolder: string;
  readonly first: boolean;
  readonly host: string;
  readonly kind: 'control' | 'entry' | 'store';
  readonly lostDisks: number;
  readonly name: string;
  readonly ports: SoakPorts;
  /** Hosts of the VMs of the control group through which the VM joins. */
  readonly seeds: readonly string[];
  readonly zone: string;
}

/** Ports of a VM; the same on all VMs. */
export interface SoakPorts {
  readonly callers: number;
  readonly control: number;
  readonly directory: number;
  /** Port to which other processes connect: the VM's link listens there. */
  readonly peer: number;
  /** Port on which the process itself listens for other processes. */
  readonly peerListen: number;
  readonly ready: number;
}

/** Program of the fleet's processes. */
export interface SoakProgram {
  readonly command: readonly string[];
  readonly environment: (settingsFile: string) => Readonly<Record<string, string>>;
  readonly settings: (vm: SoakVm) => string;
}

/** Options of a fleet. */
export interface SoakFleetOptions {
  readonly folder: string;
  readonly history: SoakHistory;
  readonly program: SoakProgram;
  readonly seed: number;
  readonly shape: SoakShape;
  readonly wire: SoakWire;
}

/** Number of availability zones of the VMs and engines. */
const ZONES = 3;
/** Number of seeds in the settings of each VM. */
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
/** Engines of the second service; no planned fault hits them. */
const OTHER_ENGINES = 2;
/** Range of the second octet of a soak's loopback addresses: random, so that several soaks can run at once. */
const NETWORKS = {max: 250, min: 64};
/** Longest wait until the fleet accepts work, in milliseconds. */
const START_MS = 30_000;
/** Pause between two checks whether the fleet accepts work, in milliseconds. */
const RECHECK_MS = 50;
/** Timeout of requests by the operator, in milliseconds. */
const OPERATOR_TIMEOUT_MS = 1_000;

/** Runs the processes, links and engines of a soak, and injects faults into them. */
export class SoakFleet {
  private readonly engines: readonly SoakEngine[];
  private readonly hosts = new Map<string, string>();
  private readonly links = new Map<string, SoakLink>();
  private readonly network: string;
  /** Changes, reads and probes the configuration. */
  readonly operator: SoakOperator;
  private readonly processes = new Map<string, SoakProcess>();

  /**
   * @param options options of the fleet
   */
  constructor(private readonly options: SoakFleetOptions) {
    const {history, seed, shape, wire} = options;
    this.network = `127.${randomInt(NETWORKS.min, NETWORKS.max)}`;
    this.name('control', shape.controls);
    this.name('entry', shape.entries);
    this.name('store', shape.stores);
    const random = seededRandom(seed);
    const [main, other] = SERVICES;
    const services = [
      ...Array.from({length: shape.engines}, () => main),
      ...Array.from({length: OTHER_ENGINES}, () => other),
    ];
    this.engines = services.map(
      (service, at) =>
        new SoakEngine({
          controls: this.controlAddresses,
          history,
          host: `${this.network}.40.${at + 1}`,
          name: `engine-${at}`,
          port: ENGINE_PORT,
          random,
          service,
          softwareVersion: SOFTWARE_VERSIONS[at % SOFTWARE_VERSIONS.length]!,
          wire,
          zone: `z${at % ZONES}`,
        }),
    );
    this.operator = new SoakOperator({
      addressOf: (name, port) => this.addressOf(name, port),
      history,
      vms: () => this.entryNames,
      wire,
    });
  }

  /** Names of the VMs that serve callers. */
  get entryNames(): readonly string[] {
    return [...this.options.shape.controls, ...this.options.shape.entries];
  }

  /** Unexpected exits of processes. */
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
   * Returns an address of a VM.
   *
   * @param name name of the VM
   * @param port which of its ports
   */
  addressOf(name: string, port: keyof SoakPorts): string {
    return `${this.hosts.get(name)!}:${PORTS[port]}`;
  }

  /**
   * Returns the name of the VM with an address, or the address itself if there is none.
   *
   * @param address IP address and port
   */
  vmAt(address: string): string {
    const host = address.split(':')[0];
    return [...this.hosts].find(([, other]) => other === host)?.[0] ?? address;
  }

  /** Starts all processes and engines, and waits until every entry VM accepts callers. */
  async start(): Promise<void> {
    for (const [name, host] of this.hosts) {
      const {peer: port, peerListen: target} = PORTS;
      this.links.set(name, await SoakLink.open({host, port, target}));
    }
    this.processes.forEach((process) => process.start());
    await Promise.all(this.engines.map((engine) => engine.start()));
    const endAt = performance.now() + START_MS;
    while (!(await this.operator.configureFirst())) {
      await this.waitToStart(endAt, 'no VM accepted the configuration');
    }
    while (!(await this.isReady())) {
      await this.waitToStart(endAt, 'not every entry VM accepts callers');
    }
  }

  /** Kills all processes, stops the engines and closes the links. */
  async stop(): Promise<void> {
    await Promise.all([...this.processes.values()].map((process) => process.kill()));
    await Promise.all(this.engines.map((engine) => engine.crash()));
    this.links.forEach((link) => link.close());
  }

  /**
   * Injects a fault and waits until it is over.
   *
   * @param fault fault to inject
   */
  async inject(fault: SoakFault): Promise<void> {
    const {history} = this.options;
    history.note({fault, kind: 'faultBegan'});
    await this.apply(fault);
    history.note({fault, kind: 'faultEnded'});
  }

  private async apply(fault: SoakFault): Promise<void> {
    switch (fault.kind) {
      case 'configure':
        await this.operator.configureNext();
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
        await this.engines[fault.engine]!.drainAndRestart(fault.sameName);
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
    link.dropsResponses = direction !== 'calls';
    link.dropsRequests = direction !== 'answers';
    await delay(forMs);
    link.dropsResponses = false;
    link.dropsRequests = false;
    // Connections that lost bytes are unusable.
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

  private async isReady(): Promise<boolean> {
    const answers = await Promise.all(
      this.entryNames.map((name) =>
        makeCall(this.options.wire.ready, {
          address: this.addressOf(name, 'ready'),
          agent: false,
          timeoutMs: OPERATOR_TIMEOUT_MS,
        }),
      ),
    );
    return answers.every((reply) => reply.kind === 'answer' && reply.status === 200);
  }

  private async waitToStart(endAt: number, problem: string): Promise<void> {
    if (performance.now() > endAt) {
      throw new Error(
        `the fleet did not start: ${problem}; its logs are in ${this.options.folder}`,
      );
    }
    await delay(RECHECK_MS);
  }

  private name(kind: SoakVm['kind'], names: readonly string[]): void {
    const {folder, program, shape} = this.options;
    const seeds = Array.from({length: SEEDS}, (_, at) => `${this.network}.20.${at + 1}`);
    const thirdOctet = {control: 20, entry: 21, store: 22}[kind];
    names.forEach((name, at) => {
      const host = `${this.network}.${thirdOctet}.${at + 1}`;
      const vmFolder = path.join(folder, name);
      this.hosts.set(name, host);
      const vm = {
        dataFolder: kind === 'entry' ? '' : path.join(vmFolder, 'data'),
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
        new SoakProcess({command, environment, folder: vmFolder, name, settings}),
      );
    });
  }
}
