/**
 * How fast engines are, as one process has seen it: what takes longer than usual is tried elsewhere.
 */
import {LearnedLimit} from 'stallpaddle';

/** See the module's comment. */
export class RelayLatencies {
  /**
   * From the opening of a connection to its first word back. At least 40 ms: a busy VM answers within some
   * milliseconds; a lost opening packet is sent again only after a second. At most 250 ms, below an objective of
   * 300 ms.
   */
  readonly connect = new LearnedLimit({leastMs: 40, mostMs: 250, startMs: 5});
  /**
   * From sending a stream's request to its first event, at an engine with a free slot. Measured: 55 to 70 ms on two
   * fleets, 20 to 40 on a third. At least 100 ms: an engine that cuts an item for the request takes some of it.
   */
  readonly firstEvent = new LearnedLimit({leastMs: 100, mostMs: 1_200, startMs: 70});
  /**
   * Between two arrivals of one stream. At least 100 ms, four events of the engines measured; callers count
   * pauses of 200 to 300 ms as late.
   */
  readonly gap = new LearnedLimit({leastMs: 100, mostMs: 700, startMs: 25});
}
