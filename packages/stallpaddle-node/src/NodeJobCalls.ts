/**
 * Callers' job calls, brought to the leader of the group that keeps the jobs.
 */
import type {FleetRoute} from 'stallpaddle-fleet';
import type {BodyAnswer, JobsAnswer, JobsRequest, ResultsAnswer} from 'stallpaddle-jobs';

import {errorMessage, RefusalError, refuse, unreachable} from 'stallpaddle';

import type {NodeCaller} from './NodeCaller';
import type {NodeLog} from './NodeLog';
import type {JobCall, NodeWire, RawAnswer, RawCall} from './NodeWire';

import {JOB_CALL_MS} from './NodeConstants';

/** Pause after which a refused submission should come again, in milliseconds. */
const SUBMIT_AGAIN_MS = 500;

/** See the module's comment. */
export class NodeJobCalls {
  /**
   * @param caller calls the jobs' leader
   * @param wire the callers' words
   * @param log the process's log
   */
  constructor(
    private readonly caller: NodeCaller,
    private readonly wire: NodeWire,
    private readonly log: NodeLog,
  ) {}

  /**
   * Takes a job.
   *
   * @param route its route
   * @param call the submission
   * @throws {RefusalError} whose verdict tells whether it may have been taken
   */
  async submit(route: FleetRoute, call: RawCall): Promise<RawAnswer> {
    const read = this.wire.readSubmission(call);
    if ('kind' in read) {
      throw refuse('badRequest', read.message);
    }
    const submission = {
      ...read,
      host: call.headers.host ?? '',
      path: call.url,
      route: route.name,
    };
    const request: JobsRequest = {
      kind: 'submit',
      maxWaitingTokens: route.maxWaitingTokens,
      submission,
    };
    return this.onAnswer(read.id, await this.propose(read.id, request));
  }

  private async propose(id: string, value: JobsRequest): Promise<JobsAnswer> {
    try {
      return await this.caller.call<JobsAnswer>({changes: true, totalMs: JOB_CALL_MS, value});
    } catch (err) {
      if (!(err instanceof RefusalError)) {
        throw err;
      }
      this.log.decide('jobRefused', id, {reason: err.message, verdict: err.verdict});
      throw err.verdict === 'notRun'
        ? refuse('unavailable', err.message, {retryAfterMs: SUBMIT_AGAIN_MS})
        : new RefusalError('engineFailed', err.verdict, 'The job may have been taken.');
    }
  }

  /**
   * Reads of a job or ends it.
   *
   * @param call the call
   */
  async carryOut(call: JobCall): Promise<RawAnswer> {
    switch (call.kind) {
      case 'endJob': {
        const answer = await this.call<JobsAnswer>(call, true, JOB_CALL_MS);
        this.log.decide('jobEnd', call.job, {outcome: answer.kind});
        return {status: answer.kind === 'unknownJob' ? 404 : 200};
      }
      case 'readBody': {
        const answer = await this.call<BodyAnswer>(call, false, JOB_CALL_MS);
        return answer.kind === 'body' ? {body: answer.body, status: 200} : {status: 404};
      }
      case 'readResults': {
        const answer = await this.call<ResultsAnswer>(call, false, JOB_CALL_MS + call.waitMs);
        return answer.kind === 'results'
          ? this.wire.encodeResults(answer.total, answer.next, answer.results)
          : {status: 404};
      }
      default:
        return unreachable(call);
    }
  }

  private async call<Answer extends {readonly kind: string}>(
    value: JobCall,
    changes: boolean,
    totalMs: number,
  ): Promise<Answer> {
    const call = value.kind;
    try {
      const answer = await this.caller.call<Answer>({changes, totalMs, tryMs: totalMs, value});
      if (answer.kind === 'notFound' || answer.kind === 'unknownJob') {
        this.log.decide('jobNotFound', value.job, {call, leader: this.caller.leaderHost ?? ''});
      }
      return answer;
    } catch (err) {
      const hosts = this.caller.hosts().join(',');
      this.log.decide('jobUnavailable', value.job, {call, hosts, reason: errorMessage(err)});
      throw err;
    }
  }

  private onAnswer(id: string, answer: JobsAnswer): RawAnswer {
    switch (answer.kind) {
      case 'accepted':
        this.log.decide('jobTaken', id, {repeated: answer.repeated});
        return {status: 202};
      case 'overQuota':
        this.log.decide('jobRefused', id, {waitingTokens: answer.waitingTokens});
        throw refuse('rateLimited', 'Too many tokens wait on the route.', {
          retryAfterMs: SUBMIT_AGAIN_MS,
        });
      case 'done':
      case 'unknownJob':
        throw refuse('internal', 'The submission got an answer to another call.');
      default:
        return unreachable(answer);
    }
  }
}
