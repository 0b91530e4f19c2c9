/**
 * Tells the dispatcher of batch items how many online requests this VM has at each engine, and learns
 * those of all VMs. One call at a time: what changes meanwhile goes with the next.
 */
import type {JobsRequest, TellAnswer} from 'stallpaddle-jobs';
import type {OnlineCounts, RelayOnline} from 'stallpaddle-relay';

import {delay, encodeValue} from 'stallpaddle';

import type {NodeCaller} from './NodeCaller';

import {CALL_AGAIN_MS, JOBS_GROUP, TELL_AGAIN_MS, TELL_TRY_MS} from './NodeConstants';
import {NodeWaiters} from './NodeWaiters';

/** See the module's comment. */
export class NodeTells {
  private changed = false;
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

  /** Tells until the process stops. */
  async run(): Promise<void> {
    while (!this.stopped) {
      this.changed = false;
      const own = this.online.ownCounts();
      if (!(await this.tell(own))) {
        await delay(CALL_AGAIN_MS);
      }
      await this.waitForChange();
    }
  }

  /** Tells no more. */
  stop(): void {
    this.stopped = true;
    this.waiters.wakeAll();
  }

  private async tell(own: OnlineCounts): Promise<boolean> {
    const request: JobsRequest = {
      kind: 'tellOnline',
      own,
      sender: this.sender,
      sequence: ++this.sequence,
    };
    const outcome = await this.caller.tryOnce(
      {encoded: encodeValue(request), group: JOBS_GROUP, query: true},
      TELL_TRY_MS,
    );
    if (outcome.kind !== 'answered') {
      return false;
    }
    const {suspects, totals} = outcome.result as TellAnswer;
    this.online.learn(totals, own, suspects);
    return true;
  }

  private waitForChange(): Promise<void> {
    if (this.changed || this.stopped) {
      return Promise.resolve();
    }
    return this.waiters.wait(TELL_AGAIN_MS);
  }
}
