/** Replication of the ends of items. */
import type {Term} from 'stallpaddle-replication';

import {delay} from 'stallpaddle';

import type {JobsDispatcherOptions} from './JobsContext';
import type {ItemEnd} from './JobsTypes';

import {PROPOSE_RETRY_MS, TARGET_COMMAND_BYTES} from './JobsConstants';

/** An end and the term in which it occurred. */
interface PendingEnd {
  readonly end: ItemEnd;
  readonly term: Term;
}

/** The first ends, up to the size of one command; at least one. */
function nextBatch(pending: readonly PendingEnd[]): readonly PendingEnd[] {
  let bytes = 0;
  const full = pending.findIndex(({end}) => {
    bytes += end.data.reduce((sum, data) => sum + data.length, 0);
    return bytes >= TARGET_COMMAND_BYTES;
  });
  return full < 0 ? pending : pending.slice(0, full + 1);
}

/** Records the ends of items in batches, one command at a time; ends added meanwhile go into the next one. */
export class JobsEndRecorder {
  private pending: readonly PendingEnd[] = [];
  private recording = false;
  private stopped = false;

  /**
   * @param options services of the process
   */
  constructor(private readonly options: Pick<JobsDispatcherOptions, 'leadership' | 'propose'>) {}

  /**
   * Queues an end; it is dropped if the term changes before it is recorded.
   *
   * @param end the end
   * @param term term in which it occurred
   */
  add(end: ItemEnd, term: Term): void {
    this.pending = [...this.pending, {end, term}];
    void this.recordAll();
  }

  /** Starts no further command. */
  stop(): void {
    this.stopped = true;
  }

  /** Keeps ends while the lease has lapsed: this leader would otherwise never end their items. */
  private async recordAll(): Promise<void> {
    if (this.recording) {
      return;
    }
    this.recording = true;
    while (!this.stopped) {
      this.dropOtherTerms();
      if (this.pending.length === 0) {
        break;
      }
      if (this.options.leadership().kind === 'leads') {
        await this.recordBatch();
      } else {
        await delay(PROPOSE_RETRY_MS);
      }
    }
    this.recording = false;
  }

  /** Drops ends of earlier terms: other leaders may have recorded other output since, and run those items again. */
  private dropOtherTerms(): void {
    const leadership = this.options.leadership();
    const current = leadership.kind === 'follows' ? undefined : leadership.term;
    this.pending = this.pending.filter(({term}) => term === current);
  }

  private async recordBatch(): Promise<void> {
    const batch = nextBatch(this.pending);
    this.pending = this.pending.slice(batch.length);
    try {
      await this.options.propose({ends: batch.map(({end}) => end), kind: 'endItems'});
    } catch {
      // Proposing an end again is safe: only the first record of an end counts.
      this.pending = [...batch, ...this.pending];
      await delay(PROPOSE_RETRY_MS);
    }
  }
}
