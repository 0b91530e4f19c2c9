/**
 * A replica's looks at its clock: often where leases hang on them, at its time for an election where it may stand, seldom
 * elsewhere. A fleet of 200 VMs has 24 stores that hold no vote, and each look costs a turn of its process.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {ReplicationState, ReplicationTiming} from './ReplicationTypes';

/** Looks of a voter for each heartbeat. */
const LOOKS_A_HEARTBEAT = 4;

/**
 * Time between a replica's looks at its clock, in milliseconds: four for each heartbeat of a voter, one for each election
 * timeout of any other replica, which stands for no election and holds no lease. Whole milliseconds: a timer with a
 * fraction wakes its process up twice.
 *
 * @param timing times of the group
 * @param isVoter whether the replica has a vote
 */
export function tickPeriodMs(
  {electionTimeoutMs, heartbeatMs}: ReplicationTiming,
  isVoter = true,
): number {
  return isVoter ? Math.max(1, Math.floor(heartbeatMs / LOOKS_A_HEARTBEAT)) : electionTimeoutMs;
}

/**
 * Whether a replica has a vote, or leads: elections and leases hang on its looks.
 *
 * @param state its state
 */
export function isVoter({log, role, self}: ReplicationState): boolean {
  return role.kind === 'leader' || log.members.voters.includes(self);
}

/**
 * Time until a replica that may stand for election but doesn't lead has to look at its clock; undefined for any other,
 * which looks regularly. All that its clock tells it is when to stand.
 *
 * @param state its state
 * @param now the steady clock, in milliseconds
 */
export function msUntilElection(state: ReplicationState, now: MonotonicMs): number | undefined {
  const {electionAt, role} = state;
  if (role.kind === 'leader' || !isVoter(state)) {
    return undefined;
  }
  return Math.max(1, Math.ceil(electionAt - now));
}

/** See the module's comment. */
export class ReplicaTicker {
  /** When the single look is due, by the steady clock; undefined while there is none. */
  private dueAt: MonotonicMs | undefined;
  private periodMs = 0;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param turn one look
   */
  constructor(private readonly turn: () => void) {}

  /**
   * Sets the time between looks.
   *
   * @param periodMs the time, in milliseconds
   * @returns whether it has changed
   */
  follow(periodMs: number): boolean {
    if (periodMs === this.periodMs) {
      return false;
    }
    this.stop();
    this.periodMs = periodMs;
    this.timer = setInterval(this.turn, periodMs);
    return true;
  }

  /**
   * Looks once after a time, in place of regular looks. A look that is due before stays: a heartbeat puts an election off
   * eight times a second, and the timer need not follow each time.
   *
   * @param waitMs the time, in milliseconds
   * @param now the steady clock, in milliseconds
   * @returns whether the time of the next look has changed
   */
  followOnce(waitMs: number, now: MonotonicMs): boolean {
    if (this.dueAt !== undefined && this.dueAt <= now + waitMs) {
      return false;
    }
    this.stop();
    this.dueAt = now + waitMs;
    this.timer = setTimeout(() => {
      this.dueAt = undefined;
      this.turn();
    }, waitMs);
    return true;
  }

  /** Looks no more. */
  stop(): void {
    clearTimeout(this.timer);
    this.dueAt = undefined;
    this.periodMs = 0;
  }
}
