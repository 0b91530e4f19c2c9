/**
 * Tells the dispatcher of batch items how many online requests this VM has at each engine, one call at a time:
 * what changes meanwhile goes with the next. Beside that it asks for those of the other VMs all the time, since
 * others begin and end requests while this VM has none to tell.
 */
import type {JobsRequest, OnlineAnswer, OnlineVersion} from 'stallpaddle-jobs';
import type {OnlineCounts, RelayOnline} from 'stallpaddle-relay';
import type {TryOutcome} from 'stallpaddle-rpc';

import {delay, encodeValue} from 'stallpaddle';

import type {NodeCaller} from './NodeCaller';

import {CALL_AGAIN_MS, JOBS_GROUP, TELL_AGAIN_MS, TELL_TRY_MS, WATCH_TRY_MS} from './NodeConstants';
import {NodeWaiters} from './NodeWaiters';

/** See the module's comment. */
export class NodeTells {
  private changed = false;
  /** Version of the others' counts that was learned last. */
  private known: null | OnlineVersion = null;
  private sequence = 0;
  private stopped = false;
  private readonly waiters = new NodeWaiters();

  /**
   * @param caller calls the dispatcher
   * @param online this VM's counts
   * @param sender name of this process's life
   */
  constructor(
    private readonly caller: NodeCaller,
    private readonly online: RelayOnline,
    private readonly sender: string,
  ) {
    online.registerListener(() => {
      this.changed = true;
      this.waiters.wakeAll();
    });
  }

  /** Tells and asks until the process stops. */
  async run(): Promise<void> {
    await Promise.all([this.tellAlways(), this.watchAlways()]);
  }

  /** Tells no more. */
  stop(): void {
    this.stopped = true;
    this.waiters.wakeAll();
  }

  private async tellAlways(): Promise<void> {
    while (!this.stopped) {
      this.changed = false;
      const own = this.online.ownCounts();
      if (!(await this.tell(own))) {
        await delay(CALL_AGAIN_MS);
      }
      await this.waitForChange();
    }
  }

  private async watchAlways(): Promise<void> {
    while (!this.stopped) {
      if (!(await this.watch())) {
        await delay(CALL_AGAIN_MS);
      }
    }
  }

  private async tell(own: OnlineCounts): Promise<boolean> {
    const {sender} = this;
    const sequence = ++this.sequence;
    const outcome = await this.ask({kind: 'tellOnline', own, sender, sequence}, TELL_TRY_MS);
    return outcome.kind === 'answered';
  }

  private async watch(): Promise<boolean> {
    const {known, sender} = this;
    const request = {kind: 'watchOnline', known, sender, waitMs: TELL_AGAIN_MS} as const;
    const outcome = await this.ask(request, WATCH_TRY_MS);
    if (outcome.kind !== 'answered') {
      return false;
    }
    const {isAll, others, suspects, version} = outcome.result as OnlineAnswer;
    this.known = version;
    this.online.learn(others, isAll, suspects);
    return true;
  }

  private ask(request: JobsRequest, tryMs: number): Promise<TryOutcome> {
    const encoded = encodeValue(request);
    return this.caller.tryOnce({encoded, group: JOBS_GROUP, query: true}, tryMs);
  }

  private waitForChange(): Promise<void> {
    if (this.changed || this.stopped) {
      return Promise.resolve();
    }
    return this.waiters.wait(TELL_AGAIN_MS);
  }
}
