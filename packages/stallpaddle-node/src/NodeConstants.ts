/** Timeouts, intervals and limits of the processes. */

import type {ReplicationTiming} from 'stallpaddle-replication';

/** Milliseconds in a second. */
export const SECOND_MS = 1_000;

/**
 * Timing of both replication groups. Replicas are a few milliseconds apart, and only a lost process delays a heartbeat by
 * half a second; a group that restarts as a whole needs one to two election timeouts.
 */
export const GROUP_TIMING: ReplicationTiming = {
  electionTimeoutMs: 500,
  heartbeatMs: 125,
  leaseDriftFraction: 0.2,
};

/**
 * Size of the jobs group's log file at which a snapshot replaces it, in bytes. The log is held in memory too, so this
 * also bounds memory use.
 */
export const JOBS_LOG_BYTES = 8_388_608;

/** Name of the control group. */
export const CONTROL_GROUP = 'control';

/** Name of the group that stores batch jobs. */
export const JOBS_GROUP = 'jobs';

/**
 * Longest time that the leader holds a watch request, in milliseconds. Two holds and a failed try stay below the age of
 * the fleet status at which the dispatcher stops starting batch items.
 */
export const WATCH_HOLD_MS = 400;

/**
 * Longest time that a follower holds a watch request, in milliseconds. Together with the follower's own hold it bounds
 * the age of a process's fleet status, and so how long a removed engine or an old configuration stays in use: 1.7 s, or
 * 3 s once a replica becomes unreachable; later tries of that one are not held. Each watch request costs three turns of event loops, about
 * 0.9 ms each.
 */
export const FOLLOWER_WATCH_HOLD_MS = 1_000;

/** Time allowed for a watch request beyond its hold, in milliseconds: a round trip on a busy VM. */
export const WATCH_MARGIN_MS = 300;

/** Oldest fleet status that a follower forwards, in milliseconds: one hold and one round trip. */
export const FORWARD_MAX_AGE_MS = WATCH_HOLD_MS + WATCH_MARGIN_MS;

/**
 * Timeout of a peek request, in milliseconds. It is short because a starting process asks all known hosts, some of which
 * may be unreachable: after a loss of power a timeout of 700 ms passed in full on nine of twelve VMs.
 */
export const PEEK_TIMEOUT_MS = 250;

/** Pause before a peek request is repeated at a process that holds no configuration, in milliseconds. */
export const PEEK_PAUSE_MS = PEEK_TIMEOUT_MS;

/** Shortest time between two readings of all replicas while no leader answers, in milliseconds. */
export const REPLICA_READ_INTERVAL_MS = 500;

/**
 * Time for which the held configuration is obeyed although a replica has a newer one that may have been confirmed, in
 * milliseconds: a confirmed one must be in force after it, and most elections are shorter.
 */
export const PENDING_CONFIG_GRACE_MS = 1_500;

/** Interval at which a replica sends bootstrap messages to seeds that hold no replica, in milliseconds. */
export const BOOTSTRAP_INTERVAL_MS = 250;

/** Timeout of a bootstrap message, in milliseconds: until the next one is due. */
export const BOOTSTRAP_TIMEOUT_MS = BOOTSTRAP_INTERVAL_MS;

/** Time after which the replicas named in a bootstrap message are forgotten, in milliseconds. */
export const BOOTSTRAP_TTL_MS = 10_000;

/** Pause before another VM is tried, in milliseconds: about a round trip between availability zones. */
export const RETRY_PAUSE_MS = 30;

/** Longest pause between retries under exponential backoff, in milliseconds. */
export const MAX_RETRY_PAUSE_MS = 250;

/** Default timeout of a single try of a call, in milliseconds. */
export const CALL_TIMEOUT_MS = 700;

/** Throughput assumed for slow links, in bytes per millisecond; extends the timeout of large calls. */
export const SLOW_LINK_BYTES_PER_MS = 1_600;

/** Total time for a call of an engine or the operator, in milliseconds; their own timeout is a second. */
export const CONTROL_CALL_TIMEOUT_MS = 850;

/** Total time for recording evidence on a suspect request, in milliseconds; outlasts a control group without a leader. */
export const SUSPECT_CALL_TIMEOUT_MS = 30_000;

/** Total time for asking for the trial of quarantined parts, in milliseconds; a caller waits meanwhile. */
export const TRIAL_CALL_TIMEOUT_MS = 1_000;

/** Total time for a caller's job call, in milliseconds; under half of the callers' own timeout. */
export const JOB_CALL_TIMEOUT_MS = 1_500;

/**
 * Timeout of the delivery of replication messages, in milliseconds: an election timeout, after which the group goes on
 * without the replica. A connection that receives nothing for this long is closed.
 */
export const DELIVERY_TIMEOUT_MS = 500;

/**
 * Timeout of the first answer on a new call connection, in milliseconds. A VM with 0.3 of a core answers nothing during its
 * first second, and each reconnection adds to its load: the 30 stores of a fleet of 200 VMs made 645 of them at a start.
 * Connections for replication messages don't use it.
 */
export const FIRST_ANSWER_TIMEOUT_MS = 2_000;

/** Duration from which a delivery is logged as slow, in milliseconds: heartbeats queue behind it. */
export const SLOW_DELIVERY_MS = 125;

/** Reports of an engine that must be missed before it counts as silent. */
export const MISSED_REPORTS = 3;

/**
 * Time without a heartbeat after which an entry VM is no longer listed to callers, in milliseconds: the hold of its own
 * watch request, the hold of the follower that forwards its heartbeat, and a margin for busy VMs.
 */
export const HEARTBEAT_TIMEOUT_MS = 2_000;

/** Time after which a new leader has received a heartbeat of every live process, in milliseconds. */
export const NEW_LEADER_SETTLE_MS = HEARTBEAT_TIMEOUT_MS;

/** Time for the transfer of leadership at a planned stop, in milliseconds; the successor starts its election at once. */
export const LEADER_HANDOVER_MS = 400;

/** Interval between checks of a group's members, in milliseconds. */
export const MEMBERSHIP_CHECK_MS = 250;

/** Time without a heartbeat after which a process is no candidate for membership, in milliseconds. */
export const CANDIDATE_TIMEOUT_MS = 1_500;

/**
 * Time without contact after which a replica is lost once its VM has reported another disk, in milliseconds. A new leader
 * measures it anew, and the replacement must be a voter before the next loss that the group is to survive, five seconds
 * after the first.
 */
export const REPLACED_DISK_TIMEOUT_MS = 500;

/**
 * Time without contact after which a caught-up learner replaces a voter, in milliseconds: longer than a restart, and
 * short enough to complete before the next loss that the group is to survive, five seconds after the first.
 */
export const VOTER_TIMEOUT_MS = 2_500;

/** Learners that a group keeps caught up beyond its voters. */
export const SPARE_LEARNERS = 1;

/** Interval between reports to the dispatcher while no count changes, in milliseconds. */
export const ONLINE_REPORT_INTERVAL_MS = 1_000;

/**
 * Report interval of a VM that serves requests, per entry VM of the fleet, in milliseconds. Scaling by the fleet's size
 * limits the total rate of reports to 250 a second.
 */
const REPORT_MS_PER_VM = 4;

/** Longest interval at which a serving VM still reports unchanged counts to receive those of the other VMs. */
const MAX_SERVING_INTERVAL_MS = 100;

/**
 * Longest time between reports to the dispatcher, in milliseconds.
 *
 * @param isServing whether this VM has online requests
 * @param entryVms entry VMs of the fleet
 */
export function onlineReportIntervalMs(isServing: boolean, entryVms: number): number {
  const intervalMs = REPORT_MS_PER_VM * Math.max(1, entryVms);
  return isServing && intervalMs <= MAX_SERVING_INTERVAL_MS
    ? intervalMs
    : ONLINE_REPORT_INTERVAL_MS;
}

/** Timeout of a report to the dispatcher, in milliseconds. */
export const ONLINE_REPORT_TIMEOUT_MS = 300;

/** Oldest configuration by which a path without a route is answered with 404, in milliseconds. */
export const ROUTE_MAX_AGE_MS = 700;

/**
 * Total time for asking the leader for the latest status, in milliseconds. It leaves room for one redirect to the leader
 * within the time that callers allow.
 */
export const CONFIRM_TIMEOUT_MS = 600;

/**
 * Age of the fleet status beyond which a VM refreshes its keys before it serves, in milliseconds: older than the status
 * is while followers forward it, and within the time in which a configuration must be in force.
 */
export const KEY_MAX_AGE_MS = 2_000;

/** Shortest time between two refreshes of stale keys, in milliseconds. */
export const KEY_REFRESH_PAUSE_MS = 1_000;

/** Retry-after time for callers while the latest configuration is not known, in milliseconds. */
export const CONFIG_RETRY_AFTER_MS = 500;

/**
 * Time for which callers may cache the addresses of entry VMs, in seconds. Each lookup may reach a lost VM and cost a second,
 * and a lost VM that is still cached costs as much once.
 */
export const ADDRESSES_TTL_S = 5;

/** Most addresses in one answer to a caller. */
export const MAX_ADDRESSES = 64;

/** Time that an idle connection is kept open beyond the configured timeout, in milliseconds. */
export const IDLE_MARGIN_MS = 2_000;

/**
 * Time before the end of the grace period from which a stopping process refuses new requests, in milliseconds, so that
 * accepted streams can finish; they take about one second.
 */
export const LAST_REQUEST_MARGIN_MS = 3_000;

/** Time before the end of the grace period at which a stopping process ends in any case, in milliseconds. */
export const SHUTDOWN_MARGIN_MS = 400;

/** Pause before a replica whose disk has failed is opened again, in milliseconds. */
export const DISK_REOPEN_PAUSE_MS = 1_000;
