/**
 * Usual caller deadlines of each route.
 */
import type {FleetRoute} from 'stallpaddle-fleet';

/** Maximum number of routes that are tracked: those of one configuration and some removed ones. */
const MAX_ROUTES = 4_096;

/**
 * Number of requests after which the longest observed deadline is taken for the usual one. Right after a start most
 * requests are retries with shorter deadlines, so until then the route's time limit is used if it is longer.
 */
const MIN_REQUESTS = 16;

/** Deadlines observed on one route. */
interface ObservedDeadlines {
  readonly longestMs: number;
  readonly requests: number;
}

const NONE: ObservedDeadlines = {longestMs: 0, requests: 0};

/**
 * Learns the usual deadline that callers of each route send. A caller that sends a shorter one has spent the
 * difference on earlier attempts.
 */
export class RelayDeadlines {
  private readonly observed = new Map<string, ObservedDeadlines>();

  /**
   * Records a caller's deadline and estimates the time that the caller has spent on earlier attempts, in
   * milliseconds.
   *
   * @param route the route
   * @param deadlineMs the caller's deadline in milliseconds; null when it sends none
   */
  spentMs({name, timeoutMs}: FleetRoute, deadlineMs: number | null): number {
    if (deadlineMs === null) {
      return 0;
    }
    const before = this.observed.get(name) ?? NONE;
    const longestMs = Math.max(before.longestMs, deadlineMs);
    const requests = before.requests + 1;
    if (this.observed.size >= MAX_ROUTES) {
      this.observed.clear();
    }
    this.observed.set(name, {longestMs, requests});
    const usualMs = requests < MIN_REQUESTS ? Math.max(longestMs, timeoutMs) : longestMs;
    return usualMs - deadlineMs;
  }
}
