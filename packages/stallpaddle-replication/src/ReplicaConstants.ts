/**
 * Limits of a replica's disk use.
 */

/** Size of the log file above which a snapshot is taken and the log restarted, in bytes. */
export const LOG_BYTES_BEFORE_SNAPSHOT = 33_554_432;

/** Entries kept after a snapshot for replicas that lag slightly, in bytes of commands. */
export const LOG_BYTES_KEPT = 4_194_304;

/** Size of one chunk of a snapshot transfer, in bytes. */
export const SNAPSHOT_CHUNK_BYTES = 131_072;

/**
 * Interval at which the commit index is written on its own, in milliseconds. An idle group writes nothing else that
 * would carry it, and a restart should know it.
 */
export const COMMIT_RECORD_MS = 250;
