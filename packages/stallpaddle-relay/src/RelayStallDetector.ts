/**
 * Detection of engines that stall during an attempt.
 */
import type {AdaptiveTimeout, Clock, LogFields, MonotonicMs} from 'stallpaddle';

import {registerTimeout} from 'stallpaddle';

import type {RelayLatencies} from './RelayLatencies';

import {MAX_FIRST_EVENT_STALL_MS, MAX_STREAM_STALL_MS, RECHECK_INTERVAL_MS} from './RelayConstants';

/** Dependencies on the request. */
export interface RelayStallDetectorOptions {
  /** Ends the attempt; the fields give the reason in the log. */
  readonly abandon: (fields: LogFields) => void;
  /** Whether another engine has a free slot for the request. */
  readonly canMove: () => boolean;
  readonly clock: Clock;
  /** Whether the stream can be resumed at another engine. */
  readonly isResumable: boolean;
  readonly latencies: RelayLatencies;
}

/**
 * Ends an attempt of a resumable stream whose engine stalls, and learns the usual latencies of engines. A pause that
 * is longer than usual ends the attempt as soon as another engine has a free slot, a pause of the maximum length in
 * any case.
 */
export class RelayStallDetector {
  /** Whether the engine had a free slot when the request was sent. */
  private hadFreeSlot = false;
  private hasData = false;
  /** When the request was sent or data last arrived. */
  private lastDataAt: MonotonicMs = 0;
  private hasStalled = false;
  private cancelCheck: () => void = () => {};

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
   */
  start(hadFreeSlot: boolean): void {
    this.hadFreeSlot = hadFreeSlot;
    this.hasData = false;
    this.hasStalled = false;
    this.lastDataAt = this.options.clock.monotonicMs();
    this.watch(this.options.latencies.firstEvent, MAX_FIRST_EVENT_STALL_MS);
  }

  /** Records that data of a stream arrived. */
  noteData(): void {
    const {clock, latencies} = this.options;
    const now = clock.monotonicMs();
    if (this.hasData) {
      latencies.gap.observe(now - this.lastDataAt);
    } else if (this.hadFreeSlot) {
      latencies.firstEvent.observe(now - this.lastDataAt);
    }
    this.hasData = true;
    this.lastDataAt = now;
    this.watch(latencies.gap, MAX_STREAM_STALL_MS);
  }

  /** Stops watching. */
  stop(): void {
    this.cancelCheck();
  }

  private get idleMs(): number {
    return this.options.clock.monotonicMs() - this.lastDataAt;
  }

  private watch(limit: AdaptiveTimeout, maxMs: number): void {
    if (this.options.isResumable) {
      this.scheduleCheck(Math.min(limit.timeoutMs, maxMs), maxMs);
    }
  }

  private scheduleCheck(ms: number, maxMs: number): void {
    this.cancelCheck();
    this.cancelCheck = registerTimeout(ms, () => this.check(maxMs));
  }

  private check(maxMs: number): void {
    const remainingMs = maxMs - this.idleMs;
    if (remainingMs > 0 && !this.options.canMove()) {
      this.scheduleCheck(Math.min(RECHECK_INTERVAL_MS, remainingMs), maxMs);
      return;
    }
    this.hasStalled = true;
    this.options.abandon({hadRoom: this.hadFreeSlot, ms: Math.round(this.idleMs)});
  }
}
