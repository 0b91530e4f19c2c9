/**
 * Fixed numbers of the replication package.
 */
import type {ReplicationTiming} from './ReplicationTypes';

/** Most bytes of commands in one append, in bytes; keeps heartbeats from waiting behind bulk. */
export const MAX_APPEND_BYTES = 1_048_576;

/**
 * The same for a replica that has not answered for an election timeout, in bytes: it gets the same entries
 * with each heartbeat, and most of them wait on a connection that leads nowhere.
 */
export const MAX_PROBE_BYTES = 65_536;

/** Times for replicas a few milliseconds apart, in milliseconds. */
export const DEFAULT_TIMING: ReplicationTiming = {
  electionTimeoutMs: 800,
  heartbeatMs: 200,
  leaseDriftFraction: 0.2,
};
