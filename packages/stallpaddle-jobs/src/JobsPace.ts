/**
 * Pace of the dispatcher's work under load: how often entry VMs report to it, and how often it plans. A dispatcher without free
 * processor time reads events late, loses its lease, and answers with old counts.
 */
import type {Clock, MonotonicMs} from 'stallpaddle';

/** Shortest time between two reports of an entry VM, in milliseconds: about a round trip; changes in between are combined. */
export const MIN_REPORT_SPACING_MS = 5;
/** The same while the dispatcher has no free processor time; below the objectives of online requests. */
export const MAX_REPORT_SPACING_MS = 200;

/**
 * Minimum time between two passes of the dispatcher, in milliseconds. A pass over 360 runs and some hundred waiting items
 * takes about a millisecond, and 165 entry VMs sent 560 reports a second; preemption for online requests doesn't wait
 * for a pass.
 */
export const MIN_PASS_INTERVAL_MS = 10;
/** The same while the dispatcher has no free processor time; short against the run of an item. */
export const MAX_PASS_INTERVAL_MS = 50;

/** Busy fraction of the event loop above which the pace slows down. */
const FIRST_BUSY = 0.6;
/** Busy fraction at which the pace is slowest. Below 1, as a process that shares its VM may get less than a core. */
const LAST_BUSY = 0.9;
/** Interval of the measurements, in milliseconds. */
const MEASURE_INTERVAL_MS = 100;
/** Weight of the latest measurement in the moving average. */
const NEW_WEIGHT = 0.5;

/** Fraction of the way from the usual pace to the slowest one. */
function slowdown(busy: number): number {
  return Math.min(1, Math.max(0, (busy - FIRST_BUSY) / (LAST_BUSY - FIRST_BUSY)));
}

/**
 * Time that entry VMs leave between two of their reports, in milliseconds.
 *
 * @param busy busy fraction of the dispatcher's event loop
 */
export function reportSpacingMs(busy: number): number {
  const range = MAX_REPORT_SPACING_MS - MIN_REPORT_SPACING_MS;
  return Math.round(MIN_REPORT_SPACING_MS + slowdown(busy) * range);
}

/**
 * Time between two passes of the dispatcher, in milliseconds.
 *
 * @param busy busy fraction of the dispatcher's event loop
 */
export function passIntervalMs(busy: number): number {
  const range = MAX_PASS_INTERVAL_MS - MIN_PASS_INTERVAL_MS;
  return Math.round(MIN_PASS_INTERVAL_MS + slowdown(busy) * range);
}

/** Measures the event loop while the dispatcher works, without a timer of its own. */
export class JobsPace {
  private average = 0;
  private measuredAt: MonotonicMs = -Infinity;

  /**
   * @param clock this process's clock
   * @param takeBusy busy fraction of the event loop since the last call
   */
  constructor(
    private readonly clock: Pick<Clock, 'monotonicMs'>,
    private readonly takeBusy: () => number,
  ) {}

  /** Busy fraction of the event loop, averaged over some hundred milliseconds. */
  get busy(): number {
    const now = this.clock.monotonicMs();
    if (now - this.measuredAt >= MEASURE_INTERVAL_MS) {
      this.measuredAt = now;
      this.average += (this.takeBusy() - this.average) * NEW_WEIGHT;
    }
    return this.average;
  }

  /** Time that entry VMs leave between two of their reports, in milliseconds. */
  get reportSpacingMs(): number {
    return reportSpacingMs(this.busy);
  }

  /** Time between two passes, in milliseconds. */
  get passIntervalMs(): number {
    return passIntervalMs(this.busy);
  }
}
