/**
 * Answers entry VMs that tell their online requests and ask for those of the others, while this process runs the
 * batch items. News of counts are gathered for a moment, so that a burst of requests doesn't cost one message to
 * every VM each.
 */
import type {Clock, MonotonicMs} from 'stallpaddle';
import type {JobsDispatcher, JobsRequest, OnlineAnswer} from 'stallpaddle-jobs';

import {NodeWaiters} from './NodeWaiters';

/**
 * Shortest time between two answers to one VM, in milliseconds. In a burst of 50 requests a second one request
 * comes or ends each 10 ms, so counts are two requests old at most.
 */
const GATHER_MS = 20;
/**
 * Time for each VM that is told, in milliseconds: it bounds the dispatcher's answers to 1,000 a second, at about
 * 40 us each.
 */
const GATHER_MS_PER_VM = 1;

type Tell = Extract<JobsRequest, {kind: 'tellOnline'}>;
type Watch = Extract<JobsRequest, {kind: 'watchOnline'}>;

/** See the module's comment. */
export class NodeOnlineDesk {
  /** Version of the counts that watches have been told. */
  private published = 0;
  private publishedAt: MonotonicMs = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private readonly waiters = new NodeWaiters();

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Takes in a VM's counts.
   *
   * @param request its words
   * @param dispatcher runs the items
   */
  tell({own, sender, sequence}: Tell, dispatcher: JobsDispatcher): OnlineAnswer {
    dispatcher.online.learn(sender, sequence, own);
    dispatcher.poke();
    this.publishSoon(dispatcher);
    return this.answerTo(sender, dispatcher);
  }

  /**
   * Answers once there is something new.
   *
   * @param request who asks, and what it knows
   * @param dispatcher runs the items
   */
  async watch({known, sender, waitMs}: Watch, dispatcher: JobsDispatcher): Promise<OnlineAnswer> {
    const end = this.clock.monotonicMs() + waitMs;
    for (let left = waitMs; left > 0 && known === this.published;) {
      await this.waiters.wait(left);
      left = end - this.clock.monotonicMs();
    }
    return this.answerTo(sender, dispatcher);
  }

  private answerTo(sender: string, dispatcher: JobsDispatcher): OnlineAnswer {
    const others = dispatcher.online.totals(sender);
    return {others, suspects: dispatcher.silentEngines(), version: this.published};
  }

  private publishSoon(dispatcher: JobsDispatcher): void {
    const {online} = dispatcher;
    if (this.timer !== undefined || online.version === this.published) {
      return;
    }
    const gatherMs = Math.max(GATHER_MS, GATHER_MS_PER_VM * online.senderCount);
    const waitMs = Math.max(0, this.publishedAt + gatherMs - this.clock.monotonicMs());
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.published = online.version;
      this.publishedAt = this.clock.monotonicMs();
      this.waiters.wakeAll();
    }, waitMs);
  }
}
