/**
 * Intervals and timeouts of the membership protocol.
 */

/** Time between a VM's heartbeats, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** Time without a heartbeat after which a VM counts as lost, in milliseconds. */
export const VM_LOST_AFTER_MS = 2_000;

/** Time without a heartbeat after which a VM is removed from the view, in milliseconds. */
export const VM_REMOVE_AFTER_MS = 600_000;

/** How long callers may cache the addresses, in milliseconds. */
export const ADDRESSES_TTL_MS = 2_000;

/** Age of the configuration beyond which a VM accepts no new work, in milliseconds. */
export const MAX_CONFIG_AGE_MS = 6_000;

/** Most addresses in one response. */
export const MAX_ADDRESSES = 8;
