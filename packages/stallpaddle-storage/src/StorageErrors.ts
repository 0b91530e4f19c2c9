/**
 * Errors of durable state. They are fatal to the replica.
 */

/** Thrown when synced data does not read back as it was written. */
export class CorruptionError extends Error {
  override readonly name = 'CorruptionError';

  /**
   * @param file the file's name
   * @param offset offset of the corrupt record, in bytes
   * @param reason why it is corrupt
   */
  constructor(
    readonly file: string,
    readonly offset: number,
    reason: string,
  ) {
    super(`file ${file} is corrupt at byte ${offset}: ${reason}`);
  }
}
