/** A clock for tests with short timeouts on busy machines. */
import {type Clock, delay, type MonotonicMs, systemClock} from 'stallpaddle';

/** Time between two samples, in milliseconds. */
const SAMPLE_MS = 2;
/** Longest time between two samples that always counts in full, in milliseconds. */
const MAX_SAMPLE_MS = 2 * SAMPLE_MS;
/** Time for which exclusions are remembered, in milliseconds. */
const RETENTION_MS = 10_000;

/**
 * Excludes the time in which this process waited for a CPU core. Parts of a test that share an event loop are all delayed
 * together by other busy processes; CPU time that the process itself uses counts in full.
 */
export class StarvationFreeClock implements Clock {
  private coreMs = 0;
  private exclusions: readonly {readonly at: number; readonly ms: number}[] = [];
  private sampledAt = performance.now();
  private ms = this.sampledAt;
  private readonly timer = setInterval(() => this.monotonicMs(), SAMPLE_MS);

  /**
   * Waits for a time by this clock.
   *
   * @param ms time to wait, in milliseconds
   */
  async delay(ms: number): Promise<void> {
    const until = this.monotonicMs() + ms;
    while (this.monotonicMs() < until) {
      await delay(SAMPLE_MS);
    }
  }

  /**
   * Returns the time that was excluded recently, in milliseconds.
   *
   * @param lastMs how far to look back, by the system clock, in milliseconds
   */
  excludedMs(lastMs: number): number {
    this.monotonicMs();
    const since = this.sampledAt - lastMs;
    return this.exclusions.reduce((sum, {at, ms}) => sum + (at > since ? ms : 0), 0);
  }

  monotonicMs(): MonotonicMs {
    const {system, user} = process.cpuUsage();
    const coreMs = (system + user) / 1_000;
    const now = performance.now();
    const elapsed = now - this.sampledAt;
    const counted = Math.min(elapsed, Math.max(MAX_SAMPLE_MS, coreMs - this.coreMs));
    this.ms += counted;
    this.coreMs = coreMs;
    this.sampledAt = now;
    if (elapsed > counted) {
      const since = now - RETENTION_MS;
      this.exclusions = [
        ...this.exclusions.filter(({at}) => at > since),
        {at: now, ms: elapsed - counted},
      ];
    }
    return this.ms;
  }

  /** Stops sampling. */
  stop(): void {
    clearInterval(this.timer);
  }

  wallMs(): number {
    return systemClock.wallMs();
  }
}
