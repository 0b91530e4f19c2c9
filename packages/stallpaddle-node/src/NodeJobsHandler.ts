/**
 * Requests to the group that keeps batch jobs.
 */
import type {Clock, MonotonicMs} from 'stallpaddle';

import {encodeValue, errorMessage, unreachable} from 'stallpaddle';
import {
  type BodyAnswer,
  findBody,
  findJob,
  findResults,
  type JobId,
  type JobsAnswer,
  type JobsChange,
  type JobsCommand,
  type JobsDispatcher,
  type JobsRequest,
  type JobsState,
  joinOutput,
  MAX_RESULT_BYTES,
  type ReadResult,
  type ResultRef,
  type ResultsAnswer,
} from 'stallpaddle-jobs';
import {votersWithEntry} from 'stallpaddle-replication';

import type {NodeGroup} from './NodeGroup';
import type {NodeLog} from './NodeLog';

import {NodeOnlineHandler} from './NodeOnlineHandler';
import {NodeReadQueue} from './NodeReadQueue';
import {NodeWaiters} from './NodeWaiters';

type Driver = NodeGroup<JobsState>['driver'];

async function readResult(driver: Driver, {id, outcome, texts}: ResultRef): Promise<ReadResult> {
  const parts = await Promise.all(texts.map((ref) => driver.readBlob(ref)));
  return {id, outcome, text: joinOutput(parts)};
}

type ReadBody = Extract<JobsRequest, {kind: 'readBody'}>;
type ReadResults = Extract<JobsRequest, {kind: 'readResults'}>;

/**
 * Handles requests of other processes to the group that keeps batch jobs. Changes need leadership; reads may also be
 * answered by a follower, for what its replica holds.
 */
export class NodeJobsHandler {
  private readonly online = new NodeOnlineHandler();
  private readonly reads: NodeReadQueue;
  private readonly waiters = new NodeWaiters();

  /**
   * @param clock this process's clock
   * @param group this process's replica of the group
   * @param decide logs a decision about a job
   */
  constructor(
    private readonly clock: Clock,
    private readonly group: Pick<NodeGroup<JobsState>, 'driver'>,
    private readonly decide: NodeLog['decide'],
  ) {
    this.reads = new NodeReadQueue(clock);
  }

  /**
   * Commits a change.
   *
   * @param change the change
   * @returns the group's answer
   * @throws {NotLeaderError} without leadership
   * @throws {OutcomeUnknownError} when the change may still be committed
   */
  propose(change: JobsChange): Promise<unknown> {
    return this.proposeTo(this.group.driver, change);
  }

  /** Wakes reads that wait for results. */
  wakeReads(): void {
    this.waiters.wakeAll();
  }

  /**
   * Handles a request.
   *
   * @param request the request
   * @param dispatcher runs the batch items
   * @throws {NotLeaderError} without leadership or lease
   */
  async answer(request: JobsRequest, dispatcher: JobsDispatcher): Promise<unknown> {
    const {driver} = this.group;
    switch (request.kind) {
      case 'endJob':
        driver.read();
        return this.proposeTo(driver, request);
      case 'readBody':
        return this.readBody(driver, request);
      case 'readResults':
        return this.readResults(driver, request);
      case 'submit': {
        const {maxWaitingTokens, submission} = request;
        const {customer, id} = submission;
        if (findJob(driver.read(), {customer, job: id}) !== undefined) {
          return {kind: 'accepted', repeated: true} satisfies JobsAnswer;
        }
        return this.submit(driver, {kind: 'submit', maxWaitingTokens, submission});
      }
      case 'tellOnline':
        driver.read();
        if (request.isOneWay === true) {
          this.online.record(request, dispatcher);
          return null;
        }
        return this.online.exchange(request, dispatcher);
      default:
        return unreachable(request);
    }
  }

  /** Submits a job; logs its index in the group's log and, once it is accepted, the replicas that hold it. */
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
      const holders = votersWithEntry(status, index).join(',');
      const fields = {answer: result.kind, holders, index, term, voters: voters.join(',')};
      this.decide('jobRecorded', id, fields);
      return result;
    } catch (err) {
      this.decide('jobNotRecorded', id, {index, reason: errorMessage(err), term});
      throw err;
    }
  }

  /** Answers that a job does not exist, which only the leader knows for certain. */
  private answerNotFound(
    driver: Driver,
    {customer, job, kind: call}: ReadBody | ReadResults,
  ): {kind: 'notFound'} {
    driver.read();
    const {applied, commit, term} = driver.status;
    const known = findJob(driver.localState, {customer, job}) !== undefined;
    this.decide('jobNotFound', job, {applied, call, commit, known, term});
    return {kind: 'notFound'};
  }

  /** Queues a read; logs a job that is listed but whose data can't be read. */
  private readFor<Result>(
    job: JobId,
    endAt: MonotonicMs,
    read: () => Promise<Result>,
  ): Promise<Result> {
    return this.reads.add(async () => {
      try {
        return await read();
      } catch (err) {
        this.decide('jobUnreadable', job, {reason: errorMessage(err)});
        throw err;
      }
    }, endAt);
  }

  private proposeTo(driver: Driver, change: JobsChange): Promise<unknown> {
    return driver.propose(encodeValue({change} satisfies JobsCommand));
  }

  private async readBody(driver: Driver, request: ReadBody): Promise<BodyAnswer> {
    const {customer, item, job, mayFollow, patienceMs} = request;
    const endAt = this.clock.monotonicMs() + patienceMs;
    const ref = findBody(stateFor(driver, mayFollow), {customer, job}, item);
    if (ref === undefined) {
      return this.answerNotFound(driver, request);
    }
    const body = await this.readFor(job, endAt, () => driver.readBlob(ref));
    return {body, kind: 'body'};
  }

  private async readResults(driver: Driver, request: ReadResults): Promise<ResultsAnswer> {
    const {customer, from, job, mayFollow, patienceMs, waitMs} = request;
    const askedAt = this.clock.monotonicMs();
    const holdUntil = askedAt + waitMs;
    for (;;) {
      const found = findResults(
        stateFor(driver, mayFollow),
        {customer, job},
        from,
        MAX_RESULT_BYTES,
      );
      if (found === undefined) {
        return this.answerNotFound(driver, request);
      }
      const {results: refs, total} = found;
      const left = holdUntil - this.clock.monotonicMs();
      if (refs.length > 0 || left <= 0 || from >= total) {
        if (refs.length === 0 && from !== total) {
          requireComplete(driver, this.clock.monotonicMs() - askedAt);
        }
        const endAt = this.clock.monotonicMs() + Math.max(0, left) + patienceMs;
        const read = (): Promise<readonly ReadResult[]> =>
          Promise.all(refs.map((ref) => readResult(driver, ref)));
        const results = refs.length === 0 ? [] : await this.readFor(job, endAt, read);
        return {kind: 'results', next: from + results.length, results, total};
      }
      await this.waiters.wait(left);
    }
  }
}

/** The state to read from. Listed jobs and results don't change, so for those any replica's state will do. */
function stateFor(driver: Driver, mayFollow: boolean): JobsState {
  return mayFollow ? driver.localState : driver.read();
}

/**
 * Throws unless this replica may answer that there are no results yet. It must hold everything that was committed before
 * the request came, or a caller could miss a result that it has read before. A follower may have caught up with that
 * moment while it held the request; else only the leader may answer.
 */
function requireComplete(driver: Driver, askedMs: number): void {
  if (driver.stalenessMs > askedMs) {
    driver.read();
  }
}
