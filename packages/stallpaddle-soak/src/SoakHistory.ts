/**
 * Gathers what happens in a soak, in order.
 */
import type {SoakEvent} from './SoakTypes';

/** An event without its moment. */
export type SoakEventDetails = SoakEvent extends infer Event
  ? Event extends SoakEvent
    ? Omit<Event, 'at'>
    : never
  : never;

/** See the module's comment. */
export class SoakHistory {
  readonly events: SoakEvent[] = [];
  private readonly startedAt = performance.now();

  /** Time since the history began, in milliseconds. */
  get now(): number {
    return Math.round(performance.now() - this.startedAt);
  }

  /**
   * Notes what happens now.
   *
   * @param happening what happens
   */
  note(happening: SoakEventDetails): void {
    this.events.push({...happening, at: this.now} as SoakEvent);
  }
}
