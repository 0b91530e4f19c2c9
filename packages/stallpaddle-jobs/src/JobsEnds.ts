/**
 * Records the ends of items in groups: those that come while one group is under way go with the next.
 */
import {delay} from 'stallpaddle';

import type {JobsDispatcherOptions} from './JobsContext';
import type {ItemEnd} from './JobsTypes';

import {PROPOSE_AGAIN_MS} from './JobsConstants';

/** Pauses without leadership after which another process runs the items: five seconds in all. */
const MOST_WAITS = 100;

/** See the module's comment. */
export class JobsEnds {
  private pending: ItemEnd[] = [];
  private recording = false;
  private stopped = false;

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: Pick<JobsDispatcherOptions, 'leads' | 'propose'>) {}

  /**
   * Records an end soon, while this process leads.
   *
   * @param end the end
   */
  add(end: ItemEnd): void {
    this.pending.push(end);
    void this.record();
  }

  /** Begins no further record. */
  stop(): void {
    this.stopped = true;
  }

  /** An end outlasts a lease that lapses for a moment: its item would else never end under this leader. */
  private async record(): Promise<void> {
    if (this.recording) {
      return;
    }
    this.recording = true;
    for (let waits = 0; this.pending.length > 0 && !this.stopped && waits < MOST_WAITS; waits++) {
      if (this.options.leads()) {
        waits = 0;
        await this.recordPending();
      } else {
        await delay(PROPOSE_AGAIN_MS);
      }
    }
    this.pending = [];
    this.recording = false;
  }

  private async recordPending(): Promise<void> {
    const ends = this.pending;
    this.pending = [];
    try {
      await this.options.propose({ends, kind: 'endItems'});
    } catch {
      // An end may be recorded twice without harm: only the first counts.
      this.pending = [...ends, ...this.pending];
      await delay(PROPOSE_AGAIN_MS);
    }
  }
}
