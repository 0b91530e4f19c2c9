/**
 * Pauses before the next try of something that nobody answers: each twice as long as the last, a part of it by chance.
 * While nobody leads yet, 200 processes that ask every 30 ms would keep the VMs that are about to lead from starting.
 */
import type {Random} from 'stallpaddle';

import {MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS} from './NodeConstants';

/** Part of each pause that is drawn by chance, so that processes which failed together don't come back together. */
const DRAWN_PART = 0.5;

/** See the module's comment. */
export class NodeBackoff {
  private failures = 0;

  /**
   * @param random source of the drawn part
   */
  constructor(private readonly random: Random = Math.random) {}

  /** The pause before the next try, in milliseconds. */
  nextMs(): number {
    const longest = Math.min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS * 2 ** this.failures);
    this.failures++;
    return longest * (1 - DRAWN_PART * this.random());
  }

  /** A try was answered: the next failure is followed by a short pause again. */
  reset(): void {
    this.failures = 0;
  }
}
