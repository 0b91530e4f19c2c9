/**
 * How late a replica's turns come. A process that is held up, by its own work or by a VM short of processor time,
 * sends no heartbeats and hears none: whoever reads its log has to tell that from a silent network.
 */
import type {Clock, MonotonicMs} from 'stallpaddle';

/** Time for which the latest late turn is told, in milliseconds: some election timeouts, so that a change of leaders shows it. */
const TOLD_MS = 2_000;

/** See the module's comment. */
export class ReplicaTurns {
  private dueAt: MonotonicMs;
  private latest: {readonly at: MonotonicMs; readonly ms: number} = {at: -Infinity, ms: 0};

  /**
   * @param clock this process's clock
   * @param periodMs time between two turns, in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly periodMs: number,
  ) {
    this.dueAt = clock.monotonicMs() + periodMs;
  }

  /** Delay of the latest turn among those of the last two seconds, in milliseconds. */
  get latestMs(): number {
    return this.clock.monotonicMs() - this.latest.at < TOLD_MS ? this.latest.ms : 0;
  }

  /**
   * Notes a turn.
   *
   * @returns how late it came, in milliseconds
   */
  note(): number {
    const now = this.clock.monotonicMs();
    const lateMs = Math.max(0, now - this.dueAt);
    this.dueAt = now + this.periodMs;
    if (lateMs >= this.latestMs) {
      this.latest = {at: now, ms: lateMs};
    }
    return lateMs;
  }
}
