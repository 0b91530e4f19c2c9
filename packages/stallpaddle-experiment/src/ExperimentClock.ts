/**
 * Simulated clock of the experiment.
 */

interface Scheduled {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs scheduled events in order of time, in milliseconds; events of the same time run in scheduling order. */
export class ExperimentClock {
  now = 0;
  private readonly heap: Scheduled[] = [];
  private order = 0;

  /**
   * Schedules a callback.
   *
   * @param ms delay
   * @param run callback
   */
  after(ms: number, run: () => void): void {
    this.push({at: this.now + Math.max(0, ms), order: this.order++, run});
  }

  /**
   * Schedules a callback periodically.
   *
   * @param ms period
   * @param run callback
   */
  every(ms: number, run: () => void): void {
    const again = (): void => {
      run();
      this.after(ms, again);
    };
    this.after(ms, again);
  }

  /**
   * Runs all events up to and including a time, then sets the clock to it.
   *
   * @param until end time, in milliseconds
   */
  runUntil(until: number): void {
    while (this.heap.length > 0 && this.heap[0]!.at <= until) {
      const next = this.pop();
      this.now = next.at;
      next.run();
    }
    this.now = until;
  }

  private static before(a: Scheduled, b: Scheduled): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private push(event: Scheduled): void {
    const {heap} = this;
    let at = heap.length;
    heap.push(event);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!ExperimentClock.before(event, heap[parent]!)) {
        break;
      }
      heap[at] = heap[parent]!;
      at = parent;
    }
    heap[at] = event;
  }

  private pop(): Scheduled {
    const {heap} = this;
    const top = heap[0]!;
    const last = heap.pop()!;
    let at = 0;
    for (;;) {
      let child = at * 2 + 1;
      if (child >= heap.length) {
        break;
      }
      if (child + 1 < heap.length && ExperimentClock.before(heap[child + 1]!, heap[child]!)) {
        child++;
      }
      if (!ExperimentClock.before(heap[child]!, last)) {
        break;
      }
      heap[at] = heap[child]!;
      at = child;
    }
    if (heap.length > 0) {
      heap[at] = last;
    }
    return top;
  }
}
