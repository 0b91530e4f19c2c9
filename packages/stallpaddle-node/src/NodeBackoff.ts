/** Exponential backoff with jitter. */
import type {Random} from 'stallpaddle';

import {MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS} from './NodeConstants';

/** Fraction of each pause that is random, so that processes which failed together don't retry together. */
const JITTER = 0.5;

/**
 * Computes the pause before the next retry: it doubles after each failure up to a maximum. Without it, the retries of a
 * whole fleet that has no leader would overload the VMs that are electing one: 200 processes that retry every 30 ms.
 */
export class NodeBackoff {
  private failures = 0;

  /**
   * @param random source of the jitter
   */
  constructor(private readonly random: Random = Math.random) {}

  /** The pause before the next retry, in milliseconds. */
  nextMs(): number {
    const longest = Math.min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS * 2 ** this.failures);
    this.failures++;
    return longest * (1 - JITTER * this.random());
  }

  /** Starts again with the shortest pause, after a success. */
  reset(): void {
    this.failures = 0;
  }
}
