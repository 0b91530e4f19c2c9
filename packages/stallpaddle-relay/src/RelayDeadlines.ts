/**
 * How long callers of each route usually wait in all. One that says less has spent the rest on earlier
 * attempts, so its answer is already that late.
 */
import type {FleetRoute} from 'stallpaddle-fleet';

/** Deadlines that are remembered: routes of one configuration, and some that were removed. */
const MOST_ROUTES = 4_096;

/**
 * Requests of a route from which on the longest deadline seen is the usual one. Right after a start most callers come for
 * the second time; until first attempts are seen, too, the longest time that the operator allows stands for theirs.
 */
const ENOUGH_REQUESTS = 16;

/** What was seen of a route's callers. */
interface SeenDeadlines {
  readonly longestMs: number;
  readonly requests: number;
}

const NONE: SeenDeadlines = {longestMs: 0, requests: 0};

/** See the module's comment. */
export class RelayDeadlines {
  private readonly seen = new Map<string, SeenDeadlines>();

  /**
   * Time that a caller has spent before this attempt, in milliseconds.
   *
   * @param route the route
   * @param deadlineMs time that the caller still waits; null when it doesn't say
   */
  spentMs({name, timeoutMs}: FleetRoute, deadlineMs: number | null): number {
    if (deadlineMs === null) {
      return 0;
    }
    const before = this.seen.get(name) ?? NONE;
    const longestMs = Math.max(before.longestMs, deadlineMs);
    const requests = before.requests + 1;
    if (this.seen.size >= MOST_ROUTES) {
      this.seen.clear();
    }
    this.seen.set(name, {longestMs, requests});
    const usual = requests < ENOUGH_REQUESTS ? Math.max(longestMs, timeoutMs) : longestMs;
    return usual - deadlineMs;
  }
}
