/**
 * Limits and default timing of the replication protocol.
 */
import type {ReplicationTiming} from './ReplicationTypes';

/** Maximum size of the commands in one append, in bytes; keeps heartbeats from queueing behind large appends. */
export const MAX_APPEND_BYTES = 1_048_576;

/**
 * Maximum size of the commands in a probe, in bytes. A probe is repeated with each heartbeat until it is answered, so
 * large entries would pile up on a connection that is stalled.
 */
export const MAX_PROBE_BYTES = 65_536;

/**
 * Heartbeat intervals without an acknowledgement after which the leader sends an `alive` message. Two of them fit into
 * a lease of 3.2 heartbeats; at one heartbeat they would be sent all the time.
 */
export const ALIVE_AFTER_HEARTBEATS = 1.25;

/**
 * Election timeouts for which uncommitted commands may wait without progress before the leader steps down, even if a
 * majority acknowledges its `alive` messages. Over a link of 1.6 KB/ms, the slowest observed, 8 MB pass in ten timeouts of
 * 0.5 s: twice the largest command of callers.
 */
export const STALLED_COMMIT_TIMEOUTS = 10;

/**
 * Election timeouts for which a leader that stepped down for lack of progress lets the other replicas run for election
 * first.
 */
export const STEP_DOWN_BACKOFF_TIMEOUTS = 2;

/** Timing for replicas whose network latency is a few milliseconds. */
export const DEFAULT_TIMING: ReplicationTiming = {
  electionTimeoutMs: 800,
  heartbeatMs: 200,
  leaseDriftFraction: 0.2,
};
