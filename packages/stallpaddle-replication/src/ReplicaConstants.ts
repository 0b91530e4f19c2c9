/**
 * Fixed sizes of a replica's disk use.
 */

/** Size of the log file at which a snapshot replaces it, in bytes. */
export const LOG_BYTES_BEFORE_SNAPSHOT = 33_554_432;

/** Entries kept after a snapshot for replicas that lag a little, in bytes of commands. */
export const LOG_BYTES_KEPT = 4_194_304;

/** Size of one piece of a snapshot on its way, in bytes. */
export const SNAPSHOT_CHUNK_BYTES = 131_072;

/**
 * Time between looks whether the commit index has to be recorded by itself, in milliseconds: a quiet group
 * writes nothing that would carry it, and a restart should know it.
 */
export const COMMIT_RECORD_MS = 250;
