/**
 * A limit on how long something may take, learned from how long it takes: mean plus four times the mean deviation,
 * as TCP learns its retransmission timeout (RFC 6298).
 */

/** Weight of the newest observation in the mean (RFC 6298). */
const MEAN_GAIN = 1 / 8;
/** Weight of the newest deviation from the mean (RFC 6298). */
const DEVIATION_GAIN = 1 / 4;
/** Deviations above the mean at which the limit lies (RFC 6298). */
const DEVIATIONS = 4;

/** Bounds of a limit, in milliseconds. */
export interface TimeoutBounds {
  readonly minMs: number;
  readonly maxMs: number;
  /** Mean while nothing was observed. */
  readonly initialMeanMs: number;
}

/** See the module's comment. */
export class AdaptiveTimeout {
  private deviation = 0;
  private mean: number | undefined;

  /**
   * @param bounds what the limit never leaves; its upper bound holds until something was observed
   */
  constructor(private readonly bounds: TimeoutBounds) {}

  /** Longest time that is usual, in milliseconds. */
  get timeoutMs(): number {
    const {maxMs, minMs} = this.bounds;
    if (this.mean === undefined) {
      return maxMs;
    }
    return Math.min(maxMs, Math.max(minMs, this.mean + DEVIATIONS * this.deviation));
  }

  /** Mean time, in milliseconds. */
  get meanMs(): number {
    return this.mean ?? this.bounds.initialMeanMs;
  }

  /**
   * Learns from one observation.
   *
   * @param ms how long it took, in milliseconds
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
