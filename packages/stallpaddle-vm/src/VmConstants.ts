/** Timeouts and intervals of the VM process, in milliseconds unless stated otherwise. */

export const CONTROL_GROUP = 'control';

/** Total time for a call to a group, over all attempts. */
export const GROUP_CALL_TIMEOUT_MS = 5_000;

/** Timeout of one attempt of a call to a group. */
export const GROUP_TRY_TIMEOUT_MS = 1_500;

/** Pause before the next attempt. */
export const GROUP_RETRY_MS = 30;

/** How long a VM with a disk holds the response to a heartbeat while nothing changes. */
export const HEARTBEAT_HOLD_MS = 500;

/** Timeout of a heartbeat call, after which the next VM is called. */
export const HEARTBEAT_CALL_TIMEOUT_MS = 1_200;

/** Minimum time between two heartbeats of a VM. */
export const HEARTBEAT_PAUSE_MS = 50;

/** Interval at which a VM polls the engines that it owns. */
export const ENGINE_POLL_MS = 150;

/** Timeout of an engine's status call. */
export const ENGINE_STATUS_TIMEOUT_MS = 500;

/** Age from which a load report is no longer forwarded. */
export const LOAD_TTL_MS = 3_000;

/** Interval at which engines are reconciled with the configuration. */
export const ORDERS_INTERVAL_MS = 500;

/** How long a new leader waits before it sends orders to engines that check no fencing token:
 * covers the previous leader's lease and its longest send. */
export const ORDER_TAKEOVER_MS = 3_000;

/** Interval of the leader duties. */
export const DUTIES_INTERVAL_MS = 200;

/** Interval at which each shard drops expired uploads and call records. */
export const MAINTENANCE_INTERVAL_MS = 60_000;

/** Pause between attempts to initialize a group. */
export const INITIALIZE_RETRY_MS = 100;

/** Interval at which replica replacements are advanced. */
export const REPLACE_INTERVAL_MS = 300;

/** Interval at which the platform's list of VMs is read. */
export const PLATFORM_POLL_MS = 1_000;

/** Timeout for reading the platform's list of VMs. */
export const PLATFORM_TIMEOUT_MS = 2_000;

/** Interval at which the count of online streams on an engine is reported again. */
export const ONLINE_REPORT_INTERVAL_MS = 700;

/** Timeout of a report of online streams. */
export const ONLINE_REPORT_TIMEOUT_MS = 300;
