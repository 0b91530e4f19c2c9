/**
 * Latencies of engines as one process has observed them.
 */
import {AdaptiveTimeout} from 'stallpaddle';

/** Learned latency limits of engines of usual speed. An attempt that exceeds one may be moved to another engine. */
export class RelayLatencies {
  /**
   * Time to establish a connection. The lower bound tolerates a busy VM, which answers within some milliseconds; the upper
   * one is below an objective of 300 ms and leaves time to try another engine, while a lost SYN is retransmitted only
   * after a second.
   */
  readonly connect = new AdaptiveTimeout({initialMeanMs: 5, maxMs: 250, minMs: 40});
  /**
   * Time from a stream's request to its first event at an engine with a free slot: 20 to 70 ms on three fleets. The lower
   * bound leaves an engine the time to preempt a batch item.
   */
  readonly firstEvent = new AdaptiveTimeout({initialMeanMs: 70, maxMs: 1_200, minMs: 100});
  /** Time between two chunks of a stream. The lower bound covers four events; callers count pauses of 200 to 300 ms as late. */
  readonly gap = new AdaptiveTimeout({initialMeanMs: 25, maxMs: 700, minMs: 100});
}
