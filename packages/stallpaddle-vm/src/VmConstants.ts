/**
 * Times of the VM process, in milliseconds unless said otherwise.
 */

/** Name of the control group. */
export const CONTROL_GROUP = 'control';

/** How long a call to a group is tried before it is refused. */
export const GROUP_CALL_TIMEOUT_MS = 5_000;

/** Longest single try of a call to a group. */
export const GROUP_TRY_TIMEOUT_MS = 1_500;

/** Pause before the next try. */
export const GROUP_RETRY_MS = 30;

/** How long a VM with a disk holds a beat while it has nothing new to tell. */
export const HEARTBEAT_HOLD_MS = 500;

/** Longest beat, after which another VM is asked. */
export const HEARTBEAT_CALL_TIMEOUT_MS = 1_200;

/** Shortest time between a VM's beats. */
export const HEARTBEAT_PAUSE_MS = 50;

/** Time between an owner's looks at its engines. */
export const ENGINE_POLL_MS = 150;

/** Longest wait for an engine's report. */
export const ENGINE_STATUS_TIMEOUT_MS = 500;

/** Age of a load report that is not passed on any more. */
export const LOAD_TTL_MS = 3_000;

/** Time between looks at engines' targets. */
export const ORDERS_INTERVAL_MS = 500;

/** What a new issuer waits before it orders engines that check no fencing number: the old one's
 * lease and its longest send. */
export const ORDER_TAKEOVER_MS = 3_000;

/** Time between looks at what leaders have to do on their own. */
export const DUTIES_INTERVAL_MS = 200;

/** Time between looks for old uploads and call records in each shard. */
export const MAINTENANCE_INTERVAL_MS = 60_000;

/** Time between tries to found a group. */
export const INITIALIZE_RETRY_MS = 100;

/** Time between looks at replacements of replicas. */
export const REPLACE_INTERVAL_MS = 300;

/** Time between looks at the platform's list. */
export const PLATFORM_POLL_MS = 1_000;

/** Longest read of the platform's list. */
export const PLATFORM_TIMEOUT_MS = 2_000;

/** Time after which online streams on an engine are told again. */
export const ONLINE_REPORT_INTERVAL_MS = 700;

/** Longest call that tells of online streams. */
export const ONLINE_REPORT_TIMEOUT_MS = 300;
