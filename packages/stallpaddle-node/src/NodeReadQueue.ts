/**
 * Reads of bulk data, a few at a time, and none for a caller that has given up. Without this a process that is asked for
 * more than it can read in the callers' time reads it all for nobody: they ask again, and no read is ever answered.
 */
import type {Clock, MonotonicMs} from 'stallpaddle';

import PQueue from 'p-queue';
import {OutcomeUnknownError} from 'stallpaddle-replication';

/** Reads at a time: while one waits for the disk, others are encoded and sent. */
const READS_AT_A_TIME = 4;

/** See the module's comment. */
export class NodeReadQueue {
  private added = 0;
  private readonly queue = new PQueue({concurrency: READS_AT_A_TIME});

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Reads when its turn comes. The newest goes first: where not all can be read in time, those that came first are those
   * whose callers give up next.
   *
   * @param read reads
   * @param endAt when nobody waits for it any more
   * @throws {OutcomeUnknownError} when that moment has come before its turn
   */
  add<Result>(read: () => Promise<Result>, endAt: MonotonicMs): Promise<Result> {
    const inTime = (): Promise<Result> => {
      if (this.clock.monotonicMs() >= endAt) {
        throw new OutcomeUnknownError();
      }
      return read();
    };
    return this.queue.add(inTime, {priority: this.added++});
  }
}
