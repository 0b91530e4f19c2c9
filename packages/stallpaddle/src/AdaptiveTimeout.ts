/**
 * Timeout that adapts to observed durations.
 */

/** Weight of the newest observation in the smoothed mean (RFC 6298). */
const MEAN_GAIN = 1 / 8;
/** Weight of the newest deviation in the smoothed mean deviation (RFC 6298). */
const DEVIATION_GAIN = 1 / 4;
/** Number of mean deviations that the timeout exceeds the mean by (RFC 6298). */
const DEVIATIONS = 4;

/** Bounds and initial mean of a timeout, in milliseconds. */
export interface TimeoutBounds {
  readonly minMs: number;
  readonly maxMs: number;
  /** Mean until the first observation. */
  readonly initialMeanMs: number;
}

/** Computes a timeout like TCP's retransmission timeout (RFC 6298): mean plus four times the mean deviation. */
export class AdaptiveTimeout {
  private deviation = 0;
  private mean: number | undefined;

  /**
   * @param bounds bounds of the timeout; the upper bound applies until the first observation
   */
  constructor(private readonly bounds: TimeoutBounds) {}

  /** Current timeout, in milliseconds. */
  get timeoutMs(): number {
    const {maxMs, minMs} = this.bounds;
    if (this.mean === undefined) {
      return maxMs;
    }
    return Math.min(maxMs, Math.max(minMs, this.mean + DEVIATIONS * this.deviation));
  }

  /** Smoothed mean duration, in milliseconds. */
  get meanMs(): number {
    return this.mean ?? this.bounds.initialMeanMs;
  }

  /**
   * Updates the timeout with one observation.
   *
   * @param ms observed duration, in milliseconds
   */
  observe(ms: number): void {
    if (this.mean === undefined) {
      this.mean = ms;
      this.deviation = ms / 2;
      return;
    }
    this.deviation += DEVIATION_GAIN * (Math.abs(ms - this.mean) - this.deviation);
    this.mean += MEAN_GAIN * (ms - this.mean);
  }
}
