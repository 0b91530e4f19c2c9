/** Estimates of item run times. */

/** Weight of the newest observation in a moving average. */
const SMOOTHING_FACTOR = 0.1;
/** Safety factor on expected times, for items longer than the average and for preemptions. */
const SAFETY_FACTOR = 1.1;

function movingAverage(average: number | undefined, value: number): number {
  return average === undefined ? value : average + SMOOTHING_FACTOR * (value - average);
}

/** Estimates how long items still run, from moving averages of completed items and runs. */
export class JobsEstimates {
  private readonly events = new Map<string, number>();
  private msPerEvent: number | undefined;

  /**
   * Adds a completed item to the averages.
   *
   * @param route its route
   * @param events number of events of its whole output
   */
  addItem(route: string, events: number): void {
    this.events.set(route, movingAverage(this.events.get(route), events));
  }

  /**
   * Adds a run to the averages.
   *
   * @param events number of its events
   * @param ms time from its start to its last event, in milliseconds
   */
  addRun(events: number, ms: number): void {
    if (events > 0) {
      this.msPerEvent = movingAverage(this.msPerEvent, ms / events);
    }
  }

  /**
   * Expected remaining run time of an item, in milliseconds; 0 without observations.
   *
   * @param route its route
   * @param events number of events so far
   */
  remainingMs(route: string, events: number): number {
    const expected = this.events.get(route) ?? 0;
    return Math.max(0, expected - events) * (this.msPerEvent ?? 0) * SAFETY_FACTOR;
  }
}
