/**
 * Times of membership.
 */

/** Time between a VM's beats, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** Silence after which a VM counts as gone, in milliseconds. */
export const VM_LOST_AFTER_MS = 2_000;

/** Silence after which a VM is forgotten, in milliseconds. */
export const VM_REMOVE_AFTER_MS = 600_000;

/** How long callers may keep the addresses, in milliseconds. */
export const ADDRESSES_TTL_MS = 2_000;

/** Age of the configuration after which a VM takes no new work, in milliseconds. */
export const MAX_CONFIG_AGE_MS = 6_000;

/** Most addresses in one answer. */
export const MAX_ADDRESSES = 8;
