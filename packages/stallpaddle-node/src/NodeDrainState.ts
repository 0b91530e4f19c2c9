/**
 * Requests under way at a process, and whether it still takes more: it does at first, a stopping process
 * does for as long as a request may take before the end, and then no more.
 */
import type {Clock, MonotonicMs} from 'stallpaddle';

import {delay} from 'stallpaddle';

import {ADDRESSES_TTL_S, SHUTDOWN_MARGIN_MS, LAST_REQUEST_MARGIN_MS, SECOND_MS} from './NodeConstants';

/** Time between looks whether a stopping process is idle, in milliseconds. */
const IDLE_LOOK_MS = 50;
/** Some callers keep the addresses three times as long as they were told; in milliseconds. */
const ADDRESSES_KEPT_MS = 3 * SECOND_MS * ADDRESSES_TTL_S;

/** See the module's comment. */
export class NodeDrainState {
  private open = 0;
  private phase: 'leaving' | 'refusing' | 'serving' = 'serving';

  /**
   * @param clock this process's clock
   * @param graceMs time between the signal to stop and the end, in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly graceMs: number,
  ) {}

  /** Number of requests under way. */
  get openRequests(): number {
    return this.open;
  }

  /** Whether the process stops, so that callers should go elsewhere. */
  get isLeaving(): boolean {
    return this.phase !== 'serving';
  }

  /** Whether a request that comes now is refused. */
  get isRefusing(): boolean {
    return this.phase === 'refusing';
  }

  /**
   * Counts a request as under way until its work has ended.
   *
   * @param work serves the request
   * @throws what `work` throws
   */
  async count(work: () => Promise<void>): Promise<void> {
    this.open++;
    try {
      await work();
    } finally {
      this.open--;
    }
  }

  /** Begins to stop: requests that still come are served. */
  leave(): void {
    this.phase = 'leaving';
  }

  /** Waits until a request that comes now might be cut off at the end; from then on all are refused. */
  async untilLastRequests(): Promise<void> {
    await delay(Math.min(ADDRESSES_KEPT_MS, Math.max(0, this.graceMs - LAST_REQUEST_MARGIN_MS)));
    this.phase = 'refusing';
  }

  /** Waits until nothing is under way, or the end is near. */
  async untilIdle(): Promise<void> {
    const mostMs = Math.min(this.graceMs, LAST_REQUEST_MARGIN_MS) - SHUTDOWN_MARGIN_MS;
    const end: MonotonicMs = this.clock.monotonicMs() + mostMs;
    while (this.open > 0 && this.clock.monotonicMs() < end) {
      await delay(IDLE_LOOK_MS);
    }
  }
}
