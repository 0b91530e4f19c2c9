/**
 * How long items take, learned from those that have run: so that slots go to items that can still be in
 * time before those that can't.
 */

/** Weight of the newest observation: the last dozen or so count. */
const NEWEST = 0.1;
/** Part added to an expected time, for items that are longer than most and for cuts. */
const CAUTION = 1.1;

function learned(before: number | undefined, seen: number): number {
  return before === undefined ? seen : before + NEWEST * (seen - before);
}

/** See the module's comment. */
export class JobsEstimates {
  private readonly events = new Map<string, number>();
  private msPerEvent: number | undefined;

  /**
   * Learns from an item that has ended.
   *
   * @param route its route
   * @param events events of its whole output
   */
  noteItem(route: string, events: number): void {
    this.events.set(route, learned(this.events.get(route), events));
  }

  /**
   * Learns from a run.
   *
   * @param events events that it brought
   * @param ms time from its start, in milliseconds
   */
  noteRun(events: number, ms: number): void {
    if (events > 0) {
      this.msPerEvent = learned(this.msPerEvent, ms / events);
    }
  }

  /**
   * Time that an item still needs, in milliseconds; 0 while nothing is known.
   *
   * @param route its route
   * @param events events that it has
   */
  remainingMs(route: string, events: number): number {
    const all = this.events.get(route) ?? 0;
    return Math.max(0, all - events) * (this.msPerEvent ?? 0) * CAUTION;
  }
}
