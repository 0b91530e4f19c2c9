/** Operator of a soak: changes the configuration, reads it, and probes which one each VM obeys. */
import {randomInt} from 'node:crypto';
import {delay} from 'stallpaddle';

import type {SoakHistory} from './SoakHistory';
import type {SoakReply} from './SoakHttp';
import type {SoakCall, SoakWire} from './SoakWire';

import {configurationOf, type ProbedRoute, type ProbeOutcome, SERVICES} from './SoakConfigurations';
import {makeCall} from './SoakHttp';
import {probeId} from './SoakOutput';

/** Options of the operator. */
export interface SoakOperatorOptions {
  readonly addressOf: (vm: string, port: 'callers' | 'control') => string;
  readonly history: SoakHistory;
  /** VMs that serve callers and the operator. */
  readonly vms: () => readonly string[];
  readonly wire: SoakWire;
}

/** Timeout of the operator's calls, in milliseconds. */
const TIMEOUT_MS = 1_000;
/** Longest time for which one configuration is sent again, in milliseconds. */
const MAX_SEND_MS = 30_000;
/** Pause between two attempts, in milliseconds. */
const RETRY_MS = 50;
/** Pauses between two changes in a series, in milliseconds: some follow each other before they are in force everywhere. */
const MIN_CHANGE_MS = 200;
const MAX_CHANGE_MS = 3_500;
/** Time between two probes, in milliseconds. */
const PROBE_INTERVAL_MS = 40;
/** Deadline of a probe, in milliseconds. */
const PROBE_DEADLINE_MS = 1_500;
/** Time between two reads, in milliseconds. */
const READ_INTERVAL_MS = 400;

const OK = 200;
const NOT_FOUND = 404;
/** Statuses that don't refuse a configuration although they are client errors. */
const UNCLEAR: ReadonlySet<number> = new Set([408, 429]);

function isRefusal(reply: SoakReply): boolean {
  return (
    reply.kind === 'answer' &&
    reply.status >= 400 &&
    reply.status < 500 &&
    !UNCLEAR.has(reply.status)
  );
}

function isAcknowledgement(reply: SoakReply): boolean {
  return reply.kind === 'answer' && reply.status === OK;
}

function outcomeOf(reply: SoakReply): ProbeOutcome | undefined {
  if (reply.kind === 'broken' || !reply.whole) {
    return undefined;
  }
  const service = SERVICES.find((name) => name === reply.text);
  if (reply.status === OK && service !== undefined) {
    return {kind: 'served', service};
  }
  return reply.status === NOT_FOUND ? {kind: 'noRoute'} : undefined;
}

/** Sends configurations in series, invalid ones among them, and records what the VMs do with them. */
export class SoakOperator {
  private probes = 0;
  private stopped = false;
  private version = 1;

  /**
   * @param options options of the operator
   */
  constructor(private readonly options: SoakOperatorOptions) {}

  /**
   * Sends the first configuration once.
   *
   * @returns whether it was confirmed
   */
  configureFirst(): Promise<boolean> {
    return this.configure(this.version);
  }

  /** Sends the next configuration until it is confirmed; after a timeout it may or may not be in force. */
  async configureNext(): Promise<void> {
    const version = ++this.version;
    const endAt = performance.now() + MAX_SEND_MS;
    while (!this.stopped && performance.now() < endAt && !(await this.configure(version))) {
      await delay(RETRY_MS);
    }
  }

  /** Starts a series of changes, reads and probes; returns its undo. */
  start(): () => void {
    const timers = [
      setInterval(() => void this.readNext(), READ_INTERVAL_MS),
      setInterval(() => void this.probe(), PROBE_INTERVAL_MS),
    ];
    void this.changeInSeries();
    return () => {
      this.stopped = true;
      timers.forEach((timer) => clearInterval(timer));
    };
  }

  private async changeInSeries(): Promise<void> {
    while (!this.stopped) {
      await delay(randomInt(MIN_CHANGE_MS, MAX_CHANGE_MS));
      await this.sendInvalid();
      await this.configureNext();
      await this.repeat();
    }
  }

  private async configure(version: number): Promise<boolean> {
    const {history, wire} = this.options;
    history.note({kind: 'configSent', version});
    const reply = await this.call(wire.configure(configurationOf(version)));
    if (isAcknowledgement(reply)) {
      history.note({kind: 'configAccepted', version});
    }
    if (isRefusal(reply)) {
      history.note({kind: 'configRefused', version});
    }
    return isAcknowledgement(reply);
  }

  /** Sends the newest configuration again, as after a lost acknowledgement. */
  private async repeat(): Promise<void> {
    await this.configure(this.version);
  }

  private async sendInvalid(): Promise<void> {
    const {history, wire} = this.options;
    const variants = Object.entries(wire.invalid(configurationOf(this.version + 1)));
    const [fault, call] = variants[randomInt(variants.length)]!;
    if (isAcknowledgement(await this.call(call))) {
      history.note({fault, kind: 'invalidConfigAccepted'});
    }
  }

  /** Reads the configuration at a VM and records its version; failed and incomplete responses are ignored. */
  private async readNext(): Promise<void> {
    const {history, wire} = this.options;
    const vm = this.randomVm();
    const sentAt = history.now;
    const reply = await this.call(wire.readConfiguration, vm);
    if (reply.kind === 'answer' && reply.status === OK && reply.whole) {
      history.note({kind: 'configRead', sentAt, version: wire.readVersion(reply.text), vm});
    }
  }

  private async probe(): Promise<void> {
    const {addressOf, history, wire} = this.options;
    const vm = this.randomVm();
    const route = this.randomRoute();
    const sentAt = history.now;
    const call = wire.probe(probeId(++this.probes), route, PROBE_DEADLINE_MS);
    const address = addressOf(vm, 'callers');
    const reply = await makeCall(call, {address, agent: false, timeoutMs: 2 * PROBE_DEADLINE_MS});
    const outcome = outcomeOf(reply);
    if (outcome !== undefined) {
      history.note({kind: 'probed', outcome, route, sentAt, vm});
    }
  }

  /** The moved route, one that was added or one that was removed lately. */
  private randomRoute(): ProbedRoute {
    const number = this.version - randomInt(4);
    return randomInt(3) === 0 ? {kind: 'moved'} : {kind: 'added', number};
  }

  private randomVm(): string {
    const vms = this.options.vms();
    return vms[randomInt(vms.length)]!;
  }

  private call(call: SoakCall, vm = this.randomVm()): Promise<SoakReply> {
    const address = this.options.addressOf(vm, 'control');
    return makeCall(call, {address, agent: false, timeoutMs: TIMEOUT_MS});
  }
}
