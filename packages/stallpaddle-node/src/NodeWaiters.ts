/** Waits that end early on a change. */

/** Lets several tasks wait for a change with a timeout. */
export class NodeWaiters {
  private readonly waiting = new Set<() => void>();

  /**
   * Waits for the next call of `wakeAll`.
   *
   * @param timeoutMs longest wait, in milliseconds
   */
  wait(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.waiting.add(wake);
    });
  }

  /** Ends all pending waits. */
  wakeAll(): void {
    [...this.waiting].forEach((wake) => wake());
  }
}
