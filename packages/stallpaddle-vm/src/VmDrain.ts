/**
 * Waits for open requests before a planned stop, and says what it still waits for.
 */
import type {Clock, Logger} from 'stallpaddle';

import {delay} from 'stallpaddle';

const LOOK_MS = 50;
const TELL_MS = 2_000;

/** What the wait looks at. */
export interface DrainOptions {
  readonly clock: Clock;
  /** Closes connections on which nothing is open. */
  readonly closeIdle: () => void;
  readonly logger: Logger;
  /** Longest wait, in milliseconds. */
  readonly mostMs: number;
  readonly openRequests: () => number;
}

/**
 * Waits until no request is open, or the time is over.
 *
 * @param options what the wait looks at
 */
export async function waitForRequests(options: DrainOptions): Promise<void> {
  const {clock, closeIdle, logger, mostMs, openRequests} = options;
  const startedAt = clock.monotonicMs();
  let toldAt = startedAt;
  while (openRequests() > 0) {
    const now = clock.monotonicMs();
    if (now - startedAt >= mostMs) {
      logger.warn('The drain time is over.', {cutOff: openRequests()});
      return;
    }
    if (now - toldAt >= TELL_MS) {
      toldAt = now;
      logger.info('The VM still waits.', {openRequests: openRequests()});
    }
    closeIdle();
    await delay(LOOK_MS);
  }
}
