/**
 * Model of many VMs whose customers compete for slots: fake clock, late and lost messages, failures of the dispatcher.
 * Waiting requests get slots in the order of the admission queue: customers below their share first, then by arrival.
 */
import {type Random, seededRandom} from 'stallpaddle';

import type {DemandReport, SharesReport} from '../AdmissionTypes';

import {allowedFraction} from '../AdmissionGate';
import {AdmissionHeld} from '../AdmissionHeld';
import {AdmissionShares} from '../AdmissionShares';
import {AdmissionVmShares, type VmShareInputs} from '../AdmissionVmShares';

const STEP_MS = 5;
const REPORT_MS = 60;
/** As in `RelayFleetLoad`. */
const MAX_REPORT_AGE_MS = 2_000;
/** As in `JobsShares`. */
const COMPUTE_INTERVAL_MS = 50;
const FIRST_REPORTS_MS = 250;
const SENDER_TTL_MS = 3_000;
const SECOND_MS = 1_000;

/** A customer of the model. */
export interface ModelCustomer {
  readonly name: string;
  /** Requests per second at a time. */
  readonly rateAt: (at: number) => number;
  readonly weight: number;
}

/** State of the dispatcher at a time. */
export type DispatcherState =
  /** Reports arrive, answers don't. */
  | 'mute'
  | 'lost'
  /** Nothing is processed, but messages wait. */
  | 'paused'
  | 'working';

/** A run of the model. */
export interface SharesLoad {
  readonly customers: readonly ModelCustomer[];
  readonly dispatcherAt?: (at: number) => DispatcherState;
  readonly endMs: number;
  readonly hasShares?: boolean;
  readonly lossFraction?: number;
  readonly seed?: number;
  readonly serviceMs: number;
  readonly slots: number;
  readonly vms: number;
}

/** A request that was decided. */
export interface ModelRequest {
  readonly arrivedAt: number;
  readonly customer: string;
  readonly durationMs: number;
  /** Null when it was rejected. */
  startedAt: null | number;
  readonly vm: ModelVm;
}

class ModelVm {
  readonly demand: {readonly running: Map<string, number>; readonly waiting: Map<string, number>} =
    {
      running: new Map(),
      waiting: new Map(),
    };
  readonly held = new AdmissionHeld();
  heardAt = -Infinity;
  shares: SharesReport | undefined;
  readonly gate: AdmissionVmShares;

  constructor(index: number) {
    this.gate = new AdmissionVmShares((index * 0.618) % 1);
  }

  count(kind: 'running' | 'waiting', customer: string, by: number): void {
    const counts = this.demand[kind];
    counts.set(customer, (counts.get(customer) ?? 0) + by);
  }

  report(now: number): DemandReport {
    const {running, waiting} = this.demand;
    const held = this.held.held(now);
    return {held, running: Object.fromEntries(running), waiting: Object.fromEntries(waiting)};
  }
}

interface Message {
  readonly at: number;
  readonly report: DemandReport;
  readonly vm: ModelVm;
}

/** Runs one load. */
export class SharesModel {
  readonly requests: ModelRequest[] = [];
  private computedAt = -Infinity;
  private dispatcher = new AdmissionShares();
  private firstAt = Infinity;
  private inbox: Message[] = [];
  private known = new Map<ModelVm, {readonly at: number; readonly report: DemandReport}>();
  private now = 0;
  private outbox: {
    readonly at: number;
    readonly shares: SharesReport | undefined;
    readonly vm: ModelVm;
  }[] = [];
  private readonly random: Random;
  private running: ModelRequest[] = [];
  private shares: SharesReport | undefined;
  private readonly vms: readonly ModelVm[];
  private waiting: ModelRequest[] = [];
  private wasLost = false;
  private readonly weights: ReadonlyMap<string, number>;

  /**
   * @param load the load
   */
  constructor(private readonly load: SharesLoad) {
    this.random = seededRandom(load.seed ?? 1);
    this.vms = Array.from({length: load.vms}, (_, index) => new ModelVm(index));
    this.weights = new Map(load.customers.map(({name, weight}) => [name, weight]));
  }

  /** Runs the model to its end. */
  run(): this {
    for (; this.now < this.load.endMs; this.now += STEP_MS) {
      this.endRequests();
      this.load.customers.forEach((customer) => this.arrivals(customer));
      this.startRequests();
      this.exchange();
    }
    return this;
  }

  /**
   * Slots that a customer held in the mean of a period.
   *
   * @param customer the customer
   * @param from start of the period
   * @param to its end
   */
  slotsOf(customer: string, from: number, to: number): number {
    const times = this.requests.map(({customer: name, durationMs, startedAt}) =>
      name === customer && startedAt !== null
        ? Math.max(0, Math.min(to, startedAt + durationMs) - Math.max(from, startedAt))
        : 0,
    );
    return times.reduce((sum, ms) => sum + ms, 0) / (to - from);
  }

  /**
   * Fraction of a group's requests that got a slot within a time.
   *
   * @param isMember whether a customer belongs to the group
   * @param from start of the period of arrivals
   * @param to its end
   * @param withinMs the time
   */
  servedOf(
    isMember: (name: string) => boolean,
    from: number,
    to: number,
    withinMs: number,
  ): number {
    const all = this.requests.filter(
      ({arrivedAt, customer}) => isMember(customer) && arrivedAt >= from && arrivedAt < to,
    );
    const served = all.filter(
      ({arrivedAt, startedAt}) => startedAt !== null && startedAt - arrivedAt <= withinMs,
    );
    return served.length / Math.max(1, all.length);
  }

  private weightOf(customer: string): number {
    return this.weights.get(customer) ?? 1;
  }

  private arrivals({name, rateAt}: ModelCustomer): void {
    const mean = (rateAt(this.now) * STEP_MS) / SECOND_MS;
    for (let left = mean; left > 0; left -= 0.1) {
      if (this.random() < Math.min(0.1, left)) {
        this.arrive(name);
      }
    }
  }

  private arrive(customer: string): void {
    const vm = this.vms[Math.floor(this.random() * this.vms.length)]!;
    const durationMs = this.load.serviceMs * (0.5 + this.random());
    const request = {arrivedAt: this.now, customer, durationMs, startedAt: null, vm};
    this.requests.push(request);
    const decision =
      this.load.hasShares === false
        ? {kind: 'admitted'}
        : vm.gate.decide(customer, this.inputsOf(vm));
    if (decision.kind === 'admitted') {
      vm.count('waiting', customer, 1);
      this.waiting.push(request);
    } else {
      vm.held.noteRejected(customer, this.now);
    }
  }

  private endRequests(): void {
    const isOver = ({durationMs, startedAt}: ModelRequest): boolean =>
      startedAt! + durationMs <= this.now;
    this.running.filter(isOver).forEach(({arrivedAt, customer, vm}) => {
      vm.count('running', customer, -1);
      vm.held.noteEnd(customer, this.now - arrivedAt, this.now);
    });
    this.running = this.running.filter((request) => !isOver(request));
    // A request that has waited 1.5 s is rejected.
    const isLate = ({arrivedAt}: ModelRequest): boolean => this.now - arrivedAt > 1_500;
    this.waiting.filter(isLate).forEach(({customer, vm}) => vm.count('waiting', customer, -1));
    this.waiting = this.waiting.filter((request) => !isLate(request));
  }

  private inputsOf(vm: ModelVm): VmShareInputs {
    const isFleetKnown = this.now - vm.heardAt < MAX_REPORT_AGE_MS;
    return {
      demand: () => vm.report(this.now),
      isFleetKnown,
      now: this.now,
      shares: isFleetKnown ? vm.shares : undefined,
      weightOf: (name) => this.weightOf(name),
    };
  }

  private startRequests(): void {
    const vms = new Set(this.waiting.map(({vm}) => vm));
    const shares = new Map([...vms].map((vm) => [vm, vm.gate.sharesFor(this.inputsOf(vm))]));
    const isOver = ({customer, vm}: ModelRequest): number =>
      this.load.hasShares !== false && allowedFraction(customer, shares.get(vm)) !== undefined
        ? 1
        : 0;
    this.waiting.sort((a, b) => isOver(a) - isOver(b) || a.arrivedAt - b.arrivedAt);
    const free = this.load.slots - this.running.length;
    for (const request of this.waiting.splice(0, Math.max(0, free))) {
      request.startedAt = this.now;
      request.vm.count('waiting', request.customer, -1);
      request.vm.count('running', request.customer, 1);
      this.running.push(request);
    }
  }

  private exchange(): void {
    const state = this.load.dispatcherAt?.(this.now) ?? 'working';
    this.vms.forEach((vm, index) => {
      if ((this.now + index * STEP_MS) % REPORT_MS < STEP_MS && !this.isMessageLost()) {
        this.inbox.push({at: this.now + this.random() * 20, report: vm.report(this.now), vm});
      }
    });
    if (state === 'lost') {
      this.inbox = [];
      this.wasLost = true;
    } else if (this.wasLost) {
      // Another process takes over; it knows nothing.
      this.wasLost = false;
      this.dispatcher = new AdmissionShares();
      this.known = new Map();
    }
    if (state !== 'paused') {
      this.handle(state);
    }
    this.outbox
      .filter(({at}) => at <= this.now)
      .forEach(({shares, vm}) => {
        vm.heardAt = this.now;
        vm.shares = shares;
      });
    this.outbox = this.outbox.filter(({at}) => at > this.now);
  }

  private handle(state: DispatcherState): void {
    const due = this.inbox.filter(({at}) => at <= this.now);
    this.inbox = this.inbox.filter(({at}) => at > this.now);
    for (const [vm, {at, report}] of this.known) {
      if (this.now - at > SENDER_TTL_MS) {
        this.known.delete(vm);
        this.dispatcher.replace(report, undefined, this.now);
      }
    }
    if (this.known.size === 0 && due.length > 0) {
      this.firstAt = this.now;
    }
    for (const {report, vm} of due) {
      this.dispatcher.replace(this.known.get(vm)?.report, report, this.now);
      this.known.set(vm, {at: this.now, report});
      if (this.now - this.computedAt >= COMPUTE_INTERVAL_MS) {
        this.computedAt = this.now;
        const weightOf = (name: string): number => this.weightOf(name);
        const isFirst = this.now - this.firstAt < FIRST_REPORTS_MS;
        const {slots} = this.load;
        this.shares = isFirst ? undefined : this.dispatcher.report(slots, weightOf, this.now);
      }
      if (state === 'working' && !this.isMessageLost()) {
        this.outbox.push({at: this.now + this.random() * 20, shares: this.shares, vm});
      }
    }
  }

  private isMessageLost(): boolean {
    return this.random() < (this.load.lossFraction ?? 0);
  }
}
