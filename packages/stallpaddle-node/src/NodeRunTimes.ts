/** How long requests of each route take. */
import type {MonotonicMs} from 'stallpaddle';

/** Length of the two periods whose longest requests count, in milliseconds. */
const PERIOD_MS = 60_000;

/** Number of requests before which too little is known of a route. */
const MIN_REQUESTS = 16;

/** Later requests may take longer than those that were observed. */
const MARGIN_FACTOR = 1.25;

/** Bounds memory: the routes of one configuration and some removed ones. */
const MAX_ROUTES = 4_096;

interface ObservedTimes {
  readonly begunAt: MonotonicMs;
  readonly formerLongestMs: number;
  readonly longestMs: number;
  readonly requests: number;
}

/** Learns the longest times of the latest requests of each route. A process that stops accepts only what it can finish. */
export class NodeRunTimes {
  private readonly observed = new Map<string, ObservedTimes>();

  /**
   * Records how long a request took.
   *
   * @param route name of the route
   * @param ms time from its arrival to its end, in milliseconds
   * @param now the current time
   */
  note(route: string, ms: number, now: MonotonicMs): void {
    const before = this.observed.get(route) ?? {
      begunAt: now,
      formerLongestMs: 0,
      longestMs: 0,
      requests: 0,
    };
    const isOver = now - before.begunAt >= PERIOD_MS;
    if (this.observed.size >= MAX_ROUTES) {
      this.observed.clear();
    }
    this.observed.set(route, {
      begunAt: isOver ? now : before.begunAt,
      formerLongestMs: isOver ? before.longestMs : before.formerLongestMs,
      longestMs: isOver ? ms : Math.max(before.longestMs, ms),
      requests: before.requests + 1,
    });
  }

  /**
   * Longest time that a request is expected to take, in milliseconds; undefined while too little is known.
   *
   * @param route name of the route
   * @param limitMs time after which the request ends in any case, in milliseconds
   */
  longestMs(route: string, limitMs: number): number | undefined {
    const known = this.observed.get(route);
    if (known === undefined || known.requests < MIN_REQUESTS) {
      return undefined;
    }
    return Math.min(limitMs, MARGIN_FACTOR * Math.max(known.formerLongestMs, known.longestMs));
  }
}
