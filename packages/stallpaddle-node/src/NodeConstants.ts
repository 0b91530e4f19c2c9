/**
 * Times and sizes of the processes.
 */

import type {ReplicationTiming} from 'stallpaddle-replication';

/** Milliseconds in a second. */
export const SECOND_MS = 1_000;

/**
 * Times of both groups: replicas are a few milliseconds apart, and nothing but a lost process keeps a
 * heartbeat back for half a second. Each group that restarts whole pays one to two election timeouts.
 */
export const GROUP_TIMING: ReplicationTiming = {
  electionTimeoutMs: 500,
  heartbeatMs: 125,
  leaseDriftFraction: 0.2,
};

/**
 * Size of the jobs group's log file at which a snapshot replaces it, in bytes: all of it is in memory
 * too, and a VM has some hundred megabytes.
 */
export const JOBS_LOG_BYTES = 8_388_608;

/** Name of the control group. */
export const CONTROL_GROUP = 'control';

/** Name of the group that keeps batch jobs. */
export const JOBS_GROUP = 'jobs';

/**
 * Longest hold of a question for news to the leader itself, in milliseconds. It bounds the age of what replicas and
 * whoever runs items know: two holds and a failed try stay below the second after which items are not started any more.
 */
export const WATCH_HOLD_MS = 400;

/**
 * Longest hold of any other process's question, in milliseconds. What it knows is 1.7 s old at most with the replica's
 * own hold and a busy VM, and 3 s with one replica that lies dark: engines that leave and configurations need less than
 * 2 s only while all replicas run. Each question costs three turns of processes of 0.9 ms each.
 */
export const FOLLOWER_WATCH_HOLD_MS = 1_000;

/** Time for a question for news beyond its hold, in milliseconds: a round trip on a busy VM. */
export const WATCH_MARGIN_MS = 300;

/** Age up to which a replica passes on what the leader told it, in milliseconds: a hold and a round trip on a busy VM. */
export const FORWARD_MAX_AGE_MS = WATCH_HOLD_MS + WATCH_MARGIN_MS;

/**
 * Longest wait for what another process holds, while this one knows nothing, in milliseconds. A loss of power left
 * first questions unanswered for their whole time (700 ms, on nine of twelve VMs), since a VM was still dark.
 */
export const PEEK_TIMEOUT_MS = 250;

/** Pause before a process that holds nothing yet is asked again what it holds, in milliseconds: as long as one try. */
export const PEEK_PAUSE_MS = PEEK_TIMEOUT_MS;

/** Time between words of a replica to seeds that hold none, in milliseconds: half of an election timeout. */
export const BOOTSTRAP_INTERVAL_MS = 250;

/** Longest wait for the answer to such a word, in milliseconds: until the next one is due. */
export const BOOTSTRAP_TIMEOUT_MS = BOOTSTRAP_INTERVAL_MS;

/** Time for which such a word counts, in milliseconds: a VM that is gone for good is forgotten after it. */
export const BOOTSTRAP_TTL_MS = 10_000;

/** Pause before another VM is asked, in milliseconds: about a round trip between availability zones. */
export const RETRY_PAUSE_MS = 30;

/** Longest pause between tries while nobody answers, in milliseconds: half of an election. */
export const MAX_RETRY_PAUSE_MS = 250;

/** Longest single try of any other call, in milliseconds. */
export const CALL_TIMEOUT_MS = 700;

/** What slow links carry, in bytes a millisecond: a large call may take as much longer, or it would never arrive. */
export const SLOW_LINK_BYTES_PER_MS = 1_600;

/** Longest time that a call of an engine or the operator is tried: they give up after a second. */
export const CONTROL_CALL_TIMEOUT_MS = 850;

/**
 * Longest time for which a finding on a request is offered to the control group, in milliseconds: longer than the group is
 * without a leader after any loss that was seen.
 */
export const SUSPECT_CALL_TIMEOUT_MS = 30_000;

/** Longest time that a caller's job call is tried, in milliseconds: under half of the time callers allow. */
export const JOB_CALL_TIMEOUT_MS = 1_500;

/**
 * Longest wait for a replica to take messages, in milliseconds: an election timeout, after which the others
 * go on without it. A connection that brought nothing for as long is given up.
 */
export const DELIVERY_TIMEOUT_MS = 500;

/**
 * Time in which a new connection for calls may bring its first answer once a VM has taken it, in milliseconds. A VM that starts with 0.3 of a
 * core answers nothing for a second; every connection begun anew meanwhile costs it more. In the first seconds of a fleet
 * of 200 VMs its 30 stores alone had given up 645. Replication messages don't wait so long.
 */
export const FIRST_ANSWER_TIMEOUT_MS = 2_000;

/** Time of a delivery from which the log tells of it, in milliseconds: a heartbeat waits behind it. */
export const SLOW_DELIVERY_MS = 125;

/** Reports of an engine that must be missed before it counts as silent. */
export const MISSED_REPORTS = 3;

/**
 * Silence after which an entry VM is not named to callers, in milliseconds: a hold of its question, one of the replica
 * that passes on what it says, and some tenths of a second on busy VMs.
 */
export const HEARTBEAT_TIMEOUT_MS = 2_000;

/** Time that a new leader needs to hear from every process, in milliseconds: as long as silence takes. */
export const NEW_LEADER_SETTLE_MS = HEARTBEAT_TIMEOUT_MS;

/**
 * Time for another replica to take over leadership at a planned stop, in milliseconds: below an election
 * timeout, since the successor is told to stand at once.
 */
export const LEADER_HANDOVER_MS = 400;

/** Time between looks at a group's members, in milliseconds. */
export const MEMBERSHIP_CHECK_MS = 250;

/** Silence of a process that makes it no candidate for membership, in milliseconds. */
export const CANDIDATE_TIMEOUT_MS = 1_500;

/**
 * Silence of a replica after which it is lost, once its VM has spoken with another disk, in milliseconds: four heartbeats. A
 * new leader counts it anew, and the successor must vote before the next loss, five seconds after the first.
 */
export const REPLACED_DISK_TIMEOUT_MS = 500;

/**
 * Silence of a voter after which a caught-up replica takes its place, in milliseconds: longer than a
 * restart takes on a loaded VM, and short enough for a second loss five seconds after the first.
 */
export const VOTER_TIMEOUT_MS = 2_500;

/** Replicas beyond the voters that a group keeps ready. */
export const SPARE_LEARNERS = 1;

/** Time between words to the dispatcher when nothing has changed, in milliseconds. */
export const ONLINE_REPORT_INTERVAL_MS = 1_000;

/** Time between words of a VM that serves requests, for each entry VM of the fleet, in milliseconds: 250 words a second in all. */
const ASK_MS_PER_VM = 4;

/** Age of counts beyond which asking for them without a word to tell buys less than it costs, in milliseconds. */
const ASK_WITHIN_MS = 100;

/**
 * Longest time between words to the dispatcher.
 *
 * @param isServing whether this VM has online requests
 * @param entryVms entry VMs of the fleet
 */
export function onlineReportIntervalMs(isServing: boolean, entryVms: number): number {
  const askMs = ASK_MS_PER_VM * Math.max(1, entryVms);
  return isServing && askMs <= ASK_WITHIN_MS ? askMs : ONLINE_REPORT_INTERVAL_MS;
}

/** Shortest time between two words to the dispatcher, in milliseconds: about a round trip. */
export const ONLINE_REPORT_SPACING_MS = 5;

/** Longest wait for the dispatcher's answer, in milliseconds. */
export const ONLINE_REPORT_TIMEOUT_MS = 300;

/** Age up to which a 404 for a path without a route is believed, in milliseconds. */
export const ROUTE_MAX_AGE_MS = 700;

/**
 * Longest time for which the leader is asked whether a key is unknown, in milliseconds: whoever is asked first may only name
 * the leader, and callers give a VM a second.
 */
export const CONFIRM_TIMEOUT_MS = 600;

/**
 * Age of what is known from which on a VM asks before it serves by the keys it knows, in milliseconds: older than what is
 * known while any replica passes on the news, and within the time in which a configuration is in force.
 */
export const KEY_MAX_AGE_MS = 2_000;

/** Pause before a VM that heard no leader asks again for the latest keys, in milliseconds. */
export const KEY_REFRESH_PAUSE_MS = 1_000;

/** Pause after which a caller should come back while the configuration is not known, in milliseconds. */
export const CONFIG_RETRY_AFTER_MS = 500;

/**
 * Time that callers may keep the addresses they were told, in seconds: the most that counts. Each question
 * may meet a lost VM and cost a second; a lost VM that is still named costs as much once.
 */
export const ADDRESSES_TTL_S = 5;

/** Most addresses that a caller is told. */
export const MAX_ADDRESSES = 64;

/** Time that a rested connection is kept beyond the configured one, in milliseconds. */
export const IDLE_MARGIN_MS = 2_000;

/**
 * Time before the end of the grace from which a stopping process takes no more requests, in milliseconds:
 * streams of today take about one second, and a request that is cut off at the end counts as lost.
 */
export const LAST_REQUEST_MARGIN_MS = 3_000;

/** Time left before the end of the grace at which a stopping process ends in any case, in milliseconds. */
export const SHUTDOWN_MARGIN_MS = 400;

/** Pause before a replica whose disk has failed is opened again, in milliseconds. */
export const DISK_REOPEN_PAUSE_MS = 1_000;
