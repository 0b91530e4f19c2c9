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
export const ALIVE_HEARTBEATS = 1.25;

/** Times for replicas a few milliseconds apart, in milliseconds. */
export const DEFAULT_TIMING: ReplicationTiming = {
  electionTimeoutMs: 800,
  heartbeatMs: 200,
  leaseDriftFraction: 0.2,
};
