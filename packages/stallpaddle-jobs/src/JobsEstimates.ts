/** Estimates of item run times. */
import {slotTimeFactor} from 'stallpaddle-capacity';

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
   * @param speed speed of its engine as a factor of its service's median
   */
  addRun(events: number, ms: number, speed = 1): void {
    if (events > 0) {
      this.msPerEvent = movingAverage(this.msPerEvent, (ms / events) * speed);
    }
  }

  /**
   * Expected remaining run time of an item, in milliseconds; 0 without observations.
   *
   * @param route its route
   * @param events number of events so far
   * @param speed speed of the engine that runs it, as a factor of its service's median
   */
  remainingMs(route: string, events: number, speed = 1): number {
    const expected = this.events.get(route) ?? 0;
    const usualMs = Math.max(0, expected - events) * (this.msPerEvent ?? 0) * SAFETY_FACTOR;
    return usualMs * slotTimeFactor(speed);
  }
}
