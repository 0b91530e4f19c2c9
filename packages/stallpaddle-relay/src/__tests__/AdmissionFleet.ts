/**
 * Model of many VMs with admission: callers, a common pool of engine slots, and the dispatcher's reports. Uses the fake
 * timers of the test.
 */
import type {Clock, Random} from 'stallpaddle';
import type {RoomReport} from 'stallpaddle-admission';

import {seededRandom} from 'stallpaddle';

import type {RelayRequest} from '../RelayTypes';

import {RelayAdmission} from '../RelayAdmission';
import {RelayFleetLoad} from '../RelayFleetLoad';
import {RelayLatencies} from '../RelayLatencies';
import {RelayOnlineLoad} from '../RelayOnlineLoad';
import {RelayTurn, type TurnContext} from '../RelayTurn';
import {requestOf, routeOf} from './RelayFixture';

const DEADLINE_MS = 5_000;
const OBJECTIVE_MS = 300;
const REPORT_INTERVAL_MS = 20;
const RUN_MS = 800;
const SECOND_MS = 1_000;

/** One attempt of a caller. */
export interface ModelAttempt {
  readonly arrivedAt: number;
  readonly end: 'rejected' | 'sent';
  readonly endedAt: number;
  readonly isReturn: boolean;
  readonly retryAfterMs: number;
}

class ModelVm {
  readonly context: TurnContext;
  readonly fleetLoad: RelayFleetLoad;

  constructor(clock: Clock, random: Random) {
    this.fleetLoad = new RelayFleetLoad(clock);
    const online = new RelayOnlineLoad(clock);
    const {fleetLoad} = this;
    const admission = new RelayAdmission({
      aboveShare: () => () => false,
      clock,
      decide: () => {},
      fleetLoad,
      online,
      priorityOf: () => null,
      random,
    });
    this.context = {admission, clock, latencies: new RelayLatencies(), online, random};
  }

  report(room: RoomReport): void {
    this.fleetLoad.apply({room}, true);
    this.context.online.applyReport({}, true, []);
  }
}

/** A fleet of VMs. */
export class AdmissionFleet {
  readonly attempts: ModelAttempt[] = [];
  /** Time at which the burst that the dispatcher sees will end; null while there is none. */
  burstEndsAt: null | number = null;
  isReporting = true;
  private epoch = 0;
  private readonly random = seededRandom(1);
  private running = 0;
  private startedAt: number[] = [];
  private vms: readonly ModelVm[];

  /**
   * @param slots engine slots
   * @param count number of VMs
   * @param clock the fake clock
   */
  constructor(
    readonly slots: number,
    private readonly count: number,
    private readonly clock: Clock,
  ) {
    this.vms = this.makeVms();
    setInterval(() => this.report(), REPORT_INTERVAL_MS);
  }

  /** Number of requests that all VMs hold. */
  get waiting(): number {
    return this.vms.reduce((sum, {context}) => sum + context.admission.length, 0);
  }

  /** Requests per second that the slots bear. */
  get capacity(): number {
    return (this.slots / RUN_MS) * SECOND_MS;
  }

  /** Sends a new request to a random VM; a rejected caller returns once. */
  async send(spentMs = 0): Promise<void> {
    const {epoch} = this;
    const attempt = await this.attempt(spentMs);
    if (epoch !== this.epoch) {
      // The VM was lost: the caller returns at once.
      await this.send(spentMs + this.clock.monotonicMs() - attempt.arrivedAt);
      return;
    }
    this.attempts.push(attempt);
    if (attempt.end === 'rejected' && !attempt.isReturn) {
      const {retryAfterMs} = attempt;
      await new Promise((resolve) => setTimeout(resolve, retryAfterMs));
      await this.send(spentMs + attempt.endedAt - attempt.arrivedAt + retryAfterMs);
    }
  }

  /** Replaces all VMs; what they had sent is aborted, and its callers return. */
  loseVms(): void {
    const lost = this.running;
    this.epoch++;
    this.running = 0;
    const before = this.vms;
    this.vms = this.makeVms();
    before.forEach(({context}) => context.admission.wake());
    Array.from({length: lost}, () => void this.send(RUN_MS / 2));
  }

  private makeVms(): readonly ModelVm[] {
    return Array.from({length: this.count}, () => new ModelVm(this.clock, this.random));
  }

  private report(): void {
    const now = this.clock.monotonicMs();
    this.startedAt = this.startedAt.filter((at) => at > now - SECOND_MS);
    if (this.isReporting) {
      const {burstEndsAt, running, slots, startedAt, waiting} = this;
      const room = {
        burstEndsInMs: burstEndsAt === null ? null : Math.max(0, burstEndsAt - now),
        freeSlots: slots - running,
        itemSlots: 0,
        startsPerSecond: startedAt.length,
        waiting,
      };
      this.vms.forEach((vm) => vm.report(room));
    }
  }

  private async attempt(spentMs: number): Promise<ModelAttempt> {
    const {epoch} = this;
    const arrivedAt = this.clock.monotonicMs();
    const vm = this.vms[Math.floor(this.random() * this.count)]!;
    const turn = new RelayTurn(vm.context, this.request(arrivedAt, spentMs));
    const isReturn = spentMs > 0;
    const ended = (end: ModelAttempt['end'], retryAfterMs: number): ModelAttempt => {
      return {arrivedAt, end, endedAt: this.clock.monotonicMs(), isReturn, retryAfterMs};
    };
    while (epoch === this.epoch) {
      if (turn.mayTry && this.maySend(vm, arrivedAt, spentMs)) {
        turn.noteSent();
        this.run(turn);
        return ended('sent', 0);
      }
      const rejection = await turn.wait();
      if (rejection !== undefined) {
        turn.leave('left');
        return ended('rejected', rejection.retryAfterMs);
      }
    }
    return ended('rejected', 0);
  }

  /** While the load is unknown, late requests wait; otherwise a free slot is needed. */
  private maySend({context}: ModelVm, arrivedAt: number, spentMs: number): boolean {
    const waitedMs = this.clock.monotonicMs() - arrivedAt;
    const isHeld = !context.online.hasCurrentReport && spentMs > 0 && waitedMs < SECOND_MS;
    return !isHeld && this.running < this.slots;
  }

  private run(turn: RelayTurn): void {
    const {epoch} = this;
    this.running++;
    this.startedAt.push(this.clock.monotonicMs());
    setTimeout(
      () => {
        if (epoch === this.epoch) {
          this.running--;
          turn.noteFreed(true, false);
        }
      },
      RUN_MS * (0.5 + this.random()),
    );
  }

  private request(arrivedAt: number, spentMs: number): RelayRequest {
    return requestOf({
      arrivedAt,
      metadata: {
        caller: '',
        deadlineMs: DEADLINE_MS - spentMs,
        firstAttempt: null,
        requestId: '',
        resumeAfter: null,
        sharedParts: [],
      },
      route: routeOf({objectiveMs: OBJECTIVE_MS, timeoutMs: DEADLINE_MS}),
      spentMs,
    });
  }
}
