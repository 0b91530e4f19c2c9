/** History of a soak. */
import type {SoakEvent} from './SoakTypes';

/** An event without its time. */
export type SoakEventDetails = SoakEvent extends infer Event
  ? Event extends SoakEvent
    ? Omit<Event, 'at'>
    : never
  : never;

/** Records events in order, with the time of each. */
export class SoakHistory {
  readonly events: SoakEvent[] = [];
  private readonly startedAt = performance.now();

  /** Time since the history began, in milliseconds. */
  get now(): number {
    return Math.round(performance.now() - this.startedAt);
  }

  /**
   * Records an event at the current time.
   *
   * @param details event without its time
   */
  note(details: SoakEventDetails): void {
    this.events.push({...details, at: this.now} as SoakEvent);
  }
}
