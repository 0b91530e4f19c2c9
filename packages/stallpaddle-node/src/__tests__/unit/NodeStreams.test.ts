/**
 * Guards against streams that are taken up at a wrong software version, against records that are lost with a VM, and against
 * messages between VMs while all engines have one version. A model of several VMs, with lost messages and a clock that the
 * test sets.
 */
import type {FleetCommand, FleetRequest, FleetState, FleetView} from 'stallpaddle-fleet';
import type {TryOutcome, TryRequest} from 'stallpaddle-rpc';

import fc from 'fast-check';
import {decodeValue, encodeValue} from 'stallpaddle';
import {EMPTY_VIEW, fleetMachine, knownSoftware} from 'stallpaddle-fleet';
import {UNCONFIRMED_SOFTWARE} from 'stallpaddle-relay';
import {expect, test} from 'vitest';

import {NodeStreams, type StreamAsk} from '../../NodeStreams';

const ROUTE = {
  giveUpAfterMs: 0,
  host: 'h',
  kind: 'streaming',
  maxAttempts: 2,
  maxWaitingTokens: 0,
  name: 'r',
  objectiveMs: 300,
  pathPrefix: '/a/',
  resumable: true,
  split: [{service: 's', weight: 1}],
  targetMs: 0,
  timeoutMs: 5_000,
} as const;
const LIMITS = {headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1};
const VMS = 6;
/** VMs with a replica of the control group; the first ones. */
const VOTERS = 3;
/** Time for which a version stays remembered after its last engine has left, in milliseconds. */
const LIFE_MS = 30_000;
/** Time for which a VM that is cut off waits for the leader, in milliseconds. */
const TIMEOUT_MS = 300;
/** Turns of the event loop after which the messages of one step have arrived, also those that are sent again four times. */
const SETTLE_TURNS = 20;

function replicaOf(at: number): string {
  return `10.0.0.${at}/first`;
}

const CONTROLS = Array.from({length: VOTERS}, (_, at) => replicaOf(at));

interface ModelVm {
  /** Whether it is cut off from all other VMs. */
  isCut: boolean;
  /** Whether it gets no new entries of the log; a VM with a replica that others don't need for a majority. */
  isLagging: boolean;
  /** State of its replica, committed or not. */
  log: FleetState;
  /** VMs on different sides don't reach each other. */
  side: number;
  streams: NodeStreams;
  view: FleetView;
}

/** Several VMs, and the state of their control group. */
class Fleet {
  readonly messages: StreamAsk[] = [];
  readonly notes: string[] = [];
  readonly vms: ModelVm[];
  /** Number of messages that are lost next. */
  lost = 0;
  /** Whether a leader answers; without one nothing changes. */
  hasLeader = true;
  private engines = 0;
  private now = 0;
  private state: FleetState = fleetMachine.initial();

  constructor() {
    const config = {limits: LIMITS, routes: [ROUTE], services: [], source: '', version: 1};
    this.apply({config, kind: 'putConfig'});
    this.vms = Array.from({length: VMS}, (_, at) => this.startVm(at));
    this.publish();
  }

  /** Registers an engine; its name is returned. */
  addEngine(softwareVersion: string, startedAtMs = 0): string {
    const id = `e${++this.engines}`;
    const report = {
      address: `${id}:1`,
      draining: false,
      id,
      sequence: 1,
      service: 's',
      slots: 8,
      softwareVersion,
      startedAtMs,
      zone: 'z',
    };
    this.apply({kind: 'reportEngine', report});
    this.publish();
    return id;
  }

  removeEngine(id: string): void {
    this.apply({id, kind: 'removeEngine', startedAtMs: null});
    this.publish();
  }

  /** Advances the clocks. */
  advance(ms: number): void {
    this.now += ms;
    this.apply({kind: 'tick'}, ms);
    this.publish();
  }

  /** Makes one replica miss the next entries; a leader brings the others up to date. */
  lagOnly(at: number): void {
    this.vms.forEach((vm, other) => {
      vm.isLagging = other === at;
      if (!vm.isLagging && this.isServed && this.isWithLeader(vm)) {
        vm.log = this.state;
      }
    });
  }

  /** Kills a VM and starts it anew. */
  restart(at: number): void {
    this.vms[at] = this.startVm(at, this.vms[at]!.isCut);
    this.publish();
  }

  async settle(): Promise<void> {
    for (let turns = 0; turns < SETTLE_TURNS; turns++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  async begin(at: number, firstAttempt: string, softwareVersion: string): Promise<void> {
    this.vms[at]!.streams.record({firstAttempt, software: {service: 's', softwareVersion}});
    await this.settle();
  }

  async versionAt(at: number, firstAttempt: string): Promise<string | undefined> {
    return (await this.vms[at]!.streams.find(firstAttempt, ROUTE))?.softwareVersion;
  }

  /** Versions that the VM could send a stream to. */
  versionsAt(at: number): readonly string[] {
    const {engines} = this.vms[at]!.view.news;
    return [...new Set(engines.map(({softwareVersion}) => softwareVersion))];
  }

  private apply(command: FleetCommand, elapsedMs = 0): void {
    if (this.vms !== undefined && !this.isServed) {
      return;
    }
    this.state = fleetMachine.apply(this.state, encodeValue(command), elapsedMs).state;
    this.vms?.forEach((vm) => {
      if (!vm.isLagging && this.isWithLeader(vm)) {
        vm.log = this.state;
      }
    });
  }

  private get voters(): readonly ModelVm[] {
    return this.vms.slice(0, VOTERS);
  }

  /** Whether there is a leader with a majority that gets its entries. */
  private get isServed(): boolean {
    const held = this.voters.filter((vm) => !vm.isLagging && this.isWithLeader(vm));
    return this.hasLeader && held.length * 2 > VOTERS;
  }

  private isWithLeader({isCut, side}: ModelVm): boolean {
    return !isCut && side === 0;
  }

  /** Sends the status to all VMs that are not cut off. */
  private publish(): void {
    this.vms?.forEach((vm) => this.update(vm));
  }

  private update(vm: ModelVm): void {
    if (!this.isServed || !this.isWithLeader(vm)) {
      return;
    }
    const before = vm.view;
    const news = {
      ...before.news,
      controls: CONTROLS,
      engines: [...this.state.engines.values()].map((engine) => ({...engine, silent: false})),
      entries: Array.from({length: VMS}, (_, at) => ({
        address: `10.0.0.${at}:1`,
        name: `vm${at}`,
        zone: `z${at % 3}`,
      })),
      formerSoftware: [...this.state.formerSoftware.keys()],
    };
    vm.view = {...before, asOf: this.now, config: this.state.config, news};
    vm.streams.onView(vm.view, before);
  }

  private startVm(at: number, isCut = false): ModelVm {
    const vm: ModelVm = {
      isCut,
      isLagging: this.vms?.[at]?.isLagging ?? false,
      log: this.vms?.[at]?.log ?? this.state,
      side: this.vms?.[at]?.side ?? 0,
      streams: undefined as never,
      // A process that starts is told of the replicas by its settings.
      view: {...EMPTY_VIEW, news: {...EMPTY_VIEW.news, controls: CONTROLS}},
    };
    const ageMs = (): number => this.now - vm.view.asOf;
    const watch = {
      get ageMs(): number {
        return ageMs();
      },
      confirm: () => {
        const isConfirmed = this.isServed && this.isWithLeader(vm);
        this.update(vm);
        this.now += isConfirmed ? 0 : TIMEOUT_MS;
        return Promise.resolve(isConfirmed);
      },
      get view(): FleetView {
        return vm.view;
      },
    };
    vm.streams = new NodeStreams({
      clock: {monotonicMs: () => this.now, wallMs: () => 0},
      host: `10.0.0.${at}`,
      note: (message) => this.notes.push(message),
      tryAt: (host, request) => this.deliver(vm, host, request),
      watch,
    });
    return vm;
  }

  private deliver(from: ModelVm, host: string, {encoded}: TryRequest): Promise<TryOutcome> {
    const ask = decodeValue<FleetRequest | StreamAsk>(encoded);
    const at = Number(host.split('.')[3]);
    const to = this.vms[at]!;
    if (ask.kind === 'findStream' || ask.kind === 'recordStreams') {
      this.messages.push(ask);
    }
    const isLocal = from === to;
    if ((!isLocal && (from.isCut || to.isCut)) || from.side !== to.side || this.lost > 0) {
      this.lost = Math.max(0, this.lost - 1);
      return Promise.resolve({kind: 'unknown'});
    }
    if (ask.kind === 'findStream' || ask.kind === 'recordStreams') {
      return Promise.resolve({kind: 'answered', result: to.streams.answer(ask)});
    }
    const software = knownSoftware(to.log, []);
    const result = {replica: replicaOf(at), software, voters: CONTROLS};
    return Promise.resolve({kind: 'answered', result});
  }
}

const OTHERS = Array.from({length: VMS - 1}, (_, at) => at + 1);

test('while all engines have one version, no VM sends anything, and any VM knows the version', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1');
  await fleet.begin(0, 'q', 'v1');
  fleet.restart(0);
  for (const at of [0, ...OTHERS]) {
    expect(await fleet.versionAt(at, 'q')).toBe('v1');
  }
  expect(fleet.messages).toEqual([]);
});

test('each VM finds the version of a stream, also after the VM that began it is lost', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1');
  fleet.addEngine('v2');
  await fleet.begin(0, 'q', 'v2');
  fleet.restart(0);
  for (const at of [0, ...OTHERS]) {
    expect(await fleet.versionAt(at, 'q')).toBe('v2');
  }
});

test('a VM that does not confirm a record is replaced by the next one', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1');
  fleet.addEngine('v2');
  fleet.lost = 3;
  await fleet.begin(0, 'q', 'v2');
  fleet.restart(0);
  expect(await fleet.versionAt(0, 'q')).toBe('v2');
});

test('streams that began before a second version appeared are copied then', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1');
  await fleet.begin(0, 'q', 'v1');
  fleet.addEngine('v2');
  await fleet.settle();
  fleet.restart(0);
  expect(await fleet.versionAt(3, 'q')).toBe('v1');
});

test('a version is remembered until its streams can’t return after its last engine has left', async () => {
  const fleet = new Fleet();
  const old = fleet.addEngine('v1');
  fleet.addEngine('v2');
  await fleet.begin(0, 'q', 'v1');
  fleet.removeEngine(old);
  expect(await fleet.versionAt(3, 'q')).toBe('v1');
  fleet.vms.forEach((_, at) => fleet.restart(at));
  expect(await fleet.versionAt(3, 'q')).toBeUndefined();
  fleet.advance(LIFE_MS);
  expect(await fleet.versionAt(3, 'late')).toBe('v2');
});

test('a VM that is cut off does not guess the version', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1');
  fleet.vms[1]!.isCut = true;
  fleet.addEngine('v2');
  await fleet.begin(0, 'q', 'v2');
  expect(await fleet.versionAt(1, 'q')).toBeUndefined();
});

// Guards against the only version that a VM knows taken for that of a stream, because some VM answered that it has no record.
test('VMs that are cut off together do not guess the version', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1');
  [1, 4].forEach((at) => (fleet.vms[at]!.side = 1));
  fleet.addEngine('v2');
  await fleet.begin(0, 'q', 'v2');
  expect(await fleet.versionAt(1, 'q')).toBeUndefined();
  expect(await fleet.versionAt(4, 'q')).toBeUndefined();
});

test('a VM that missed a second version does not guess the version of a stream whose records were lost', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1');
  fleet.vms[4]!.isCut = true;
  fleet.addEngine('v2');
  fleet.lost = 5;
  await fleet.begin(0, 'q', 'v2');
  fleet.restart(0);
  fleet.vms[4]!.isCut = false;
  fleet.hasLeader = false;
  expect(await fleet.versionAt(4, 'q')).toBeUndefined();
});

test('without a leader, a majority of the replicas proves the only version', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1');
  fleet.hasLeader = false;
  fleet.vms[2]!.isCut = true;
  expect(await fleet.versionAt(3, 'q')).toBe('v1');
  fleet.vms[1]!.isCut = true;
  expect(await fleet.versionAt(3, 'q')).toBeUndefined();
});

test('after a loss of all VMs, a majority of the replicas proves the only version before there is a leader', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1');
  fleet.hasLeader = false;
  fleet.vms.forEach((_, at) => fleet.restart(at));
  expect(await fleet.versionAt(3, 'q')).toBe('v1');
});

test('without a leader, a majority tells a version that one of its replicas lacks', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1');
  fleet.vms[0]!.isLagging = true;
  fleet.addEngine('v2');
  fleet.hasLeader = false;
  fleet.vms[2]!.isCut = true;
  fleet.vms.forEach((_, at) => fleet.restart(at));
  expect(await fleet.versionAt(0, 'q')).toBeUndefined();
});

// Guards against the only known version taken for that of an engine that had started again unnoticed.
test('a stream whose engine was not confirmed is unknown at each VM, also while all engines have one version', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1', 1);
  const record = Promise.resolve({firstAttempt: 'q', software: UNCONFIRMED_SOFTWARE});
  fleet.vms[0]!.streams.recordLater('q', record);
  await fleet.settle();
  fleet.restart(0);
  for (const at of [0, ...OTHERS]) {
    expect(await fleet.versionAt(at, 'q')).toBeUndefined();
    expect(await fleet.versionAt(at, 'other')).toBe('v1');
  }
});

test('a return at the VM of a stream waits until the engine that began it is confirmed', async () => {
  const fleet = new Fleet();
  fleet.addEngine('v1', 1);
  fleet.addEngine('v2', 1);
  const software = {service: 's', softwareVersion: 'v2'};
  let confirm = (): void => {};
  const confirmed = new Promise<void>((resolve) => (confirm = resolve));
  fleet.vms[0]!.streams.recordLater(
    'q',
    confirmed.then(() => ({firstAttempt: 'q', software})),
  );
  const found = fleet.versionAt(0, 'q');
  await fleet.settle();
  confirm();
  expect(await found).toBe('v2');
  await fleet.settle();
  expect(await fleet.versionAt(3, 'q')).toBe('v2');
});

/** A step of a random history; numbers select among VMs, engines and streams. */
const STEP = fc.record({
  kind: fc.constantFrom(
    'add',
    'advance',
    'begin',
    'begin',
    'begin',
    'cut',
    'cutTogether',
    'lag',
    'leader',
    'find',
    'find',
    'lose',
    'remove',
    'restart',
    'restartAll',
  ),
  of: fc.nat(1_000),
  vm: fc.nat(VMS - 1),
});

test('in random histories a version is unknown or right', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(STEP, {maxLength: 40, minLength: 10}), async (steps) => {
      const fleet = new Fleet();
      const engines = [fleet.addEngine('v1')];
      const began = new Map<string, string>();
      for (const {kind, of, vm} of steps) {
        switch (kind) {
          case 'add':
            engines.push(fleet.addEngine(`v${of % 3}`));
            break;
          case 'advance':
            fleet.advance(of);
            break;
          case 'begin': {
            const versions = fleet.versionsAt(vm);
            const version = versions[of % Math.max(1, versions.length)];
            if (version !== undefined) {
              began.set(`q${began.size}`, version);
              await fleet.begin(vm, `q${began.size - 1}`, version);
            }
            break;
          }
          case 'cut':
            fleet.vms[vm]!.isCut = !fleet.vms[vm]!.isCut;
            break;
          case 'cutTogether': {
            const isSplit = fleet.vms.some(({side}) => side === 1);
            fleet.vms.forEach((other, at) => (other.side = isSplit ? 0 : (of >> at) % 2));
            break;
          }
          case 'lag':
            fleet.lagOnly(vm % VOTERS);
            break;
          case 'leader':
            fleet.hasLeader = !fleet.hasLeader;
            break;
          case 'find':
            for (const [stream, version] of [...began].slice(-1 - (of % 2))) {
              expect([undefined, version]).toContain(await fleet.versionAt(vm, stream));
            }
            break;
          case 'lose':
            fleet.lost = of % 4;
            break;
          case 'remove':
            if (engines.length > 1) {
              fleet.removeEngine(engines.splice(of % engines.length, 1)[0]!);
            }
            break;
          case 'restart':
            fleet.restart(vm);
            break;
          case 'restartAll':
            fleet.vms.forEach((_, at) => fleet.restart(at));
            break;
        }
      }
    }),
    {numRuns: 150},
  );
});
