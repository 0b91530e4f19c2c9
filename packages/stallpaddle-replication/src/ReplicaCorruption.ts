/**
 * What comes of bulk data that can't be read: a line in the log, and leadership for a replica that may hold it whole.
 *
 * The replica stays a voter: its log is sound, and one more lost disk could cost the group its majority.
 */
import type {Clock, GroupId, Logger, MonotonicMs} from 'stallpaddle';
import type {BlobRef, CorruptionError} from 'stallpaddle-storage';

/** Time between two lines on the same data, and two times that this replica makes way, in milliseconds: all replicas may lack it. */
const AGAIN_MS = 30_000;
/** Most places that are remembered as told. */
const MOST_TOLD = 1_000;

/** See the module's comment. */
export class ReplicaCorruption {
  private madeWayAt: MonotonicMs = -Infinity;
  private readonly toldAt = new Map<number, MonotonicMs>();

  /**
   * @param clock this process's clock
   * @param logger writes the lines
   * @param group the replica's group
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly group: GroupId,
  ) {}

  /**
   * Notes a read that failed.
   *
   * @param ref what was read
   * @param err why it failed
   * @param leads whether this replica leads
   * @returns whether another replica should lead
   */
  note({length, offset}: BlobRef, err: CorruptionError, leads: boolean): boolean {
    const now = this.clock.monotonicMs();
    const makesWay = leads && now - this.madeWayAt > AGAIN_MS;
    if (makesWay) {
      this.madeWayAt = now;
    }
    if (makesWay || now - (this.toldAt.get(offset) ?? -Infinity) > AGAIN_MS) {
      const fields = {group: this.group, length, makesWay, offset, reason: err.message};
      this.logger.error('Bulk data can’t be read here.', fields);
      this.remember(offset, now);
    }
    return makesWay;
  }

  private remember(offset: number, now: MonotonicMs): void {
    if (this.toldAt.size >= MOST_TOLD) {
      this.toldAt.clear();
    }
    this.toldAt.set(offset, now);
  }
}
