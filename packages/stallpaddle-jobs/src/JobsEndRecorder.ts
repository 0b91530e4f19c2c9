/**
 * Records the ends of items in groups: those that come while one group is under way go with the next.
 */
import type {Term} from 'stallpaddle-replication';

import {delay} from 'stallpaddle';

import type {JobsDispatcherOptions} from './JobsContext';
import type {ItemEnd} from './JobsTypes';

import {PROPOSE_RETRY_MS, TARGET_COMMAND_BYTES} from './JobsConstants';

/** An end, and the term in which it was found. */
interface FoundEnd {
  readonly end: ItemEnd;
  readonly term: Term;
}

/** The first ends, up to the size of one record; at least one. */
function firstOf(pending: readonly FoundEnd[]): readonly FoundEnd[] {
  let bytes = 0;
  const full = pending.findIndex(({end}) => {
    bytes += end.data.reduce((sum, data) => sum + data.length, 0);
    return bytes >= TARGET_COMMAND_BYTES;
  });
  return full < 0 ? pending : pending.slice(0, full + 1);
}

/** See the module's comment. */
export class JobsEndRecorder {
  private pending: readonly FoundEnd[] = [];
  private recording = false;
  private stopped = false;

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: Pick<JobsDispatcherOptions, 'leadership' | 'propose'>) {}

  /**
   * Records an end soon, while this process leads in the same term.
   *
   * @param end the end
   * @param term term in which it was found
   */
  add(end: ItemEnd, term: Term): void {
    this.pending = [...this.pending, {end, term}];
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
    while (!this.stopped) {
      this.forgetOtherTerms();
      if (this.pending.length === 0) {
        break;
      }
      if (this.options.leadership().kind === 'leads') {
        await this.recordPending();
      } else {
        await delay(PROPOSE_RETRY_MS);
      }
    }
    this.recording = false;
  }

  /** What an earlier term found may not fit what other leaders have recorded since; whoever leads runs those items. */
  private forgetOtherTerms(): void {
    const leadership = this.options.leadership();
    const current = leadership.kind === 'follows' ? undefined : leadership.term;
    this.pending = this.pending.filter(({term}) => term === current);
  }

  private async recordPending(): Promise<void> {
    const found = firstOf(this.pending);
    this.pending = this.pending.slice(found.length);
    try {
      await this.options.propose({ends: found.map(({end}) => end), kind: 'endItems'});
    } catch {
      // An end may be recorded twice without harm: only the first counts.
      this.pending = [...found, ...this.pending];
      await delay(PROPOSE_RETRY_MS);
    }
  }
}
