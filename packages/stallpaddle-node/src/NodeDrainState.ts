/** Requests in flight and graceful shutdown. */
import type {Clock, MonotonicMs} from 'stallpaddle';

import {delay} from 'stallpaddle';

import {
  ADDRESSES_TTL_S,
  LAST_REQUEST_MARGIN_MS,
  SECOND_MS,
  SHUTDOWN_MARGIN_MS,
} from './NodeConstants';

/** Interval between checks whether a stopping process is idle, in milliseconds. */
const IDLE_CHECK_MS = 50;
/** Time for which callers may still use cached addresses, in milliseconds: some exceed the TTL up to three times. */
const ADDRESSES_CACHED_MS = 3 * SECOND_MS * ADDRESSES_TTL_S;

/**
 * Counts the requests in flight and tracks the phases of a graceful shutdown. A stopping process still serves new
 * requests while callers may have its address cached and there is time to finish them; after that it refuses them.
 */
export class NodeDrainState {
  private leftAt: MonotonicMs = Infinity;
  private open = 0;
  private phase: 'leaving' | 'refusing' | 'serving' = 'serving';

  /**
   * @param clock this process's clock
   * @param graceMs grace period between the signal to stop and the end, in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly graceMs: number,
  ) {}

  /** Number of requests in flight. */
  get openRequests(): number {
    return this.open;
  }

  /** Whether the process is stopping, so that callers should use other VMs. */
  get isLeaving(): boolean {
    return this.phase !== 'serving';
  }

  /** Whether new requests are refused. */
  get isRefusing(): boolean {
    return this.phase === 'refusing';
  }

  /**
   * Counts a request as in flight until its work has ended.
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

  /** Begins the shutdown; new requests are still served. */
  leave(): void {
    this.leftAt = this.clock.monotonicMs();
    this.phase = 'leaving';
  }

  /**
   * Whether a request that takes some time ends before this process does.
   *
   * @param ms the time, in milliseconds
   */
  hasTimeFor(ms: number): boolean {
    const spentMs = Math.max(0, this.clock.monotonicMs() - this.leftAt);
    return !this.isLeaving || spentMs + ms <= this.graceMs - SHUTDOWN_MARGIN_MS;
  }

  /** Waits until a new request might not finish within the grace period, then refuses new requests. */
  async untilLastRequests(): Promise<void> {
    await delay(Math.min(ADDRESSES_CACHED_MS, Math.max(0, this.graceMs - LAST_REQUEST_MARGIN_MS)));
    this.phase = 'refusing';
  }

  /**
   * Waits until no request is in flight and all responses are sent, or the grace period is nearly over.
   *
   * @param unsentResponses number of responses that have not been sent in full
   */
  async untilIdle(unsentResponses: () => number): Promise<void> {
    const timeoutMs = Math.min(this.graceMs, LAST_REQUEST_MARGIN_MS) - SHUTDOWN_MARGIN_MS;
    const end: MonotonicMs = this.clock.monotonicMs() + timeoutMs;
    while (this.open + unsentResponses() > 0 && this.clock.monotonicMs() < end) {
      await delay(IDLE_CHECK_MS);
    }
  }
}
