/** Model of many VMs that ask the owner of one customer's limit: fake clock, one-way delays, lost messages. */
import {exponentialMs, type MonotonicMs, type Random, seededRandom} from 'stallpaddle';

import type {LimitDecision, RateLimit} from '../LimitTypes';

import {LimitOwnerBuckets} from '../LimitOwnerBuckets';
import {LimitPausedCustomers} from '../LimitPausedCustomers';
import {LimitPauses} from '../LimitPauses';

/** Load of a model run. */
export interface LimitLoad {
  /** Requests per second at a time, over all VMs. */
  readonly demandAt: (at: MonotonicMs) => number;
  /** Ends in milliseconds. */
  readonly endMs: number;
  readonly limit: RateLimit;
  readonly lossFraction?: number;
  readonly maxDelayMs?: number;
  readonly seed?: number;
  readonly vms: number;
}

/** What happened to the requests. */
export interface LimitOutcome {
  /** Times of the asks whose answer reached the VM. */
  readonly answered: readonly MonotonicMs[];
  readonly arrived: readonly MonotonicMs[];
  /** Times of the asks that reached the owner. */
  readonly asks: readonly MonotonicMs[];
  readonly granted: readonly MonotonicMs[];
  readonly pausesMs: readonly number[];
  readonly rejected: readonly MonotonicMs[];
  readonly retriesMs: readonly number[];
}

/** As in `NodeLimits`. */
const ASK_TRY_MS = 120;

/** A VM; as in `NodeLimitBatches`, it has one ask in flight. */
interface ModelVm {
  isAsking: boolean;
  readonly paused: LimitPausedCustomers;
  waiting: number;
}

interface ModelEvent {
  readonly at: MonotonicMs;
  readonly run: (now: MonotonicMs) => void;
}

/** Runs one load. */
export class LimitModel {
  private readonly answered: MonotonicMs[] = [];
  private readonly arrived: MonotonicMs[] = [];
  private readonly asks: MonotonicMs[] = [];
  private readonly buckets = new LimitOwnerBuckets();
  private readonly events: ModelEvent[] = [];
  private readonly granted: MonotonicMs[] = [];
  private readonly pauses = new LimitPauses();
  private readonly pausesMs: number[] = [];
  private readonly random: Random;
  private readonly rejected: MonotonicMs[] = [];
  private readonly retriesMs: number[] = [];
  private readonly vms: readonly ModelVm[];

  /**
   * @param load the load
   */
  constructor(private readonly load: LimitLoad) {
    this.random = seededRandom(load.seed ?? 1);
    this.vms = Array.from({length: load.vms}, () => ({
      isAsking: false,
      paused: new LimitPausedCustomers(),
      waiting: 0,
    }));
  }

  /** Runs the model to its end. */
  run(): LimitOutcome {
    const {demandAt, endMs} = this.load;
    let at = 0;
    while (at < endMs) {
      at += exponentialMs(this.random, Math.max(0.001, demandAt(at)));
      this.runUntil(at);
      this.arrive(at);
    }
    this.runUntil(Infinity);
    const {answered, arrived, asks, granted, pausesMs, rejected, retriesMs} = this;
    return {answered, arrived, asks, granted, pausesMs, rejected, retriesMs};
  }

  private runUntil(at: MonotonicMs): void {
    for (let next = this.events[0]; next !== undefined && next.at <= at; next = this.events[0]) {
      this.events.shift();
      next.run(next.at);
    }
  }

  private schedule(event: ModelEvent): void {
    const after = this.events.findIndex(({at}) => at > event.at);
    this.events.splice(after < 0 ? this.events.length : after, 0, event);
  }

  /** A request arrives at a random VM. */
  private arrive(now: MonotonicMs): void {
    const {customer} = this.load.limit;
    this.arrived.push(now);
    const vm = this.vms[Math.floor(this.random() * this.vms.length)]!;
    const paused = vm.paused.check(customer, now);
    if (paused?.kind === 'over') {
      this.reject(1, paused.retryAfterMs, now);
    } else {
      vm.waiting++;
      this.send(vm, now);
    }
  }

  /** Sends an ask for all waiting requests unless one is in flight. */
  private send(vm: ModelVm, now: MonotonicMs): void {
    if (vm.isAsking || vm.waiting === 0) {
      return;
    }
    const {waiting: count} = vm;
    const rejected = vm.paused.takeRejected(this.load.limit.customer);
    vm.isAsking = true;
    vm.waiting = 0;
    const {lossFraction = 0, maxDelayMs = 10} = this.load;
    const isLost = (): boolean => this.random() < lossFraction;
    const delayMs = (): number => this.random() * maxDelayMs;
    const end = {at: now + ASK_TRY_MS, run: (at: MonotonicMs) => this.onAnswer(vm, null, at)};
    if (isLost()) {
      this.schedule(end);
      return;
    }
    this.schedule({
      at: now + delayMs(),
      run: (at) => {
        this.asks.push(at);
        const ask = {count, rejected};
        const answer = this.pauses.answer(this.buckets, this.load.limit, ask, at);
        const back = {at: at + delayMs(), run: () => this.onAnswer(vm, {answer, count}, back.at)};
        if (isLost()) {
          this.schedule(end);
        } else {
          this.answered.push(at);
          this.schedule(back);
        }
      },
    });
  }

  /** Applies an answer; null when none has arrived in time. */
  private onAnswer(
    vm: ModelVm,
    told: {readonly answer: LimitDecision; readonly count: number} | null,
    now: MonotonicMs,
  ): void {
    vm.isAsking = false;
    if (told === null) {
      vm.waiting = 0;
      return;
    }
    const {answer, count} = told;
    const granted = answer.kind === 'granted' ? (answer.count ?? 1) : 0;
    const waitMs = answer.kind === 'granted' ? answer.waitMs : 0;
    for (let request = 0; request < granted; request++) {
      this.granted.push(now + waitMs);
    }
    const pause = answer.kind === 'granted' ? answer.rest : answer;
    if (pause?.pauseMs !== undefined) {
      this.pausesMs.push(pause.pauseMs);
      vm.paused.begin(this.load.limit.customer, {...pause, pauseMs: pause.pauseMs}, now);
      this.reject(count - granted + vm.waiting, pause.retryAfterMs, now);
      vm.waiting = 0;
    }
    this.send(vm, now);
  }

  private reject(count: number, retryAfterMs: number, now: MonotonicMs): void {
    for (let request = 0; request < count; request++) {
      this.rejected.push(now);
      this.retriesMs.push(retryAfterMs);
    }
  }
}

/**
 * Most times within any window of a length.
 *
 * @param times the times
 * @param windowMs the length
 */
export function mostWithin(times: readonly MonotonicMs[], windowMs: number): number {
  const sorted = [...times].sort((a, b) => a - b);
  let first = 0;
  let most = 0;
  sorted.forEach((at, index) => {
    while (at - sorted[first]! > windowMs) {
      first++;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}

/**
 * Times within a period.
 *
 * @param times the times
 * @param from its start
 * @param to its end
 */
export function countBetween(times: readonly MonotonicMs[], from: number, to: number): number {
  return times.filter((at) => at >= from && at < to).length;
}
