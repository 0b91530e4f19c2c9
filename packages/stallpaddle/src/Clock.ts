/**
 * Time, injected everywhere so that tests can drive it.
 */

/** Milliseconds from an arbitrary origin; never goes back. */
export type MonotonicMs = number;

/** Source of both kinds of time. */
export interface Clock {
  /** Monotonic time for leases, timeouts and measurements. */
  readonly monotonicMs: () => MonotonicMs;
  /** Wall time, in milliseconds since 1970, for records that people read. */
  readonly wallMs: () => number;
}

/** The machine's own clocks. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/**
 * Resolves after a delay.
 *
 * @param ms delay in milliseconds
 * @param signal ends the wait early
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

/**
 * Calls back after a time, once what had come by then was taken in. Timers run before sockets are read, so a process that was
 * held up would else take its own lateness for others' silence.
 *
 * @param ms time in milliseconds
 * @param listener what to call
 * @returns ends the wait
 */
export function registerTimeout(ms: number, listener: () => void): () => void {
  let looked: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    looked = setImmediate(listener);
  }, ms);
  return () => {
    clearTimeout(timer);
    clearImmediate(looked);
  };
}

/** A signal that fires after a time, unless it is disposed of first. */
export interface Deadline {
  /** Must be called once the work has ended, so that no timer is left. */
  readonly dispose: () => void;
  readonly signal: AbortSignal;
}

/**
 * Makes a signal that fires after a time or with another signal.
 *
 * @param ms time in milliseconds
 * @param parent fires it earlier
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
