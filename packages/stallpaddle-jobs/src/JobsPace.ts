/**
 * Pace of the dispatcher's work under load: how often entry VMs report to it, how often it plans, and how many items it starts.
 * A dispatcher that is out of processor time reads events late, loses its lease, and answers with old counts.
 */
import type {Clock, MonotonicMs} from 'stallpaddle';

/** Shortest time between two reports of an entry VM, in milliseconds: about a round trip; changes in between are combined. */
export const MIN_REPORT_SPACING_MS = 5;
/** The same while the dispatcher is out of processor time; below the objectives of online requests. */
export const MAX_REPORT_SPACING_MS = 200;

/**
 * Minimum time between two passes of the dispatcher, in milliseconds. A pass over 360 runs and some hundred waiting items
 * takes about a millisecond, and 165 entry VMs sent 560 reports a second; preemption for online requests doesn't wait
 * for a pass.
 */
export const MIN_PASS_INTERVAL_MS = 10;
/** The same while the dispatcher is out of processor time; short against the run of an item. */
export const MAX_PASS_INTERVAL_MS = 50;

/**
 * Maximum number of items starting at once, including those whose bodies are still being read. Each start takes about a
 * millisecond on a VM of 0.8 cores; starting 180 items right after an election delayed heartbeats by 167 ms.
 */
export const MAX_STARTS_PER_PASS = 16;
/** The same while the dispatcher is out of processor time; never 0, as its load may be that of others. */
export const MIN_STARTS_PER_PASS = 1;

/**
 * Mean delay of passes above which the pace slows down, in milliseconds. A busy event loop alone is no sign: it handles more input
 * in one turn as its load grows.
 */
const FIRST_DELAY_MS = 10;
/** Mean delay at which the pace is slowest, in milliseconds: a small part of a lease. */
const LAST_DELAY_MS = 50;
/** Weight of the latest delay in the moving average. */
const NEW_WEIGHT = 0.2;
/** Time after which a delay says nothing of the present load, in milliseconds. */
const DELAY_TTL_MS = 1_000;

/** Fraction of the way from the usual pace to the slowest one. */
function slowdown(delayMs: number): number {
  return Math.min(1, Math.max(0, (delayMs - FIRST_DELAY_MS) / (LAST_DELAY_MS - FIRST_DELAY_MS)));
}

/**
 * Time that entry VMs leave between two of their reports, in milliseconds.
 *
 * @param delayMs mean delay of the dispatcher's passes, in milliseconds
 */
export function reportSpacingMs(delayMs: number): number {
  const range = MAX_REPORT_SPACING_MS - MIN_REPORT_SPACING_MS;
  return Math.round(MIN_REPORT_SPACING_MS + slowdown(delayMs) * range);
}

/**
 * Time between two passes of the dispatcher, in milliseconds.
 *
 * @param delayMs mean delay of the dispatcher's passes, in milliseconds
 */
export function passIntervalMs(delayMs: number): number {
  const range = MAX_PASS_INTERVAL_MS - MIN_PASS_INTERVAL_MS;
  return Math.round(MIN_PASS_INTERVAL_MS + slowdown(delayMs) * range);
}

/**
 * Number of items that may start in one pass. While online requests burst, most items that start give way before they bring
 * anything, and each start takes processor time.
 *
 * @param delayMs mean delay of the dispatcher's passes, in milliseconds
 */
export function startsPerPass(delayMs: number): number {
  const range = MAX_STARTS_PER_PASS - MIN_STARTS_PER_PASS;
  return Math.round(MAX_STARTS_PER_PASS - slowdown(delayMs) * range);
}

/** Follows how late the event loop runs the dispatcher's passes, without a timer of its own. */
export class JobsPace {
  private average = 0;
  private notedAt: MonotonicMs = -Infinity;

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Pick<Clock, 'monotonicMs'>) {}

  /**
   * Records the delay of a pass.
   *
   * @param delayMs time from when it was due to its begin, in milliseconds
   */
  noteDelay(delayMs: number): void {
    const before = this.delayMs;
    this.average = before + (Math.max(0, delayMs) - before) * NEW_WEIGHT;
    this.notedAt = this.clock.monotonicMs();
  }

  /** Mean delay of the latest passes, in milliseconds; 0 while there are none. */
  get delayMs(): number {
    return this.clock.monotonicMs() - this.notedAt < DELAY_TTL_MS ? this.average : 0;
  }

  /** Time that entry VMs leave between two of their reports, in milliseconds. */
  get reportSpacingMs(): number {
    return reportSpacingMs(this.delayMs);
  }

  /** Number of items that may start in one pass. */
  get startsPerPass(): number {
    return startsPerPass(this.delayMs);
  }

  /** Time between two passes, in milliseconds. */
  get passIntervalMs(): number {
    return passIntervalMs(this.delayMs);
  }
}
