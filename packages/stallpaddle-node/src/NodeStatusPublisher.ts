/**
 * Answers questions for news: at once to whoever lacks some, else when there are some or its time is over. Used by the
 * control group's leader and by replicas that pass on what it told them.
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

/** What is known beside the news, at one moment. */
export interface PublishedState {
  /** Age of what is known, in milliseconds. */
  readonly ageMs: number;
  readonly config: FleetConfig | null;
}

/** See the module's comment. */
export class NodeStatusPublisher {
  private readonly history = new FleetHistory();
  private readonly waiters = new NodeWaiters();

  /**
   * @param clock this process's clock
   * @param read what is known now; throws while it may not be told
   */
  constructor(
    private readonly clock: Clock,
    private readonly read: () => PublishedState,
  ) {}

  /** The latest news, once there are some. */
  get latest(): NumberedStatus | undefined {
    return this.history.latest;
  }

  /**
   * Adds news, and answers all who wait.
   *
   * @param numbered the news
   */
  publish(numbered: NumberedStatus): void {
    this.history.put(numbered);
    this.wakeAll();
  }

  /** Lets all who wait look again: the configuration has changed, or nothing may be told any more. */
  wakeAll(): void {
    this.waiters.wakeAll();
  }

  /**
   * Answers a question.
   *
   * @param known what the process holds
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
