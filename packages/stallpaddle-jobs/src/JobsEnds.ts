/**
 * Records the ends of items in groups: those that come while one group is under way go with the next.
 */
import {delay} from 'stallpaddle';

import type {JobsDispatcherOptions} from './JobsContext';
import type {ItemEnd} from './JobsTypes';

import {PROPOSE_AGAIN_MS} from './JobsConstants';

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

  private async record(): Promise<void> {
    if (this.recording) {
      return;
    }
    this.recording = true;
    while (this.pending.length > 0 && !this.stopped && this.options.leads()) {
      await this.recordPending();
    }
    if (!this.options.leads()) {
      this.pending = [];
    }
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
