/**
 * Fixed numbers of the batch dispatcher.
 */

/** Slots of each engine that items never get, so that an online request finds one free at once (`docs/design/POLICY.md`). */
export const RESERVED_SLOTS = 1;

/**
 * Oldest knowledge of the fleet with which an item may start, in milliseconds: half of the shortest time
 * (2 s) in which an engine that leaves must get nothing more.
 */
export const MAX_VIEW_AGE_MS = 1_000;

/**
 * Most items that begin in one turn of the process, those that are still being read among them. Each costs about a millisecond on a VM of 0.8 cores (167 ms were seen
 * right after an election, with 180 items), and heartbeats go between turns.
 */
export const MAX_STARTS_PER_PASS = 16;

/** Longest wait for an item's first event, in milliseconds; a full engine needs well under one second. */
export const FIRST_EVENT_TIMEOUT_MS = 2_000;

/**
 * Longest pause between an item's events, in milliseconds: some fifty times the usual one, and a loss of
 * little, since it goes on elsewhere.
 */
export const EVENT_TIMEOUT_MS = 1_000;

/** Silence of all items of an engine at once after which nothing more is sent there, in milliseconds. */
export const ENGINE_STALL_MS = 300;

/**
 * Time between records of what runs have brought, in milliseconds. A leader that is lost costs at most
 * that much of each run; each record costs 150 KB at 48 runs.
 */
export const SAVE_INTERVAL_MS = 1_500;

/**
 * Size from which a record of what runs have brought is full, in bytes of output: half of what goes to a replica at
 * once. One record of 300 runs had 800 KB and kept everything else waiting for half a second.
 */
export const TARGET_COMMAND_BYTES = 65_536;

/** Time between looks whether an item that is kept off the engines may run again, in milliseconds: it is kept off for seconds or minutes. */
export const QUARANTINE_CHECK_MS = 1_000;

/** Pause before an item that an engine declined is tried again, in milliseconds. */
export const RETRY_DELAY_MS = 100;

/** Longest silence of an entry VM for which its online requests count, in milliseconds: three words of an idle one. */
export const ONLINE_COUNTS_TTL_MS = 3_000;

/**
 * Shortest time between two looks at everything, in milliseconds. What gives way to an online request is cut at once; a
 * slot that is free waits this long for an item, 1% of the time an online request holds it. A look at 360 runs and some
 * hundred waiting items takes about a millisecond, and words of entry VMs came 560 times a second.
 */
export const MIN_PASS_INTERVAL_MS = 10;

/** Time between looks at items' ages, and between the group clock's ticks, in milliseconds. */
export const MAINTENANCE_INTERVAL_MS = 500;

/** Pause before an item's end that was not recorded is proposed again, in milliseconds. */
export const PROPOSE_RETRY_MS = 50;

/** Most bytes of texts in one answer: the interface's own limit of 1 MB, less room for its frame. */
export const MAX_RESULT_BYTES = 700_000;
