/**
 * Numbers the changes of named values, so that a peer that knows an earlier number gets only what has changed since.
 */
export class JobsChangeLog {
  private readonly changedAt = new Map<string, number>();
  private changes = 0;

  /** Rises with each change. */
  get version(): number {
    return this.changes;
  }

  /**
   * Records a change.
   *
   * @param name the changed value
   */
  note(name: string): void {
    this.changedAt.delete(name);
    this.changedAt.set(name, ++this.changes);
  }

  /** Number of values that have changed and were not forgotten. */
  get size(): number {
    return this.changedAt.size;
  }

  /** Names of all values that have changed since the start and were not forgotten, the latest change last. */
  names(): readonly string[] {
    return [...this.changedAt.keys()];
  }

  /**
   * Forgets the changes of a value that is no longer used.
   *
   * @param name the value
   */
  forget(name: string): void {
    this.changedAt.delete(name);
  }

  /**
   * Names of the values that have changed.
   *
   * @param version only changes after this version count
   */
  changedSince(version: number): readonly string[] {
    if (version === this.changes) {
      return [];
    }
    return [...this.changedAt].filter(([, at]) => at > version).map(([name]) => name);
  }
}
