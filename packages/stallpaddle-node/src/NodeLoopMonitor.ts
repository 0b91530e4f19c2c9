/** Measurement of the event loop. */
import {
  type EventLoopUtilization,
  type IntervalHistogram,
  monitorEventLoopDelay,
  performance,
} from 'node:perf_hooks';

/** Interval of the delay monitor, in milliseconds; each interval wakes the process once. */
const MONITOR_INTERVAL_MS = 100;
const NS_PER_MS = 1_000_000;

/** State of the event loop since the last measurement. */
export interface LoopMeasurement {
  /** Fraction of the time in which it was busy. */
  readonly busy: number;
  /** Mean delay, in milliseconds. */
  readonly delayMs: number;
}

/** Measures the event loop with one timer, while it is started. */
export class NodeLoopMonitor {
  private before: EventLoopUtilization | undefined;
  private monitor: IntervalHistogram | undefined;

  /** Whether it measures. */
  get isStarted(): boolean {
    return this.monitor !== undefined;
  }

  /** Starts measuring. */
  start(): void {
    this.monitor = monitorEventLoopDelay({resolution: MONITOR_INTERVAL_MS});
    this.monitor.enable();
    this.before = performance.eventLoopUtilization();
  }

  /** Measures since the start or the last call. */
  take(): LoopMeasurement {
    const {before, monitor} = this;
    if (before === undefined || monitor === undefined) {
      return {busy: 0, delayMs: 0};
    }
    const now = performance.eventLoopUtilization();
    this.before = now;
    // The monitor records the time between two of its wake-ups; without any, the mean is not a number.
    const delayMs = Math.max(0, monitor.mean / NS_PER_MS - MONITOR_INTERVAL_MS) || 0;
    monitor.reset();
    return {busy: performance.eventLoopUtilization(now, before).utilization, delayMs};
  }

  /** Stops measuring. */
  stop(): void {
    this.monitor?.disable();
    this.monitor = undefined;
  }
}
