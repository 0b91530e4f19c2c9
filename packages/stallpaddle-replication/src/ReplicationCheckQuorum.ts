/**
 * Check-quorum: a leader steps down when a majority has stopped acknowledging its messages.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {ReplicationTiming, Role} from './ReplicationTypes';

import {tickPeriodMs} from './ReplicaTicker';

type LeaderRole = Extract<Role, {kind: 'leader'}>;

/**
 * Records a clock tick of a leader, and drops late ticks from before the newest send that a majority has acknowledged.
 *
 * @param role role of the leader
 * @param quorumAt send time of the newest message that a majority has acknowledged
 * @param now monotonic time
 * @param timing timing of the group
 */
export function recordTick(
  role: LeaderRole,
  quorumAt: MonotonicMs,
  now: MonotonicMs,
  timing: ReplicationTiming,
): LeaderRole {
  const periodMs = tickPeriodMs(timing);
  const lateMs = now - role.lastTickAt - periodMs;
  const recent = role.lateTicks.filter(({at}) => at > quorumAt);
  const lateTicks = lateMs > periodMs ? [...recent, {at: now, lateMs}] : recent;
  return {...role, lastTickAt: now, lateTicks};
}

/**
 * Whether a majority has not responded for an election timeout in which the leader was able to send and receive. A
 * process that was paused for a quarter of a second thus keeps its role with commands in flight, although its lease
 * lapses; without this, leaders stepped down 507 and 573 ms after the last acknowledged message. The
 * delay of its ticks extends the timeout by at most one more election timeout: within two, another leader has been
 * elected.
 *
 * @param role role of the leader, with the current tick recorded
 * @param quorumAt send time of the newest message that a majority has acknowledged
 * @param now monotonic time
 * @param timing timing of the group
 */
export function isQuorumLost(
  {lateTicks}: LeaderRole,
  quorumAt: MonotonicMs,
  now: MonotonicMs,
  {electionTimeoutMs}: ReplicationTiming,
): boolean {
  const delayedMs = lateTicks.reduce((sum, {lateMs}) => sum + lateMs, 0);
  return now - quorumAt > electionTimeoutMs + Math.min(delayedMs, electionTimeoutMs);
}
