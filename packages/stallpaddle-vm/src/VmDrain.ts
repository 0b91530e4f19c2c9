/** Draining of open requests before a planned stop. */
import type {Clock, Logger} from 'stallpaddle';

import {delay} from 'stallpaddle';

const POLL_MS = 50;
const LOG_INTERVAL_MS = 2_000;

/** Inputs of the wait. */
export interface DrainOptions {
  readonly clock: Clock;
  /** Closes idle connections. */
  readonly closeIdle: () => void;
  readonly logger: Logger;
  /** Longest wait, in milliseconds. */
  readonly maxMs: number;
  readonly openRequests: () => number;
}

/**
 * Waits until no request is open or the drain time has passed.
 *
 * @param options inputs of the wait
 */
export async function waitForRequests(options: DrainOptions): Promise<void> {
  const {clock, closeIdle, logger, maxMs, openRequests} = options;
  const startedAt = clock.monotonicMs();
  let loggedAt = startedAt;
  while (openRequests() > 0) {
    const now = clock.monotonicMs();
    if (now - startedAt >= maxMs) {
      logger.warn('The drain time has passed; open requests will be cut off.', {
        cutOff: openRequests(),
      });
      return;
    }
    if (now - loggedAt >= LOG_INTERVAL_MS) {
      loggedAt = now;
      logger.info('The VM is waiting for open requests.', {openRequests: openRequests()});
    }
    closeIdle();
    await delay(POLL_MS);
  }
}
