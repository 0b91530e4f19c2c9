/**
 * Answers all processes while this one leads the group that keeps batch jobs.
 */
import type {Clock} from 'stallpaddle';

import {encodeValue, unreachable} from 'stallpaddle';
import {
  type BodyAnswer,
  findBody,
  findResults,
  type JobId,
  type JobsAnswer,
  type JobsChange,
  type JobsCommand,
  type JobsDispatcher,
  type JobsRequest,
  type JobsState,
  joinOutput,
  type ReadResult,
  RESULT_BYTES,
  type ResultRef,
  type ResultsAnswer,
} from 'stallpaddle-jobs';

import type {NodeGroup} from './NodeGroup';

import {NodeOnlineDesk} from './NodeOnlineDesk';
import {NodeWaiters} from './NodeWaiters';

type Driver = NodeGroup<JobsState>['driver'];

async function readResult(driver: Driver, {id, outcome, texts}: ResultRef): Promise<ReadResult> {
  const parts = await Promise.all(texts.map((ref) => driver.readBlob(ref)));
  return {id, outcome, text: joinOutput(parts)};
}

async function readBody(driver: Driver, job: JobId, item: string): Promise<BodyAnswer> {
  const ref = findBody(driver.read(), job, item);
  return ref === undefined ? {kind: 'notFound'} : {body: await driver.readBlob(ref), kind: 'body'};
}

/** See the module's comment. */
export class NodeJobsDesk {
  private readonly online = new NodeOnlineDesk();
  private readonly waiters = new NodeWaiters();

  /**
   * @param clock this process's clock
   * @param group the replica here of the group that keeps batch jobs
   */
  constructor(
    private readonly clock: Clock,
    private readonly group: Pick<NodeGroup<JobsState>, 'driver'>,
  ) {}

  /**
   * Records a change.
   *
   * @param change the change
   * @returns the group's answer
   * @throws {NotLeaderError} without leadership
   * @throws {OutcomeUnknownError} when it may still be recorded
   */
  propose(change: JobsChange): Promise<unknown> {
    return this.proposeTo(this.group.driver, change);
  }

  /** Tells reads that wait for results to look again. */
  wakeReads(): void {
    this.waiters.wakeAll();
  }

  /**
   * Answers a request.
   *
   * @param request the request
   * @param dispatcher runs the items
   * @throws {NotLeaderError} without leadership or lease
   */
  async answer(request: JobsRequest, dispatcher: JobsDispatcher): Promise<unknown> {
    const {driver} = this.group;
    const state = driver.read();
    switch (request.kind) {
      case 'endJob':
        return this.proposeTo(driver, {job: request.job, kind: 'endJob'});
      case 'readBody':
        return readBody(driver, request.job, request.item);
      case 'readResults':
        return this.readResults(driver, request);
      case 'submit': {
        const {maxWaitingTokens, submission} = request;
        if (state.jobs.has(submission.id)) {
          return {kind: 'accepted', repeated: true} satisfies JobsAnswer;
        }
        return this.proposeTo(driver, {kind: 'submit', maxWaitingTokens, submission});
      }
      case 'tellOnline':
        return this.online.tell(request, dispatcher);
      default:
        return unreachable(request);
    }
  }

  private proposeTo(driver: Driver, change: JobsChange): Promise<unknown> {
    return driver.propose(encodeValue({change} satisfies JobsCommand));
  }

  private async readResults(
    driver: Driver,
    {from, job, waitMs}: Extract<JobsRequest, {kind: 'readResults'}>,
  ): Promise<ResultsAnswer> {
    const end = this.clock.monotonicMs() + waitMs;
    for (;;) {
      const found = findResults(driver.read(), job, from, RESULT_BYTES);
      if (found === undefined) {
        return {kind: 'notFound'};
      }
      const left = end - this.clock.monotonicMs();
      if (found.results.length > 0 || left <= 0 || from >= found.total) {
        const results = await Promise.all(found.results.map((ref) => readResult(driver, ref)));
        return {kind: 'results', next: from + results.length, results, total: found.total};
      }
      await this.waiters.wait(left);
    }
  }
}
