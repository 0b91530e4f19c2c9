/**
 * Tells the dispatcher of batch items how many online requests this VM has at each engine, one call at a time: what
 * changes meanwhile goes with the next. The answer brings those of the other VMs. Words that only tell of ends are not
 * answered: one that is lost is made good by the next, after a second at most.
 */
import type {MonotonicMs} from 'stallpaddle';
import type {JobsRequest, OnlineAnswer, OnlineVersion} from 'stallpaddle-jobs';
import type {OnlineCounts, RelayOnline} from 'stallpaddle-relay';

import {delay, encodeValue} from 'stallpaddle';

import type {NodeGroupClient} from './NodeGroupClient';

import {NodeBackoff} from './NodeBackoff';
import {RETRY_PAUSE_MS, JOBS_GROUP, ONLINE_REPORT_SPACING_MS, ONLINE_REPORT_TIMEOUT_MS, onlineReportIntervalMs} from './NodeConstants';
import {NodeWaiters} from './NodeWaiters';

/** See the module's comment. */
export class NodeOnlineReporter {
  private readonly backoff = new NodeBackoff();
  private changed = false;
  /** Version of the others' counts that was learned last. */
  private known: null | OnlineVersion = null;
  private sequence = 0;
  private stopped = false;
  /** What was told last. */
  private told: OnlineCounts = {};
  private toldAt: MonotonicMs = -Infinity;
  private readonly waiters = new NodeWaiters();

  /**
   * @param caller calls the dispatcher
   * @param online this VM's counts
   * @param sender name of this process's life
   * @param entryVms entry VMs of the fleet, as far as known
   */
  constructor(
    private readonly caller: Pick<NodeGroupClient, 'leaderHost' | 'post' | 'tryOnce'>,
    private readonly online: RelayOnline,
    private readonly sender: string,
    private readonly entryVms: () => number,
  ) {
    online.registerListener(() => {
      this.changed = true;
      this.waiters.wakeAll();
    });
  }

  /** Tells until the process stops. */
  async run(): Promise<void> {
    while (!this.stopped) {
      const isChange = this.changed;
      this.changed = false;
      this.toldAt = performance.now();
      if (await this.tell(isChange)) {
        this.backoff.reset();
        await this.waitForChange();
      } else {
        // Whoever was asked may have named the one that runs items now.
        const isNamed = this.caller.leaderHost !== null;
        await delay(isNamed ? RETRY_PAUSE_MS : this.backoff.nextMs());
      }
    }
  }

  /** Tells no more. */
  stop(): void {
    this.stopped = true;
    this.waiters.wakeAll();
  }

  private async tell(isChange: boolean): Promise<boolean> {
    const {known, online, sender, told} = this;
    const sequence = ++this.sequence;
    const own = online.ownCounts();
    this.told = own;
    const hasBegun = Object.entries(own).some(([engine, count]) => count > (told[engine] ?? 0));
    const request: JobsRequest = {kind: 'tellOnline', known, own, sender, sequence};
    const encoded = encodeValue(request);
    const call = {encoded, group: JOBS_GROUP, query: true};
    if (isChange && !hasBegun && this.caller.post(call)) {
      return true;
    }
    const outcome = await this.caller.tryOnce(call, ONLINE_REPORT_TIMEOUT_MS);
    if (outcome.kind !== 'answered') {
      return false;
    }
    const {isAll, others, suspects, version} = outcome.result as OnlineAnswer;
    this.known = version;
    online.learn(others, isAll, suspects);
    return true;
  }

  /** The first change after a pause is told at once; in a burst of changes several go together. */
  private async waitForChange(): Promise<void> {
    if (!this.changed && !this.stopped) {
      const isServing = Object.keys(this.told).length > 0;
      await this.waiters.wait(onlineReportIntervalMs(isServing, this.entryVms()));
    }
    const earlyMs = this.toldAt + ONLINE_REPORT_SPACING_MS - performance.now();
    if (earlyMs > 0 && !this.stopped) {
      // Timers drop fractions.
      await delay(Math.ceil(earlyMs));
    }
  }
}
