/**
 * Answers watch requests by long polling.
 */
import type {Clock} from 'stallpaddle';

import {
  type FleetConfig,
  FleetHistory,
  type KnownVersions,
  type NumberedStatus,
  type WatchAnswer,
} from 'stallpaddle-fleet';

import {NodeWaiters} from './NodeWaiters';

/** What is published besides the fleet status. */
export interface PublishedState {
  /** Age of the published data, in milliseconds. */
  readonly ageMs: number;
  readonly config: FleetConfig | null;
}

/**
 * Holds the published fleet status and answers watch requests: at once to processes that lack a part of it, else when it
 * changes or their waiting time is over. Used by the control group's leader and by followers that forward its status.
 */
export class NodeStatusPublisher {
  private readonly history = new FleetHistory();
  private readonly waiters = new NodeWaiters();

  /**
   * @param clock this process's clock
   * @param read reads what is published besides the status; throws while nothing may be published
   */
  constructor(
    private readonly clock: Clock,
    private readonly read: () => PublishedState,
  ) {}

  /** The latest status, once there is one. */
  get latest(): NumberedStatus | undefined {
    return this.history.latest;
  }

  /**
   * Publishes a status, and answers all waiting requests.
   *
   * @param numbered the status with its number
   */
  publish(numbered: NumberedStatus): void {
    this.history.put(numbered);
    this.wakeAll();
  }

  /** Rechecks all waiting requests: the configuration has changed, or nothing may be published any more. */
  wakeAll(): void {
    this.waiters.wakeAll();
  }

  /**
   * Answers a watch request.
   *
   * @param known versions that the asking process holds
   * @param waitMs longest time to hold the answer while there is nothing new, in milliseconds
   * @throws what `read` throws
   */
  async answer(known: KnownVersions, waitMs: number): Promise<WatchAnswer> {
    const arrivedAt = this.clock.monotonicMs();
    for (;;) {
      const heldMs = this.clock.monotonicMs() - arrivedAt;
      const answer = this.answerNow(known, heldMs);
      const isNew = answer.config !== null || answer.update.kind !== 'same';
      if (isNew || heldMs >= waitMs) {
        return answer;
      }
      await this.waiters.wait(waitMs - heldMs);
    }
  }

  private answerNow(known: KnownVersions, heldMs: number): WatchAnswer {
    const {ageMs, config} = this.read();
    const {latest} = this.history;
    const isNewer = config !== null && config.version > (known.config ?? -Infinity);
    return {
      ageMs,
      config: isNewer ? config : null,
      fleet: latest?.fleet ?? known.fleet,
      heldMs,
      proven: true,
      term: latest?.term ?? known.term,
      update: this.history.updateFor(known),
    };
  }
}
