/**
 * Rhythm of bursts of online demand.
 */
import type {MonotonicMs} from 'stallpaddle';

/** Interval of the kept samples, in milliseconds; short against bursts of seconds. */
const SAMPLE_INTERVAL_MS = 50;
/** Time for which samples are kept, in milliseconds: several periods of bursts some seconds apart. */
const MEMORY_MS = 30_000;
/** Interval at which level and height are computed again, in milliseconds. */
const LEVEL_INTERVAL_MS = 500;
/** Number of samples without which level and height are unknown: 2 s. */
const MIN_SAMPLES = 40;
/** Percentiles of the samples that stand for the demand between bursts and in bursts. */
const LOW_PERCENTILE = 0.1;
const HIGH_PERCENTILE = 0.95;
/** Height of a burst against the level, below which it isn't one. */
const MIN_RATIO = 1.3;
/**
 * Height above the level, in square roots of the height, below which it is noise: requests that arrive independently
 * vary by one square root, and these percentiles lie 2.9 of them apart.
 */
const MIN_ROOTS = 4;
/** Heights above the level, as fractions of the whole height, at which a burst begins and ends. */
const BEGIN_FRACTION = 0.6;
const END_FRACTION = 0.4;
/** Length below which a burst is taken for noise, in milliseconds. */
const MIN_LENGTH_MS = 200;
/** Number of lengths and periods that are kept. */
const MAX_KEPT = 4;
/** Number of observed lengths or periods without which there is no rhythm. */
const MIN_KEPT = 2;
/** Deviation from the median, as a fraction of it, up to which lengths and periods count as equal. */
const MAX_DEVIATION = 0.25;
/** Gap between observations after which a burst in progress has an unknown start, in milliseconds. */
const MAX_GAP_MS = 1_000;

/** Bursts as they were learned. */
export interface BurstEstimate {
  /** Online slots in use during bursts. */
  readonly height: number;
  /** Length of bursts, in milliseconds; null if they have no common length. */
  readonly lengthMs: null | number;
  /** Online slots in use between bursts. */
  readonly level: number;
  /** Time between the beginnings of bursts, in milliseconds; null if there is no rhythm. */
  readonly periodMs: null | number;
}

interface Levels {
  readonly height: number;
  readonly level: number;
}

/** Median of values that are all about equal; null without enough of them, or if one deviates too far. */
function commonValue(values: readonly number[]): null | number {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)];
  if (median === undefined || sorted.length < MIN_KEPT) {
    return null;
  }
  const isCommon = sorted.every((value) => Math.abs(value - median) <= median * MAX_DEVIATION);
  return isCommon ? median : null;
}

/** Levels of demand in and between bursts; undefined if there are no bursts. */
function levelsOf(values: readonly number[]): Levels | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  const level = sorted[Math.floor(sorted.length * LOW_PERCENTILE)] ?? 0;
  const height = sorted[Math.floor(sorted.length * HIGH_PERCENTILE)] ?? 0;
  const isBurst = height >= level * MIN_RATIO && height - level >= MIN_ROOTS * Math.sqrt(height);
  return isBurst && sorted.length >= MIN_SAMPLES ? {height, level} : undefined;
}

/** Learns level, height, length and period of bursts from a series of observations. */
export class CapacityBursts {
  /** Beginning of the burst in progress; undefined between bursts, null if it was not observed. */
  private beganAt: MonotonicMs | null | undefined = null;
  private lastAt: MonotonicMs = -Infinity;
  /** Beginning of the last burst whose beginning was observed. */
  private lastBeganAt: MonotonicMs | undefined;
  private lengths: readonly number[] = [];
  private levels: Levels | undefined;
  private levelsAt: MonotonicMs = -Infinity;
  private periods: readonly number[] = [];
  private samples: {readonly at: MonotonicMs; readonly value: number}[] = [];

  /**
   * Adds an observation.
   *
   * @param at its time, not before that of the previous one
   * @param value online slots in use
   */
  observe(at: MonotonicMs, value: number): void {
    if (at - this.lastAt > MAX_GAP_MS) {
      this.beganAt = null;
      this.lastBeganAt = undefined;
    }
    this.lastAt = at;
    if (at - (this.samples.at(-1)?.at ?? -Infinity) >= SAMPLE_INTERVAL_MS) {
      this.samples.push({at, value});
    }
    if (at - this.levelsAt >= LEVEL_INTERVAL_MS) {
      this.levelsAt = at;
      this.samples = this.samples.filter((sample) => sample.at > at - MEMORY_MS);
      this.levels = levelsOf(this.samples.map((sample) => sample.value));
    }
    this.track(at, value);
  }

  /** The learned bursts; null while there are none. */
  get estimate(): BurstEstimate | null {
    return this.levels === undefined
      ? null
      : {
          ...this.levels,
          lengthMs: commonValue(this.lengths),
          periodMs: commonValue(this.periods),
        };
  }

  /**
   * Time until the burst in progress ends, in milliseconds; 0 while it is overdue, null between bursts or if its end
   * can't be told.
   *
   * @param now the current time
   */
  burstEndsInMs(now: MonotonicMs): null | number {
    const lengthMs = this.estimate?.lengthMs ?? null;
    if (this.beganAt === undefined || this.beganAt === null || lengthMs === null) {
      return null;
    }
    return remainingMs(this.beganAt + lengthMs - now, lengthMs);
  }

  /**
   * Time until the next burst begins, in milliseconds; 0 while it is overdue, null if it can't be told.
   *
   * @param now the current time
   */
  nextBurstInMs(now: MonotonicMs): null | number {
    const periodMs = this.estimate?.periodMs ?? null;
    if (this.lastBeganAt === undefined || periodMs === null) {
      return null;
    }
    return remainingMs(this.lastBeganAt + periodMs - now, periodMs);
  }

  /** Follows the beginnings and ends of bursts. */
  private track(at: MonotonicMs, value: number): void {
    if (this.levels === undefined) {
      this.beganAt = null;
      return;
    }
    const {height, level} = this.levels;
    const fraction = (value - level) / (height - level);
    if (this.beganAt === undefined && fraction >= BEGIN_FRACTION) {
      this.beganAt = at;
    } else if (this.beganAt !== undefined && fraction < END_FRACTION) {
      this.noteEnd(at);
    }
  }

  private noteEnd(at: MonotonicMs): void {
    const {beganAt, lastBeganAt} = this;
    this.beganAt = undefined;
    if (beganAt === undefined || beganAt === null || at - beganAt < MIN_LENGTH_MS) {
      return;
    }
    this.lengths = [...this.lengths, at - beganAt].slice(-MAX_KEPT);
    if (lastBeganAt !== undefined) {
      this.periods = [...this.periods, beganAt - lastBeganAt].slice(-MAX_KEPT);
    }
    this.lastBeganAt = beganAt;
  }
}

/** Time that is left; null when it is so far overdue that the estimate no longer holds. */
function remainingMs(leftMs: number, expectedMs: number): null | number {
  return leftMs < -expectedMs * MAX_DEVIATION ? null : Math.max(0, leftMs);
}
