/**
 * Answers all processes while this one leads the group that keeps batch jobs; reads of jobs also while it follows.
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
  type ReadResult,
  RESULT_BYTES,
  type ResultRef,
  type ResultsAnswer,
} from 'stallpaddle-jobs';
import {holdersOf} from 'stallpaddle-replication';

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

/** See the module's comment. */
export class NodeJobsHandler {
  private readonly online = new NodeOnlineHandler();
  private readonly reads: NodeReadQueue;
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
  ) {
    this.reads = new NodeReadQueue(clock);
  }

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
        return this.online.exchange(request, dispatcher);
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

  /** Only the leader knows for certain what is not there. */
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

  /** Reads in its turn; tells where the job's data is there by its name, but its bytes are not whole. */
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
      const found = findResults(stateFor(driver, mayFollow), {customer, job}, from, RESULT_BYTES);
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

/** The state from which a read is answered: what is listed stays, so any replica's will do for what it holds. */
function stateFor(driver: Driver, mayFollow: boolean): JobsState {
  return mayFollow ? driver.localState : driver.read();
}

/**
 * That there is nothing yet may be said only by who holds all that was committed before the question came: whoever has read
 * a result finds it again. A replica that follows can say so of a question that it has held for a while.
 */
function requireComplete(driver: Driver, askedMs: number): void {
  if (driver.completeAgeMs > askedMs) {
    driver.read();
  }
}
