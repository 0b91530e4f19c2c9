/**
 * Answers all processes while this one leads the group that keeps batch jobs.
 */
import type {Clock} from 'stallpaddle';

import {encodeValue, errorMessage, unreachable} from 'stallpaddle';
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
import {holdersOf} from 'stallpaddle-replication';

import type {NodeGroup} from './NodeGroup';
import type {NodeLog} from './NodeLog';

import {NodeOnlineDesk} from './NodeOnlineDesk';
import {NodeWaiters} from './NodeWaiters';

type Driver = NodeGroup<JobsState>['driver'];

async function readResult(driver: Driver, {id, outcome, texts}: ResultRef): Promise<ReadResult> {
  const parts = await Promise.all(texts.map((ref) => driver.readBlob(ref)));
  return {id, outcome, text: joinOutput(parts)};
}

/** See the module's comment. */
export class NodeJobsDesk {
  private readonly online = new NodeOnlineDesk();
  private readonly waiters = new NodeWaiters();

  /**
   * @param clock this process's clock
   * @param group the replica here of the group that keeps batch jobs
   * @param decide writes a line on a job
   */
  constructor(
    private readonly clock: Clock,
    private readonly group: Pick<NodeGroup<JobsState>, 'driver'>,
    private readonly decide: NodeLog['decide'],
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
        return this.readBody(driver, request.job, request.item);
      case 'readResults':
        return this.readResults(driver, request);
      case 'submit': {
        const {maxWaitingTokens, submission} = request;
        if (state.jobs.has(submission.id)) {
          return {kind: 'accepted', repeated: true} satisfies JobsAnswer;
        }
        return this.submit(driver, {kind: 'submit', maxWaitingTokens, submission});
      }
      case 'tellOnline':
        return this.online.tell(request, dispatcher);
      default:
        return unreachable(request);
    }
  }

  /** Tells where a job stands in the log, and on whose disks it is once it counts as accepted. */
  private async submit(
    driver: Driver,
    change: Extract<JobsChange, {kind: 'submit'}>,
  ): Promise<unknown> {
    const answer = this.proposeTo(driver, change);
    const {id} = change.submission;
    const {log, term} = driver.status;
    const index = log.lastIndex;
    try {
      const result = (await answer) as JobsAnswer;
      const {status} = driver;
      const {voters} = status.log.members;
      const holders = holdersOf(status, index).join(',');
      const fields = {answer: result.kind, holders, index, term, voters: voters.join(',')};
      this.decide('jobRecorded', id, fields);
      return result;
    } catch (err) {
      this.decide('jobNotRecorded', id, {index, reason: errorMessage(err), term});
      throw err;
    }
  }

  private async readBody(driver: Driver, job: JobId, item: string): Promise<BodyAnswer> {
    const ref = findBody(driver.read(), job, item);
    if (ref === undefined) {
      this.noteUnknown(driver, job, 'readBody');
      return {kind: 'notFound'};
    }
    return {body: await this.readFor(job, () => driver.readBlob(ref)), kind: 'body'};
  }

  private noteUnknown(driver: Driver, job: JobId, call: JobsRequest['kind']): void {
    const {applied, commit, term} = driver.status;
    const known = driver.localState.jobs.has(job);
    this.decide('jobNotFound', job, {applied, call, commit, known, term});
  }

  /** The job's data is there by its name, but its bytes are not whole. */
  private async readFor<Result>(job: JobId, read: () => Promise<Result>): Promise<Result> {
    try {
      return await read();
    } catch (err) {
      this.decide('jobUnreadable', job, {reason: errorMessage(err)});
      throw err;
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
        this.noteUnknown(driver, job, 'readResults');
        return {kind: 'notFound'};
      }
      const left = end - this.clock.monotonicMs();
      if (found.results.length > 0 || left <= 0 || from >= found.total) {
        const results = await this.readFor(job, () =>
          Promise.all(found.results.map((ref) => readResult(driver, ref))),
        );
        return {kind: 'results', next: from + results.length, results, total: found.total};
      }
      await this.waiters.wait(left);
    }
  }
}
