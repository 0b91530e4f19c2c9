/**
 * A clock that leaves out the time for which this process wanted a core and had none. All parts of a test that run in one
 * process share one event loop, so beside many busy processes they are all slow together; what they do themselves counts
 * in full. Beside 56 busy processes on 8 cores a loop was held up for 360 to 640 of 400 ms.
 */
import {type Clock, delay, type MonotonicMs, systemClock} from 'stallpaddle';

/** Time between looks, in milliseconds. */
const LOOK_MS = 2;
/** Most that passes between two looks of a loop that is not held up, in milliseconds. */
const MOST_LOOK_MS = 2 * LOOK_MS;
/** Time for which hold-ups are kept, in milliseconds. */
const KEPT_MS = 10_000;

/** See the module's comment. */
export class StarvationFreeClock implements Clock {
  private coreMs = 0;
  private leftOut: readonly {readonly at: number; readonly ms: number}[] = [];
  private lookedAt = performance.now();
  private ms = this.lookedAt;
  private readonly timer = setInterval(() => this.monotonicMs(), LOOK_MS);

  /**
   * Waits for some time of this clock.
   *
   * @param ms the time, in milliseconds
   */
  async delay(ms: number): Promise<void> {
    const until = this.monotonicMs() + ms;
    while (this.monotonicMs() < until) {
      await delay(LOOK_MS);
    }
  }

  /**
   * Time that was left out lately, in milliseconds.
   *
   * @param lastMs how far back, by the machine's clock, in milliseconds
   */
  excludedMs(lastMs: number): number {
    this.monotonicMs();
    const since = this.lookedAt - lastMs;
    return this.leftOut.reduce((sum, {at, ms}) => sum + (at > since ? ms : 0), 0);
  }

  monotonicMs(): MonotonicMs {
    const {system, user} = process.cpuUsage();
    const coreMs = (system + user) / 1_000;
    const now = performance.now();
    const passed = now - this.lookedAt;
    const counted = Math.min(passed, Math.max(MOST_LOOK_MS, coreMs - this.coreMs));
    this.ms += counted;
    this.coreMs = coreMs;
    this.lookedAt = now;
    if (passed > counted) {
      const since = now - KEPT_MS;
      this.leftOut = [
        ...this.leftOut.filter(({at}) => at > since),
        {at: now, ms: passed - counted},
      ];
    }
    return this.ms;
  }

  /** Ends the looks. */
  stop(): void {
    clearInterval(this.timer);
  }

  wallMs(): number {
    return systemClock.wallMs();
  }
}
