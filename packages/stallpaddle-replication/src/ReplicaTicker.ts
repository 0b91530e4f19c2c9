/**
 * Clock ticks of a replica: frequent where elections and leases depend on them, rare elsewhere, since each tick costs a
 * turn of the event loop. A fleet of 200 VMs has 24 stores without a vote.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {ReplicationState, ReplicationTiming} from './ReplicationTypes';

/** Ticks of a leader per heartbeat interval. */
const TICKS_PER_HEARTBEAT = 4;

/**
 * Interval between clock ticks, in milliseconds: a fraction of the heartbeat interval for a voter, an election timeout
 * for a replica that neither starts elections nor holds a lease. Whole milliseconds, because a timer with a fraction
 * wakes the process twice.
 *
 * @param timing timing of the group
 * @param isVoter whether the replica has a vote
 */
export function tickPeriodMs(
  {electionTimeoutMs, heartbeatMs}: ReplicationTiming,
  isVoter = true,
): number {
  return isVoter ? Math.max(1, Math.floor(heartbeatMs / TICKS_PER_HEARTBEAT)) : electionTimeoutMs;
}

/**
 * Whether a replica is a voter or leads, so that elections or leases depend on its ticks.
 *
 * @param state state of the replica
 */
export function isVoter({log, role, self}: ReplicationState): boolean {
  return role.kind === 'leader' || log.members.voters.includes(self);
}

/**
 * Time until the election timeout of a voter that does not lead, which needs no other tick; undefined for replicas that
 * tick at regular intervals.
 *
 * @param state state of the replica
 * @param now monotonic time, in milliseconds
 */
export function msUntilElection(state: ReplicationState, now: MonotonicMs): number | undefined {
  const {electionAt, role} = state;
  if (role.kind === 'leader' || !isVoter(state)) {
    return undefined;
  }
  return Math.max(1, Math.ceil(electionAt - now));
}

/** Calls back at regular intervals or once after a delay, whichever was requested last. */
export class ReplicaTicker {
  /** When the one-time tick is due, on the monotonic clock; undefined if none is scheduled. */
  private dueAt: MonotonicMs | undefined;
  private periodMs = 0;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param onTick called at each tick
   */
  constructor(private readonly onTick: () => void) {}

  /**
   * Ticks at regular intervals.
   *
   * @param periodMs interval, in milliseconds
   * @returns whether the interval has changed
   */
  tickEvery(periodMs: number): boolean {
    if (periodMs === this.periodMs) {
      return false;
    }
    this.stop();
    this.periodMs = periodMs;
    this.timer = setInterval(this.onTick, periodMs);
    return true;
  }

  /**
   * Ticks once after a delay, instead of at intervals. An earlier pending tick stays scheduled: each heartbeat
   * postpones the election, and the timer is not reset every time.
   *
   * @param waitMs delay, in milliseconds
   * @param now monotonic time, in milliseconds
   * @returns whether the time of the next tick has changed
   */
  tickAfter(waitMs: number, now: MonotonicMs): boolean {
    if (this.dueAt !== undefined && this.dueAt <= now + waitMs) {
      return false;
    }
    this.stop();
    this.dueAt = now + waitMs;
    this.timer = setTimeout(() => {
      this.dueAt = undefined;
      this.onTick();
    }, waitMs);
    return true;
  }

  /** Stops all ticks. */
  stop(): void {
    clearTimeout(this.timer);
    this.dueAt = undefined;
    this.periodMs = 0;
  }
}
