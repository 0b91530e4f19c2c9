/**
 * A replica's looks at its clock: often where elections and leases hang on them, seldom elsewhere. A fleet of 200 VMs has
 * 24 stores that hold no vote, and each look costs a turn of its process.
 */
import type {ReplicationState, ReplicationTiming} from './ReplicationTypes';

/** Looks of a voter for each heartbeat. */
const LOOKS_A_HEARTBEAT = 4;

/**
 * Time between a replica's looks at its clock, in milliseconds: four for each heartbeat of a voter, one for each election
 * timeout of any other replica, which stands for no election and holds no lease.
 *
 * @param timing times of the group
 * @param isVoter whether the replica has a vote
 */
export function turnPeriodMs(
  {electionTimeoutMs, heartbeatMs}: ReplicationTiming,
  isVoter = true,
): number {
  return isVoter ? Math.max(1, heartbeatMs / LOOKS_A_HEARTBEAT) : electionTimeoutMs;
}

/**
 * Whether a replica has a vote, or leads: elections and leases hang on its looks.
 *
 * @param state its state
 */
export function isVoter({log, role, self}: ReplicationState): boolean {
  return role.kind === 'leader' || log.members.voters.includes(self);
}

/** See the module's comment. */
export class ReplicaTurns {
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

  /** Looks no more. */
  stop(): void {
    clearInterval(this.timer);
  }
}
