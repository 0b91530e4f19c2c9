/** Reports of online requests to the dispatcher of batch items. */
import type {MonotonicMs} from 'stallpaddle';
import type {
  JobsRequest,
  OnlineCountsAnswer,
  OnlineCountsVersion,
  OnlineReportDetails,
} from 'stallpaddle-jobs';
import type {OnlineCounts, RelayOnlineLoad} from 'stallpaddle-relay';

import {delay, encodeValue} from 'stallpaddle';
import {MAX_REPORT_SPACING_MS, MIN_REPORT_SPACING_MS} from 'stallpaddle-jobs';

import type {NodeGroupClient} from './NodeGroupClient';

import {NodeBackoff} from './NodeBackoff';
import {
  JOBS_GROUP,
  ONLINE_REPORT_TIMEOUT_MS,
  onlineReportIntervalMs,
  RETRY_PAUSE_MS,
} from './NodeConstants';
import {NodeWaiters} from './NodeWaiters';

/** What optional features add to the reports, and learn from the answers. */
export interface OnlineReporterDetails {
  /** Called with each answer. */
  readonly onAnswer: (answer: OnlineCountsAnswer) => void;
  /** Details of the next report; `isAnswered` is false if it may be sent without waiting for an answer. */
  readonly read: (isAnswered: boolean) => OnlineReportDetails;
}

const NO_DETAILS: OnlineReporterDetails = {onAnswer: () => {}, read: () => ({})};

/**
 * Reports to the dispatcher of batch items how many online requests this VM has at each engine, one report at a time:
 * changes made meanwhile are combined in the next one. The answer contains the counts of the other VMs. Reports that only
 * lower counts are sent without waiting for an answer; if one is lost, the next periodic report corrects it.
 */
export class NodeOnlineReporter {
  private readonly backoff = new NodeBackoff();
  private changed = false;
  /** Version of the other VMs' counts received last. */
  private known: null | OnlineCountsVersion = null;
  private sequence = 0;
  private stopped = false;
  /** Counts of the last report. */
  private reported: OnlineCounts = {};
  private reportedAt: MonotonicMs = -Infinity;
  /** Time to leave between two reports, as the dispatcher told last, in milliseconds. */
  private spacingMs = MIN_REPORT_SPACING_MS;
  private readonly waiters = new NodeWaiters();

  /**
   * @param dispatcher client of the group whose leader is the dispatcher
   * @param online this VM's counts
   * @param sender name of this process's incarnation
   * @param entryVms returns the known number of entry VMs in the fleet
   * @param details what optional features report and learn
   */
  constructor(
    private readonly dispatcher: Pick<NodeGroupClient, 'leaderHost' | 'post' | 'tryOnce'>,
    private readonly online: RelayOnlineLoad,
    private readonly sender: string,
    private readonly entryVms: () => number,
    private readonly details: OnlineReporterDetails = NO_DETAILS,
  ) {
    online.registerListener(() => {
      this.changed = true;
      this.waiters.wakeAll();
    });
  }

  /** Sends reports until the process stops. */
  async run(): Promise<void> {
    while (!this.stopped) {
      const isChange = this.changed;
      this.changed = false;
      this.reportedAt = performance.now();
      if (await this.report(isChange)) {
        this.backoff.reset();
        await this.waitForChange();
      } else {
        // The replica that refused the report may have named the current leader, which is tried without backoff.
        const isLeaderKnown = this.dispatcher.leaderHost !== null;
        await delay(isLeaderKnown ? RETRY_PAUSE_MS : this.backoff.nextMs());
      }
    }
  }

  /** Stops reporting. */
  stop(): void {
    this.stopped = true;
    this.waiters.wakeAll();
  }

  private async report(isChange: boolean): Promise<boolean> {
    const {known, online, reported, sender} = this;
    const sequence = ++this.sequence;
    const own = online.ownCounts();
    this.reported = own;
    const hasIncrease = Object.entries(own).some(
      ([engine, count]) => count > (reported[engine] ?? 0),
    );
    const mayPost = isChange && !hasIncrease;
    const request: JobsRequest = {
      ...this.details.read(!mayPost),
      kind: 'tellOnline',
      known,
      own,
      sender,
      sequence,
    };
    const call = {group: JOBS_GROUP, query: true};
    if (
      mayPost &&
      this.dispatcher.post({...call, encoded: encodeValue({...request, isOneWay: true})})
    ) {
      return true;
    }
    const outcome = await this.dispatcher.tryOnce(
      {...call, encoded: encodeValue(request)},
      ONLINE_REPORT_TIMEOUT_MS,
    );
    if (outcome.kind !== 'answered') {
      return false;
    }
    const answer = outcome.result as OnlineCountsAnswer;
    const {isAll, others, spacingMs = MIN_REPORT_SPACING_MS, suspects, version} = answer;
    this.spacingMs = Math.min(MAX_REPORT_SPACING_MS, Math.max(MIN_REPORT_SPACING_MS, spacingMs));
    this.known = version;
    this.details.onAnswer(answer);
    online.applyReport(others, isAll, suspects);
    return true;
  }

  /** Waits for a change or the periodic report. Only changes that follow a report closely are delayed and combined. */
  private async waitForChange(): Promise<void> {
    if (!this.changed && !this.stopped) {
      const isServing = Object.keys(this.reported).length > 0;
      await this.waiters.wait(onlineReportIntervalMs(isServing, this.entryVms()));
    }
    const earlyMs = this.reportedAt + this.spacingMs - performance.now();
    if (earlyMs > 0 && !this.stopped) {
      // Timers truncate fractions of a millisecond.
      await delay(Math.ceil(earlyMs));
    }
  }
}
