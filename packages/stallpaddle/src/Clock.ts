/**
 * Clocks, delays and deadlines. Clocks are injected so that tests can control time.
 */

/** Milliseconds from an arbitrary origin; never decreases. */
export type MonotonicMs = number;

/** Longest delay of a timer, in milliseconds, about 25 days: Node runs timers with a longer one at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1;

/** Source of monotonic and wall time. */
export interface Clock {
  /** Monotonic time for leases, timeouts and measurements. */
  readonly monotonicMs: () => MonotonicMs;
  /** Wall time, in milliseconds since 1970, for records that people read. */
  readonly wallMs: () => number;
}

/** The clocks of the operating system. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/**
 * Resolves after a delay.
 *
 * @param ms delay in milliseconds
 * @param signal ends the delay early
 */
export function delay(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', done);
      resolve();
    };
    const timer = setTimeout(done, ms);
    signal?.addEventListener('abort', done);
    if (signal?.aborted) {
      done();
    }
  });
}

/** A timeout that can begin anew, which costs less than another timeout. */
export interface Timeout {
  /** Cancels the timeout. */
  readonly cancel: () => void;
  /** Begins the timeout anew; must not be called after it was cancelled or has called its listener. */
  readonly restart: () => void;
}

/**
 * Calls a listener after a time, once data that arrived by then has been read. Timers run before sockets are read, so
 * a process that was paused itself would otherwise report a timeout although the data had arrived.
 *
 * @param ms time in milliseconds
 * @param listener function to call
 */
export function startTimeout(ms: number, listener: () => void): Timeout {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(listener);
  }, ms);
  return {
    cancel: () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    },
    restart: () => {
      clearImmediate(immediate);
      timer.refresh();
    },
  };
}

/**
 * Calls a listener after a time, as {@link startTimeout} does.
 *
 * @param ms time in milliseconds
 * @param listener function to call
 * @returns cancels the timeout
 */
export function registerTimeout(ms: number, listener: () => void): () => void {
  return startTimeout(ms, listener).cancel;
}

/** A signal that aborts after a time, unless it is disposed of first. */
export interface Deadline {
  /** Clears the timer; must be called once the work has ended. */
  readonly dispose: () => void;
  readonly signal: AbortSignal;
}

/**
 * Creates a signal that aborts after a time or together with another signal.
 *
 * @param ms time in milliseconds
 * @param parent signal that aborts it earlier
 */
export function startDeadline(ms: number, parent?: AbortSignal): Deadline {
  const aborter = new AbortController();
  const abort = (): void => aborter.abort();
  const timer = setTimeout(abort, Math.max(0, ms));
  parent?.addEventListener('abort', abort);
  if (parent?.aborted === true) {
    abort();
  }
  return {
    dispose: () => {
      clearTimeout(timer);
      parent?.removeEventListener('abort', abort);
    },
    signal: aborter.signal,
  };
}
