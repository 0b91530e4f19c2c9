/**
 * Waits that a change may end before their time is over.
 */

/** See the module's comment. */
export class NodeWaiters {
  private readonly waiting = new Set<() => void>();

  /**
   * Waits for the next call of `wakeAll`.
   *
   * @param mostMs longest wait, in milliseconds
   */
  wait(mostMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, mostMs);
      this.waiting.add(wake);
    });
  }

  /** Ends all waits under way. */
  wakeAll(): void {
    [...this.waiting].forEach((wake) => wake());
  }
}
