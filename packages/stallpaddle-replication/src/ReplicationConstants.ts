/**
 * Fixed numbers of the replication package.
 */
import type {ReplicationTiming} from './ReplicationTypes';

/** Most bytes of commands in one append, in bytes; keeps heartbeats from waiting behind bulk. */
export const MAX_APPEND_BYTES = 1_048_576;

/**
 * The same while it is not known which entries a replica holds, in bytes: it gets them again with each heartbeat until
 * it answers, and those to a replica that doesn't wait on a connection that leads nowhere.
 */
export const MAX_PROBE_BYTES = 65_536;

/**
 * Heartbeats for which a replica may answer nothing before it is told apart from appends that the leader lives. A lease
 * is 3.2 heartbeats long, so two such words fit into it; one heartbeat would send them all the time.
 */
export const ALIVE_AFTER_HEARTBEATS = 1.25;

/**
 * Election timeouts for which commands may wait without any being recorded, though a majority answers that it lives. At
 * the slowest links that were seen (1.6 KB a millisecond) 8 MB get through in ten timeouts of 0.5 s, twice the largest
 * command of callers. A leader whose log reaches nobody for longer makes way for one that may reach them.
 */
export const STALLED_COMMIT_TIMEOUTS = 10;

/** Election timeouts for which a leader that gave up so leaves the election to others; they stand within two. */
export const STEP_DOWN_BACKOFF_TIMEOUTS = 2;

/** Times for replicas a few milliseconds apart, in milliseconds. */
export const DEFAULT_TIMING: ReplicationTiming = {
  electionTimeoutMs: 800,
  heartbeatMs: 200,
  leaseDriftFraction: 0.2,
};
