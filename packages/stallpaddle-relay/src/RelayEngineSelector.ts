/**
 * Selection of the next engine for one request.
 */
import type {EngineId} from 'stallpaddle';
import type {EngineSoftware, EngineView} from 'stallpaddle-fleet';

import {unreachable} from 'stallpaddle';
import {waitLimitMs} from 'stallpaddle-admission';
import {servedSoftware} from 'stallpaddle-fleet';

import type {NotRunReason} from './RelayEngineCall';
import type {EngineLoads} from './RelaySlotPlacement';
import type {RelayContext, RelayRequest} from './RelayTypes';

import {MAX_DECLINES, MAX_SENDS, MAX_UNKNOWN_LOAD_WAIT_MS, QUEUE_FRACTION} from './RelayConstants';
import {isHealthy, selectEngine, selectService} from './RelayPlacement';

const NONE: ReadonlySet<EngineId> = new Set();

/** Selects the next engine for one request, and decides whether the request may be sent yet. */
export class RelayEngineSelector {
  private declines = 0;
  /**
   * Engines that may have run the request and were not found to have exited since. Those that are still in the fleet status
   * count as attempts.
   */
  private readonly attempted = new Set<EngineId>();
  /** Engines that were unreachable or whose address belongs to another engine. */
  private readonly unreached = new Set<EngineId>();
  /** The engine that the request was last sent to. */
  private last: EngineId | undefined;
  /** Whether that engine was an attempt already before the request was sent to it again. */
  private wasAttempted = false;
  private sends = 0;
  /** Software that began the stream; undefined before its first event. */
  private software: EngineSoftware | undefined;
  private readonly sentTo = new Set<EngineId>();

  /**
   * @param context dependencies of the relay
   * @param req the request
   * @param suspectDigest returns the request's digest while it is a suspect, otherwise null
   */
  constructor(
    private readonly context: RelayContext,
    private readonly req: RelayRequest,
    private readonly suspectDigest: () => null | string,
  ) {}

  /** Number of engines that the request was sent to, including those that declined it. */
  get attempts(): number {
    return this.sentTo.size;
  }

  /** Whether the route allows an attempt at one more engine; engines that have not run the request don't count. */
  get hasAttemptLeft(): boolean {
    const {maxAttempts} = this.req.route;
    return this.attempted.size < maxAttempts || this.attemptedEngines().length < maxAttempts;
  }

  /** Whether the request may be sent again, to another engine or to one that it was already sent to. */
  get hasSendLeft(): boolean {
    return this.hasAttemptLeft || this.sends < MAX_SENDS;
  }

  /** Whether so many engines have declined the request that no other one is tried. */
  get isDeclined(): boolean {
    return this.declines >= MAX_DECLINES;
  }

  /** Whether another healthy engine has a free slot and may get the request. */
  get canMove(): boolean {
    const {clock, engineHealth, online} = this.context;
    const engine = this.hasAttemptLeft ? this.next() : undefined;
    return (
      engine !== undefined &&
      // Without any report from other VMs, engines that look free may be full, and all requests would move at once.
      online.hasReceivedReport &&
      isHealthy(engine, engineHealth.of(engine), clock.monotonicMs()) &&
      !online.isUnresponsive(engine.id) &&
      (this.hasFreeSlot(engine) || (this.isQueued && online.requestsAt(engine.id) < engine.slots))
    );
  }

  /** Software that began the stream; undefined before its first event. */
  get begunBy(): EngineSoftware | undefined {
    return this.software;
  }

  /** Whether some engine that takes requests has the software that began the stream. */
  get isVersionServed(): boolean {
    return this.software === undefined || this.serviceOfVersion() !== undefined;
  }

  /** Names of all engines that the request was sent to, for the log. */
  get engineNames(): string {
    return [...this.sentTo].join(',');
  }

  /** Names of the engines that may have run the request, for the log; undefined unless there are several. */
  get attemptedNames(): string | undefined {
    return this.attempted.size > 1 ? [...this.attempted].join(',') : undefined;
  }

  /**
   * Binds the request to the software that began its stream.
   *
   * @param software the software
   */
  bindTo(software: EngineSoftware): void {
    this.software = software;
  }

  /**
   * Whether the request has waited for a free slot as long as it may.
   *
   * @param waitedMs time since the request arrived, in milliseconds
   */
  hasWaitedLimit(waitedMs: number): boolean {
    const {metadata, route} = this.req;
    const allowedMs = Math.min(route.timeoutMs, metadata.deadlineMs ?? Infinity);
    return waitedMs >= waitLimitMs({allowedMs, isReturn: false, meanRunMs: 0});
  }

  /**
   * Whether a request may wait for an engine although none could be reached: while it can still meet its objective,
   * waiting for one to recover is faster than a retry by the caller.
   *
   * @param waitedMs time since the request arrived, in milliseconds
   */
  mayWaitForEngine(waitedMs: number): boolean {
    return this.unreached.size > 0 && this.canMeetObjective(waitedMs);
  }

  /** Allows the request to be sent again to all engines, as far as its attempts allow. */
  allowAllEngines(): void {
    this.sentTo.clear();
  }

  /**
   * Allows the request to be sent again to all engines if some have declined it.
   *
   * @returns whether some have
   */
  allowDeclined(): boolean {
    const hasDeclines = this.declines > 0;
    if (hasDeclines) {
      this.declines = 0;
      this.allowAllEngines();
    }
    return hasDeclines;
  }

  /** Allows the request to be sent again to engines that were unreachable. */
  allowUnreached(): void {
    this.unreached.forEach((id) => this.sentTo.delete(id));
    this.unreached.clear();
  }

  /**
   * Whether an engine has a free slot, as far as known.
   *
   * @param engine the engine
   */
  hasFreeSlot({id, slots}: EngineView): boolean {
    return this.context.online.requestsAt(id) + (this.loads?.itemsAt(id) ?? 0) < slots;
  }

  /**
   * Whether the request may be sent to an engine now, where it may have to queue.
   *
   * @param engine the engine
   * @param waitedMs time since the request arrived, in milliseconds
   * @param mayQueue whether the request may queue at the engine even if it can't meet its objective
   */
  maySend({id, slots}: EngineView, waitedMs: number, mayQueue = false): boolean {
    const {online} = this.context;
    const mayDelay = waitedMs < MAX_UNKNOWN_LOAD_WAIT_MS && !this.hasWaitedLimit(waitedMs);
    if (!online.hasCurrentReport && mayDelay && !this.hasPriority(waitedMs)) {
      return false;
    }
    const fraction = mayQueue ? QUEUE_FRACTION : this.queueFraction(waitedMs);
    return online.requestsAt(id) < slots * (1 + fraction);
  }

  /**
   * Selects the best engine that the request was not yet sent to, or, when no attempts are left, the best one that
   * may have run it already; undefined when there is none.
   *
   * @param queued service for which the request has waited; otherwise drawn by the route's weights
   */
  next(queued?: string): EngineView | undefined {
    const {clock, engineHealth, engines, online, random, zone} = this.context;
    const service = this.serviceOfVersion() ?? queued ?? selectService(this.req.route, random);
    if (service === undefined) {
      return undefined;
    }
    return selectEngine({
      engines: this.hasAttemptLeft ? engines() : this.knownEngines(),
      healthOf: (engine) => engineHealth.of(engine),
      isUnresponsive: (id) => online.isUnresponsive(id),
      loads: this.loads,
      now: clock.monotonicMs(),
      onlineAt: (id) => online.requestsAt(id),
      random,
      service,
      softwareVersion: this.software?.softwareVersion,
      suspectDigest: this.suspectDigest(),
      tried: this.hasAttemptLeft ? this.sentTo : NONE,
      unreported: online.unreported,
      zone,
    });
  }

  /**
   * Records that the engine that the request was last sent to has not run it.
   *
   * @param reason why it was not run
   */
  noteNotRun(reason: NotRunReason): void {
    if (this.last === undefined) {
      return;
    }
    switch (reason) {
      case 'declined':
        this.declines++;
        this.withdrawAttempt(this.last);
        return;
      case 'malformed':
      case 'noConnection':
        this.unreached.add(this.last);
        this.withdrawAttempt(this.last);
        return;
      case 'otherEngine':
      case 'refused':
        // An engine that has exited says nothing about the load of others, so this doesn't count as a decline.
        this.unreached.add(this.last);
        this.attempted.delete(this.last);
        return;
      default:
        unreachable(reason);
    }
  }

  /** Withdraws the latest attempt, which was not run; an earlier one at the same engine may have run. */
  private withdrawAttempt(id: EngineId): void {
    if (!this.wasAttempted) {
      this.attempted.delete(id);
    }
  }

  /**
   * Records that the request is sent to an engine.
   *
   * @param id the engine
   */
  noteSent(id: EngineId): void {
    this.last = id;
    this.sends++;
    // Moves the engine to the end: the log lists engines in the order of their last attempt.
    this.sentTo.delete(id);
    this.sentTo.add(id);
    this.wasAttempted = this.attempted.has(id);
    this.attempted.add(id);
  }

  /**
   * Whether the engine that the request was last sent to has more online requests than slots. Only then it is worth
   * preempting a batch item elsewhere: an engine that is full of items gives up one for this request.
   */
  private get isQueued(): boolean {
    const {engines, online} = this.context;
    const last = engines().find(({id}) => id === this.last);
    return last !== undefined && online.requestsAt(last.id) > last.slots;
  }

  /** Services of the route at which the stream may go on: the one that began it, unless the route has left it since. */
  private services(): readonly string[] {
    const {software} = this;
    const open = this.req.route.split.filter(({weight}) => weight > 0);
    const services = open.map(({service}) => service);
    return software !== undefined && services.includes(software.service)
      ? [software.service]
      : services;
  }

  /** Service at which a stream that has begun goes on; undefined if none has engines of its software version. */
  private serviceOfVersion(): string | undefined {
    const {software} = this;
    if (software === undefined) {
      return undefined;
    }
    const served = servedSoftware(this.context.engines());
    return this.services().find((service) => served.get(service)?.has(software.softwareVersion));
  }

  /** What the dispatcher tells of engines; undefined while it is unknown, or batch items are not packed. */
  private get loads(): EngineLoads | undefined {
    const {fleetLoad, isOn} = this.context;
    return fleetLoad.knowsItems && isOn('batchPacking') ? fleetLoad : undefined;
  }

  /** Engines that count as attempts. */
  private attemptedEngines(): readonly EngineView[] {
    return this.context.engines().filter(({id}) => this.attempted.has(id));
  }

  /** Engines that count as attempts; the last of them only when there is no other. */
  private knownEngines(): readonly EngineView[] {
    const known = this.attemptedEngines();
    const others = known.filter(({id}) => id !== this.last);
    return others.length > 0 ? others : known;
  }

  /**
   * Queue that an engine may have when the request is sent, as a fraction of its slots. Requests that can still meet
   * their objective may queue; the others wait for a free slot and queue only when their wait is over.
   */
  private queueFraction(waitedMs: number): number {
    if (this.hasWaitedLimit(waitedMs)) {
      // A longer queue would make later requests miss their objective too.
      return QUEUE_FRACTION;
    }
    return this.hasPriority(waitedMs) ? QUEUE_FRACTION : 0;
  }

  /** Whether the request has priority: it can still meet its objective, or its route has none. */
  private hasPriority(waitedMs: number): boolean {
    return this.canMeetObjective(waitedMs) || this.req.route.objectiveMs === 0;
  }

  /** Whether the request meets its objective if an engine starts it now. */
  private canMeetObjective(waitedMs: number): boolean {
    const firstMs = this.context.latencies.firstEvent.meanMs;
    return this.req.spentMs + waitedMs + firstMs < this.req.route.objectiveMs;
  }
}
