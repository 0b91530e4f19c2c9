/**
 * Which engine one request goes to next, and whether it may go anywhere yet.
 */
import type {EngineId} from 'stallpaddle';
import type {EngineView} from 'stallpaddle-fleet';

import {unreachable} from 'stallpaddle';

import type {NotRunReason} from './RelayEngineCall';
import type {RelayContext, RelayRequest} from './RelayTypes';

import {
  LATE_WAIT_MS,
  LATE_WAIT_PART,
  MAX_DECLINES,
  MOST_SENDS,
  QUEUED_IN_TIME,
  UNTOLD_WAIT_MS,
} from './RelayConstants';
import {selectService, isHealthy, selectEngine} from './RelayPlacement';

const NONE: ReadonlySet<EngineId> = new Set();

/** See the module's comment. */
export class RelayEngineSelector {
  private declines = 0;
  /** Engines that count as attempts: they may have run the request, and have not been found ended since. */
  private readonly counted = new Set<EngineId>();
  /** Engines that could not be reached, or whose address another one has. */
  private readonly unreached = new Set<EngineId>();
  /** The engine that was sent the request last. */
  private last: EngineId | undefined;
  /** Whether that engine counted before, when it was sent the request another time. */
  private countedBefore = false;
  private sends = 0;
  private readonly sentTo = new Set<EngineId>();

  /**
   * @param context what the relay needs of its process
   * @param req the request
   * @param apart the request's digest while it is a suspect, else null
   */
  constructor(
    private readonly context: RelayContext,
    private readonly req: RelayRequest,
    private readonly apart: () => null | string,
  ) {}

  /** Number of engines that the request was sent to, also of those that declined it. */
  get attempts(): number {
    return this.sentTo.size;
  }

  /** Whether the request may be sent to one more engine, those left out that have not run it. */
  get hasAttemptLeft(): boolean {
    return this.counted.size < this.req.route.maxAttempts;
  }

  /** Whether the request may be sent again at all, to another engine or to one that was sent it before. */
  get hasSendLeft(): boolean {
    return this.hasAttemptLeft || this.sends < MOST_SENDS;
  }

  /** Whether so many engines have said that they are full that no further one is asked. */
  get isDeclined(): boolean {
    return this.declines >= MAX_DECLINES;
  }

  /** Whether another engine that works well has a free slot, and the request may be sent there. */
  get mayMove(): boolean {
    const {clock, engineHealth: experience, online} = this.context;
    const engine = this.hasAttemptLeft ? this.next() : undefined;
    return (
      engine !== undefined &&
      // Else all move at once, from full engines to others as full.
      online.hasKnownOthers &&
      isHealthy(engine, experience.of(engine), clock.monotonicMs()) &&
      !online.isSuspect(engine.id) &&
      this.hasRoom(engine)
    );
  }

  /** Names of all engines that the request was sent to, for the log. */
  get names(): string {
    return [...this.sentTo].join(',');
  }

  /**
   * Whether the request has waited here for a free slot as long as it may.
   *
   * @param waitedMs time since the request came, in milliseconds
   */
  hasWaited(waitedMs: number): boolean {
    const {metadata: facts, route} = this.req;
    const allowedMs = Math.min(route.timeoutMs, facts.deadlineMs ?? Infinity);
    return waitedMs >= Math.min(LATE_WAIT_MS, allowedMs * LATE_WAIT_PART);
  }

  /**
   * Whether a request that no engine could be reached for may wait for one: some are back soon, and while its answer can be in
   * time it is served sooner than if its caller came again.
   *
   * @param waitedMs time since the request came, in milliseconds
   */
  mayWaitForEngine(waitedMs: number): boolean {
    return this.unreached.size > 0 && this.isInTime(waitedMs);
  }

  /** Lets the request go again to engines that it was sent to. */
  forget(): void {
    this.sentTo.clear();
    this.counted.clear();
  }

  /** Lets the request go again to engines that could not be reached. */
  forgetUnreached(): void {
    this.unreached.forEach((id) => this.sentTo.delete(id));
    this.unreached.clear();
  }

  /**
   * Whether an engine has a free slot, as far as known.
   *
   * @param engine the engine
   */
  hasRoom({id, slots}: EngineView): boolean {
    return this.context.online.requestsAt(id) < slots;
  }

  /**
   * Whether the request may be sent to an engine now, perhaps to queue there.
   *
   * @param engine the engine
   * @param waitedMs time since the request came, in milliseconds
   */
  mayQueue({id, slots}: EngineView, waitedMs: number): boolean {
    const {online} = this.context;
    const mayBeHeld = waitedMs < UNTOLD_WAIT_MS && !this.hasWaited(waitedMs);
    if (!online.knowsOthers && mayBeHeld && !this.isHurried(waitedMs)) {
      return false;
    }
    return online.requestsAt(id) < slots * (1 + this.queuedPart(waitedMs));
  }

  /** The best engine that the request was not sent to; undefined when there is none. */
  next(): EngineView | undefined {
    const {clock, engines, engineHealth: experience, online, random, zone} = this.context;
    const service = selectService(this.req.route, random);
    if (service === undefined) {
      return undefined;
    }
    return selectEngine({
      apart: this.apart(),
      engines: this.hasAttemptLeft ? engines() : this.knownEngines(),
      experienceOf: (engine) => experience.of(engine),
      isSuspect: (id) => online.isSuspect(id),
      now: clock.monotonicMs(),
      onlineAt: (id) => online.requestsAt(id),
      random,
      service,
      tried: this.hasAttemptLeft ? this.sentTo : NONE,
      unseen: online.unseen,
      zone,
    });
  }

  /**
   * Notes that the engine that was sent the request last has not run it.
   *
   * @param reason why
   */
  noteNotRun(reason: NotRunReason): void {
    if (this.last === undefined) {
      return;
    }
    switch (reason) {
      case 'declined':
        this.declines++;
        if (!this.countedBefore) {
          this.counted.delete(this.last);
        }
        return;
      case 'noConnection':
      case 'otherEngine':
        // One that has ended says nothing of the others' room.
        this.unreached.add(this.last);
        this.counted.delete(this.last);
        return;
      default:
        unreachable(reason);
    }
  }

  /**
   * Notes that the request is sent to an engine.
   *
   * @param id the engine
   */
  noteSent(id: EngineId): void {
    this.last = id;
    this.sends++;
    // The engine that was asked last stands last.
    this.sentTo.delete(id);
    this.sentTo.add(id);
    this.countedBefore = this.counted.has(id);
    this.counted.add(id);
  }

  /** Engines that were sent the request before; the last of them only when there is no other. */
  private knownEngines(): readonly EngineView[] {
    const known = this.context.engines().filter(({id}) => this.sentTo.has(id));
    const others = known.filter(({id}) => id !== this.last);
    return others.length > 0 ? others : known;
  }

  /**
   * How far beyond its slots an engine may be sent this request, as a part of its slots. A request that can
   * be in time goes before those that can't: these wait for a free slot, and queue only at last.
   */
  private queuedPart(waitedMs: number): number {
    if (this.hasWaited(waitedMs)) {
      // A longer queue would make late what comes next, too.
      return QUEUED_IN_TIME;
    }
    return this.isHurried(waitedMs) ? QUEUED_IN_TIME : 0;
  }

  /** Whether the request goes before others: it can still be in time, or nobody says when it should be answered. */
  private isHurried(waitedMs: number): boolean {
    return this.isInTime(waitedMs) || this.req.route.objectiveMs === 0;
  }

  /** Whether an answer that an engine begins now can be in time. */
  private isInTime(waitedMs: number): boolean {
    const firstMs = this.context.latencies.firstEvent.meanMs;
    return this.req.spentMs + waitedMs + firstMs < this.req.route.objectiveMs;
  }
}
