/**
 * Detection of engines that stall during an attempt.
 */
import type {AdaptiveTimeout, Clock, LogFields, MonotonicMs} from 'stallpaddle';

import {startTimeout, type Timeout} from 'stallpaddle';
import {slotTimeFactor} from 'stallpaddle-capacity';

import type {EngineIncarnation} from './RelayEngineHealth';
import type {RelayFleetLoad} from './RelayFleetLoad';
import type {RelayLatencies} from './RelayLatencies';
import type {RelaySpeeds} from './RelaySpeeds';

import {MAX_FIRST_EVENT_STALL_MS, MAX_STREAM_STALL_MS, RECHECK_INTERVAL_MS} from './RelayConstants';

/** Dependencies on the request. */
export interface RelayStallDetectorOptions {
  /** Ends the attempt; the fields give the reason in the log. */
  readonly abandon: (fields: LogFields) => void;
  /** Whether another engine has a free slot for the request. */
  readonly canMove: () => boolean;
  readonly clock: Clock;
  /** Tells the speeds of engines; left out if all are of usual speed. */
  readonly fleetLoad?: Pick<RelayFleetLoad, 'speedOf'>;
  /** Whether the stream can be resumed at another engine. */
  readonly isResumable: boolean;
  readonly latencies: RelayLatencies;
  /** Gets what is observed of the speeds of engines. */
  readonly speeds?: RelaySpeeds | undefined;
}

/** Chunks with events after whose arrival gaps are observed; the first gap says little of an engine's speed. */
const FIRST_CHUNKS = 2;
/** Timeouts are rounded up to multiples of this, so that most events only restart the timeout, in milliseconds. */
const TIMEOUT_STEP_MS = 10;

/**
 * Ends an attempt of a resumable stream whose engine stalls, and learns the usual latencies of engines. A pause that
 * is longer than usual ends the attempt as soon as another engine has a free slot, a pause of the maximum length in
 * any case. Limits and observed latencies are those of an engine of usual speed.
 */
export class RelayStallDetector {
  /** Whether the engine had a free slot when the request was sent. */
  private hadFreeSlot = false;
  private hasData = false;
  private engine: EngineIncarnation | undefined;
  /** Chunks with complete events. */
  private eventChunks = 0;
  private lastEventAt: MonotonicMs = 0;
  /** When the request was sent or data last arrived. */
  private lastDataAt: MonotonicMs = 0;
  private hasStalled = false;
  /** Whether the caller did not read fast enough, so that the next gap says nothing of the engine. */
  private isCallerSlow = false;
  /** Whether reading was paused, so that the arrival of the next data says nothing of the engine. */
  private wasPaused = false;
  private timeout: Timeout | undefined;
  /** Duration of that timeout and the limit that its check applies, in milliseconds. */
  private timeoutMs = 0;
  private timeoutMaxMs = 0;

  /**
   * @param options dependencies on the request
   */
  constructor(private readonly options: RelayStallDetectorOptions) {}

  /** Whether the attempt was ended because the engine stalled. */
  get isStalled(): boolean {
    return this.hasStalled;
  }

  /** Whether the attempt was ended while it waited for a slot: the engine was full and had sent nothing. */
  get stalledInQueue(): boolean {
    return this.hasStalled && !this.hasData && !this.hadFreeSlot;
  }

  /**
   * Starts to watch an attempt whose request was just sent.
   *
   * @param hadFreeSlot whether the engine had a free slot
   * @param engine the engine; left out if its speed does not matter
   */
  start(hadFreeSlot: boolean, engine?: EngineIncarnation): void {
    this.engine = engine;
    this.eventChunks = 0;
    this.hadFreeSlot = hadFreeSlot;
    this.hasData = false;
    this.hasStalled = false;
    this.isCallerSlow = false;
    this.wasPaused = false;
    this.lastDataAt = this.options.clock.monotonicMs();
    this.watch(this.options.latencies.firstEvent, MAX_FIRST_EVENT_STALL_MS);
  }

  /** Pauses watching while this side doesn't read from the engine. */
  pause(): void {
    this.cancelCheck();
  }

  /** Continues to watch an attempt that has brought no data yet. */
  resume(): void {
    this.wasPaused = true;
    this.lastDataAt = this.options.clock.monotonicMs();
    this.watch(this.options.latencies.firstEvent, MAX_FIRST_EVENT_STALL_MS);
  }

  /**
   * Records that data of a stream arrived.
   *
   * @param events number of events that are complete now
   */
  noteData(events = 1): void {
    const {clock, latencies} = this.options;
    const now = clock.monotonicMs();
    if (!this.wasPaused) {
      this.observeArrival(now);
      this.observeSpeed(events, now);
    }
    this.wasPaused = false;
    this.hasData = true;
    this.lastDataAt = now;
    this.watch(latencies.gap, MAX_STREAM_STALL_MS);
  }

  /** Records that reading from the engine pauses until the caller has read what is held for it. */
  noteBackpressure(): void {
    this.isCallerSlow = true;
  }

  /** Stops watching. */
  stop(): void {
    this.cancelCheck();
  }

  /** Speed of the engine; 1 while it is unknown. */
  private get speed(): number {
    const {engine} = this;
    return engine === undefined ? 1 : (this.options.fleetLoad?.speedOf(engine.id) ?? 1);
  }

  private observeArrival(now: MonotonicMs): void {
    const {latencies} = this.options;
    if (this.hasData) {
      latencies.gap.observe((now - this.lastDataAt) * this.speed);
    } else if (this.hadFreeSlot) {
      latencies.firstEvent.observe((now - this.lastDataAt) * this.speed);
    }
  }

  private observeSpeed(events: number, now: MonotonicMs): void {
    const {engine, eventChunks} = this;
    const {speeds} = this.options;
    if (engine === undefined || events === 0) {
      return;
    }
    if (eventChunks >= FIRST_CHUNKS && !this.isCallerSlow) {
      speeds?.addGap(engine, events, now - this.lastEventAt);
    } else if (eventChunks === 0 && this.hadFreeSlot) {
      speeds?.addFirst(engine, now - this.lastDataAt);
    }
    this.isCallerSlow = false;
    this.eventChunks++;
    this.lastEventAt = now;
  }

  private get idleMs(): number {
    return this.options.clock.monotonicMs() - this.lastDataAt;
  }

  private watch(limit: AdaptiveTimeout, maxMs: number): void {
    if (this.options.isResumable) {
      // Fast engines keep the usual limits: their lower bounds are for a busy VM.
      const limitMs = limit.timeoutMs * Math.max(1, slotTimeFactor(this.speed));
      this.scheduleCheck(Math.min(limitMs, maxMs), maxMs);
    }
  }

  private scheduleCheck(ms: number, maxMs: number): void {
    const timeoutMs = Math.ceil(ms / TIMEOUT_STEP_MS) * TIMEOUT_STEP_MS;
    if (this.timeout !== undefined && timeoutMs === this.timeoutMs && maxMs === this.timeoutMaxMs) {
      this.timeout.restart();
      return;
    }
    this.cancelCheck();
    this.timeoutMs = timeoutMs;
    this.timeoutMaxMs = maxMs;
    this.timeout = startTimeout(timeoutMs, () => this.check(maxMs));
  }

  private cancelCheck(): void {
    this.timeout?.cancel();
    this.timeout = undefined;
  }

  private check(maxMs: number): void {
    this.timeout = undefined;
    const remainingMs = maxMs - this.idleMs;
    if (remainingMs > 0 && !this.options.canMove()) {
      this.scheduleCheck(Math.min(RECHECK_INTERVAL_MS, remainingMs), maxMs);
      return;
    }
    if (this.eventChunks >= FIRST_CHUNKS) {
      // The gap is at least this long; without it, only the short gaps of a slow engine would be observed.
      this.observeSpeed(1, this.options.clock.monotonicMs());
    }
    this.hasStalled = true;
    this.options.abandon({hadRoom: this.hadFreeSlot, ms: Math.round(this.idleMs)});
  }
}
