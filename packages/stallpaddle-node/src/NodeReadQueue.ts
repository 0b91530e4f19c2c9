/** Queue for reads of bulk data. */
import type {Clock, MonotonicMs} from 'stallpaddle';

import PQueue from 'p-queue';
import {OutcomeUnknownError} from 'stallpaddle-replication';

/** Concurrent reads: while one waits for the disk, others are encoded and sent. */
const MAX_CONCURRENT_READS = 4;

/**
 * Runs a limited number of reads at a time and drops those past their deadline. Without this an overloaded process would
 * spend its time on reads whose callers have timed out and asked again, and answer none.
 */
export class NodeReadQueue {
  private added = 0;
  private readonly queue = new PQueue({concurrency: MAX_CONCURRENT_READS});

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Queues a read. The newest read runs first: under overload the oldest ones are the next to time out anyway.
   *
   * @param read the read
   * @param endAt deadline after which the caller no longer waits
   * @throws {OutcomeUnknownError} when the deadline passes before the read starts
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
