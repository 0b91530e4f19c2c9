/**
 * Errors of durable state. Each of them ends the replica: none is ever skipped.
 */

/** Bytes that were synced once no longer read back as written. */
export class CorruptionError extends Error {
  override readonly name = 'CorruptionError';

  /**
   * @param file the file's name
   * @param offset where the bad record begins, in bytes
   * @param reason what does not hold
   */
  constructor(
    readonly file: string,
    readonly offset: number,
    reason: string,
  ) {
    super(`file ${file} is corrupt at byte ${offset}: ${reason}`);
  }
}
