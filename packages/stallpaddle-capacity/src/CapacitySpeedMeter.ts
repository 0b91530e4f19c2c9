/**
 * Time for each event at one engine, estimated from sums that many senders report.
 */
import type {SpeedSample} from './CapacityTypes';

/** Minimum time that a window covers, in milliseconds. */
const WINDOW_MS = 100;
/** Interval at which VMs report speeds, in milliseconds. */
const REPORT_MS = 250;
/** Minimum number of gaps in a window: single gaps scatter, because one event holds several tokens. */
const WINDOW_EVENTS = 4;
/** Time that a window counts for at most, in milliseconds: during pauses nothing is observed. */
const MAX_WINDOW_MS = 500;
/** Age at which an open window that could not be filled is discarded, in milliseconds. */
const MAX_OPEN_MS = 2_000;
/** Time constant of the weights, in milliseconds of observations. */
const TIME_CONSTANT_MS = 1_000;
/** Windows that are kept; the weight of older ones is below 0.05. */
const MAX_WINDOWS = 32;
/**
 * Quantile of the windows that is the estimate. With the median, slow moments of 0.15 to 0.6 s gave a wrong class in
 * 4.3 % of the time, with this quantile in 0.1 %; a lasting change takes 1.6 s instead of 0.7 s to show.
 */
const QUANTILE = 0.2;
/** Time of observations from which on the estimate is used, in milliseconds. */
const MIN_OBSERVED_MS = 500;

/** Sums over a short time. */
export interface SpeedWindow {
  readonly endedAt: number;
  readonly events: number;
  readonly msPerEvent: number;
  readonly startedAt: number;
}

interface WeightedValue {
  readonly value: number;
  readonly weight: number;
}

function weightedQuantile(values: readonly WeightedValue[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a.value - b.value);
  let left = sorted.reduce((sum, {weight}) => sum + weight, 0) * quantile;
  return sorted.find(({weight}) => (left -= weight) <= 0)?.value ?? sorted.at(-1)!.value;
}

function observedMs({endedAt, startedAt}: SpeedWindow): number {
  return Math.min(MAX_WINDOW_MS, endedAt - startedAt);
}

/** Milliseconds for each event; undefined while too little was observed. */
function estimateOf(windows: readonly SpeedWindow[]): number | undefined {
  let ageMs = 0;
  const values = windows.map((window) => {
    const weight = observedMs(window) * Math.exp(-ageMs / TIME_CONSTANT_MS);
    ageMs += observedMs(window);
    return {value: window.msPerEvent, weight};
  });
  return ageMs < MIN_OBSERVED_MS ? undefined : weightedQuantile(values, QUANTILE);
}

/**
 * Estimates the milliseconds for each event as a low quantile of short windows, weighted by age. Slow moments only make
 * events slower, so the quickest windows tell the lasting speed; a mean would follow each slow moment.
 */
export class CapacitySpeedMeter {
  /** Estimate from the windows; null until it is computed. */
  private estimate: null | number | undefined;
  private events = 0;
  private lastAt = -Infinity;
  private ms = 0;
  private startedAt = -Infinity;
  private windows: readonly SpeedWindow[] = [];

  /** Estimated milliseconds for each event; undefined while too little was observed. */
  get msPerEvent(): number | undefined {
    if (this.estimate === null) {
      this.estimate = estimateOf(this.windows);
    }
    return this.estimate;
  }

  /** Time of the latest observation. */
  get observedAt(): number {
    return this.lastAt;
  }

  /** Gaps in the windows that the estimate is based on. */
  get samples(): number {
    return this.windows.reduce((sum, {events}) => sum + events, 0);
  }

  /**
   * Adds observations.
   *
   * @param sample the observations
   * @param now current time
   * @returns the window that is now complete, if any
   */
  add({events, ms}: Pick<SpeedSample, 'events' | 'ms'>, now: number): SpeedWindow | undefined {
    if (!(events > 0 && ms > 0)) {
      return undefined;
    }
    if (now - this.startedAt > MAX_OPEN_MS) {
      // A sample says when it was reported, not when it was observed: at the earliest one report earlier.
      this.startedAt = now - Math.min(ms, REPORT_MS);
      this.events = 0;
      this.ms = 0;
    }
    this.events += events;
    this.ms += ms;
    this.lastAt = now;
    return this.events >= WINDOW_EVENTS && now - this.startedAt >= WINDOW_MS
      ? this.closeWindow(now)
      : undefined;
  }

  /**
   * Forgets the windows that ended before a time.
   *
   * @param at the time
   */
  forgetBefore(at: number): void {
    this.windows = this.windows.filter(({endedAt}) => endedAt >= at);
    this.estimate = null;
  }

  private closeWindow(now: number): SpeedWindow {
    const {events, ms, startedAt} = this;
    const window = {endedAt: now, events, msPerEvent: ms / events, startedAt};
    this.windows = [window, ...this.windows.slice(0, MAX_WINDOWS - 1)];
    this.startedAt = now;
    this.events = 0;
    this.ms = 0;
    this.estimate = null;
    return window;
  }
}
