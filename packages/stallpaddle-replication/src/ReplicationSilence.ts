/**
 * When a leader may take it that the others are silent: only for time in which it could have heard them.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {ReplicationTiming, Role} from './ReplicationTypes';

import {tickPeriodMs} from './ReplicaTicker';

type LeaderRole = Extract<Role, {kind: 'leader'}>;

/**
 * Notes a leader's look at its clock, and forgets late ones from before the last send that a majority has answered.
 *
 * @param role the leader
 * @param quorumAt when it sent what a majority has answered last
 * @param now monotonic time
 * @param timing times of the group
 */
export function recordTick(
  role: LeaderRole,
  quorumAt: MonotonicMs,
  now: MonotonicMs,
  timing: ReplicationTiming,
): LeaderRole {
  const periodMs = tickPeriodMs(timing);
  const lateMs = now - role.lastTickAt - periodMs;
  const known = role.lateTicks.filter(({at}) => at > quorumAt);
  const lateLooks = lateMs > periodMs ? [...known, {at: now, lateMs}] : known;
  return {...role, lateTicks: lateLooks, lastTickAt: now};
}

/**
 * Whether a majority has been silent for an election timeout in which this leader could have heard it. A process that was
 * held up for a quarter of a second gave up leadership with commands under way (507 and 573 ms after the last answered send,
 * looks 230 and 248 ms late); its lease lapses all the same. What its looks were late counts up to one more election
 * timeout: within two, another has surely been elected.
 *
 * @param role the leader, after its look at the clock
 * @param quorumAt when it sent what a majority has answered last
 * @param now monotonic time
 * @param timing times of the group
 */
export function isQuorumLost(
  {lateTicks: lateLooks}: LeaderRole,
  quorumAt: MonotonicMs,
  now: MonotonicMs,
  {electionTimeoutMs}: ReplicationTiming,
): boolean {
  const heldUpMs = lateLooks.reduce((sum, {lateMs}) => sum + lateMs, 0);
  return now - quorumAt > electionTimeoutMs + Math.min(heldUpMs, electionTimeoutMs);
}
