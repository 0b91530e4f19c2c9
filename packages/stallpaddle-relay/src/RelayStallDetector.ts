/**
 * Listens to the engine of one attempt: learns how fast engines are, and ends an attempt whose engine says nothing.
 * Silence that is longer than usual ends it as soon as another engine has room for the request; silence that no
 * engine should keep ends it in any case.
 */
import type {Clock, LearnedLimit, LogFields, MonotonicMs} from 'stallpaddle';

import {registerTimeout} from 'stallpaddle';

import type {RelayLatencies} from './RelayLatencies';

import {LOOK_AGAIN_MS, SILENT_FIRST_MS, SILENT_STREAM_MS} from './RelayConstants';

/** What it needs of its request. */
export interface RelayStallDetectorOptions {
  readonly clock: Clock;
  /** Ends the attempt; the fields say why, for the log. */
  readonly giveUp: (fields: LogFields) => void;
  /** Whether the stream may go on at another engine at all. */
  readonly isResumable: boolean;
  /** Whether another engine would begin at once. */
  readonly mayMove: () => boolean;
  readonly pace: RelayLatencies;
}

/** See the module's comment. */
export class RelayStallDetector {
  /** Whether the engine had a free slot when the request was sent. */
  private hadRoom = false;
  private isHeard = false;
  /** When the request was sent, or its engine last heard. */
  private lastAt: MonotonicMs = 0;
  private left = false;
  private endWait: () => void = () => {};

  /**
   * @param options what it needs of its request
   */
  constructor(private readonly options: RelayStallDetectorOptions) {}

  /** Whether the attempt was ended for its engine's silence. */
  get hasLeft(): boolean {
    return this.left;
  }

  /** Whether the engine was left only because it had yet to begin and another one had room. */
  get leftQueue(): boolean {
    return this.left && !this.isHeard && !this.hadRoom;
  }

  /**
   * Begins to listen: a request was sent.
   *
   * @param hadRoom whether its engine has a free slot
   */
  start(hadRoom: boolean): void {
    this.hadRoom = hadRoom;
    this.isHeard = false;
    this.left = false;
    this.lastAt = this.options.clock.monotonicMs();
    this.wait(this.options.pace.firstEvent, SILENT_FIRST_MS);
  }

  /** Notes that a part of a stream has come. */
  hear(): void {
    const {clock, pace} = this.options;
    const now = clock.monotonicMs();
    if (this.isHeard) {
      pace.gap.note(now - this.lastAt);
    } else if (this.hadRoom) {
      pace.firstEvent.note(now - this.lastAt);
    }
    this.isHeard = true;
    this.lastAt = now;
    this.wait(pace.gap, SILENT_STREAM_MS);
  }

  /** Listens no more. */
  stop(): void {
    this.endWait();
  }

  private get silentMs(): number {
    return this.options.clock.monotonicMs() - this.lastAt;
  }

  private wait(usual: LearnedLimit, worstMs: number): void {
    if (this.options.isResumable) {
      this.lookAfter(Math.min(usual.limitMs, worstMs), worstMs);
    }
  }

  private lookAfter(ms: number, worstMs: number): void {
    this.endWait();
    this.endWait = registerTimeout(ms, () => this.look(worstMs));
  }

  private look(worstMs: number): void {
    const leftMs = worstMs - this.silentMs;
    if (leftMs > 0 && !this.options.mayMove()) {
      this.lookAfter(Math.min(LOOK_AGAIN_MS, leftMs), worstMs);
      return;
    }
    this.left = true;
    this.options.giveUp({hadRoom: this.hadRoom, ms: Math.round(this.silentMs)});
  }
}
