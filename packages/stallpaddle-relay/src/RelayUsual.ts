/**
 * How long callers of each route usually wait in all. One that says less has spent the rest on earlier
 * attempts, so its answer is already that late.
 */

/** Deadlines that are remembered: routes of one configuration, and some that were removed. */
const MOST_ROUTES = 4_096;

/** See the module's comment. */
export class RelayUsual {
  private readonly longest = new Map<string, number>();

  /**
   * Time that a caller has spent before this attempt, in milliseconds.
   *
   * @param route the route
   * @param deadlineMs time that the caller still waits; null when it doesn't say
   */
  spentMs(route: string, deadlineMs: number | null): number {
    if (deadlineMs === null) {
      return 0;
    }
    const usual = Math.max(this.longest.get(route) ?? 0, deadlineMs);
    if (this.longest.size >= MOST_ROUTES) {
      this.longest.clear();
    }
    this.longest.set(route, usual);
    return usual - deadlineMs;
  }
}
