/**
 * Slots that this VM's requests have freed.
 */
import type {Clock, MonotonicMs} from 'stallpaddle';

const SECOND_MS = 1_000;

/** Mean run time before any request has ended, in milliseconds. */
const INITIAL_RUN_MS = 500;

/** Maximum number of slots counted in a second. */
const MAX_COUNTED = 2_048;

/** Weight of the newest run in the moving average (as for round trips in RFC 6298). */
const MEAN_GAIN = 1 / 8;

/** Counts the slots freed within the last second, and learns how long requests run. */
export class RelayFreedSlots {
  private freedAt: MonotonicMs[] = [];
  private meanMs = INITIAL_RUN_MS;

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /** Mean time that a request runs, in milliseconds. */
  get meanRunMs(): number {
    return this.meanMs;
  }

  /** Slots freed within the last second. */
  get perSecond(): number {
    const since = this.clock.monotonicMs() - SECOND_MS;
    const first = this.freedAt.findIndex((at) => at > since);
    this.freedAt = first < 0 ? [] : this.freedAt.slice(first);
    return this.freedAt.length;
  }

  /**
   * Records a request that no longer occupies a slot.
   *
   * @param runMs time for which it ran, in milliseconds
   */
  record(runMs: number): void {
    this.meanMs += MEAN_GAIN * (runMs - this.meanMs);
    this.freedAt.push(this.clock.monotonicMs());
    if (this.freedAt.length > MAX_COUNTED) {
      this.freedAt.shift();
    }
  }
}
