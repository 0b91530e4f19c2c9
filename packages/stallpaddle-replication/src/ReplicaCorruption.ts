/**
 * Handling of bulk data that is corrupt on this disk.
 */
import type {Clock, GroupId, Logger, MonotonicMs} from 'stallpaddle';
import type {BlobRef, CorruptionError} from 'stallpaddle-storage';

/**
 * Interval between log lines about the same data, and between leadership transfers, in milliseconds; limits transfers
 * when every replica lacks the data.
 */
const REPEAT_INTERVAL_MS = 30_000;
/** Maximum number of offsets for which the time of the last log line is kept. */
const MAX_LOGGED_OFFSETS = 1_000;

/**
 * Logs corrupt bulk data and decides when to transfer leadership to a replica that may hold an intact copy. This
 * replica stays a voter: its log is intact, and removing it could cost the group its majority if another disk is lost.
 */
export class ReplicaCorruption {
  private transferredAt: MonotonicMs = -Infinity;
  private readonly loggedAt = new Map<number, MonotonicMs>();

  /**
   * @param clock clock of the process
   * @param logger logger of the process
   * @param group group of the replica
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly group: GroupId,
  ) {}

  /**
   * Reports a failed read.
   *
   * @param ref location of the data
   * @param err why it failed
   * @param leads whether this replica leads
   * @returns whether leadership should be transferred
   */
  report({length, offset}: BlobRef, err: CorruptionError, leads: boolean): boolean {
    const now = this.clock.monotonicMs();
    const mustTransfer = leads && now - this.transferredAt > REPEAT_INTERVAL_MS;
    if (mustTransfer) {
      this.transferredAt = now;
    }
    if (mustTransfer || now - (this.loggedAt.get(offset) ?? -Infinity) > REPEAT_INTERVAL_MS) {
      const fields = {
        group: this.group,
        length,
        makesWay: mustTransfer,
        offset,
        reason: err.message,
      };
      this.logger.error('Bulk data of this replica is corrupt.', fields);
      this.remember(offset, now);
    }
    return mustTransfer;
  }

  private remember(offset: number, now: MonotonicMs): void {
    if (this.loggedAt.size >= MAX_LOGGED_OFFSETS) {
      this.loggedAt.clear();
    }
    this.loggedAt.set(offset, now);
  }
}
