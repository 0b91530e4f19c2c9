/** Job calls of callers. */
import type {Clock} from 'stallpaddle';
import type {FleetRoute} from 'stallpaddle-fleet';
import type {RelayCaller} from 'stallpaddle-relay';

import {RefusalError, refuse, unreachable} from 'stallpaddle';
import {
  findSubmissionFault,
  type JobsAnswer,
  type JobsRequest,
  type SubmittedItem,
} from 'stallpaddle-jobs';

import type {NodeGroupClient} from './NodeGroupClient';
import type {NodeLog} from './NodeLog';
import type {JobCall, NodeWire, RawRequest, RawResponse} from './NodeWire';

import {JOB_CALL_TIMEOUT_MS} from './NodeConstants';
import {NodeJobReads} from './NodeJobReads';

/** Retry-after time of a refused submission, in milliseconds. */
const SUBMIT_RETRY_AFTER_MS = 500;

/** The customer of a call; undefined for a call without one. */
function customerOf(caller: RelayCaller): string | undefined {
  return caller.kind === 'customer' ? caller.name : undefined;
}

/** Forwards job calls to the group that stores the jobs: changes to its leader, reads to any replica. */
export class NodeJobCalls {
  private readonly reads: NodeJobReads;

  /**
   * @param group client of the group that stores the jobs
   * @param wire codec of the external protocol
   * @param log the process's log
   * @param clock this process's clock
   */
  constructor(
    private readonly group: NodeGroupClient,
    private readonly wire: NodeWire,
    private readonly log: NodeLog,
    clock: Clock,
  ) {
    this.reads = new NodeJobReads(group, clock, log);
  }

  /**
   * Submits a job.
   *
   * @param route its route
   * @param call the submission
   * @param caller its sender
   * @throws {RefusalError} whose verdict says whether the job may have been accepted
   */
  async submit(route: FleetRoute, call: RawRequest, caller: RelayCaller): Promise<RawResponse> {
    const read = this.wire.readSubmission(call);
    if ('kind' in read) {
      throw refuse('badRequest', read.message);
    }
    const fault = findSubmissionFault(read.items);
    if (fault !== null) {
      throw refuse('badRequest', fault);
    }
    const submission = {
      customer: customerOf(caller),
      host: call.headers.host ?? '',
      id: read.id,
      items:
        caller.kind === 'untold'
          ? read.items
          : read.items.map((item) => this.withoutCallerHeaders(item)),
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

  /** Removes the headers that identify the caller; the fleet sets them itself when it sends the item to an engine. */
  private withoutCallerHeaders(item: SubmittedItem): SubmittedItem {
    const dropped = new Set(this.wire.relay.callerHeaders.map((name) => name.toLowerCase()));
    const headers = item.headers.filter(([name]) => !dropped.has(name.trim().toLowerCase()));
    return {...item, headers};
  }

  private async propose(id: string, value: JobsRequest): Promise<JobsAnswer> {
    try {
      return await this.group.call<JobsAnswer>({
        changes: true,
        totalMs: JOB_CALL_TIMEOUT_MS,
        value,
      });
    } catch (err) {
      if (!(err instanceof RefusalError)) {
        throw err;
      }
      this.log.decide('jobRefused', id, {reason: err.message, verdict: err.verdict});
      throw err.verdict === 'notRun'
        ? refuse('unavailable', err.message, {retryAfterMs: SUBMIT_RETRY_AFTER_MS})
        : new RefusalError('engineFailed', err.verdict, 'The job may have been accepted.');
    }
  }

  /**
   * Reads or ends a job.
   *
   * @param call the call
   * @param caller its sender
   */
  async carryOut(call: JobCall, caller: RelayCaller): Promise<RawResponse> {
    const customer = customerOf(caller);
    switch (call.kind) {
      case 'endJob': {
        const answer = await this.group.call<JobsAnswer>({
          changes: true,
          totalMs: JOB_CALL_TIMEOUT_MS,
          tryMs: JOB_CALL_TIMEOUT_MS,
          value: {...call, customer},
        });
        this.log.decide('jobEnd', call.job, {outcome: answer.kind});
        return {status: answer.kind === 'unknownJob' ? 404 : 200};
      }
      case 'readBody': {
        const answer = await this.reads.read({...call, customer});
        return answer.kind === 'body' ? {body: answer.body, status: 200} : {status: 404};
      }
      case 'readResults': {
        const answer = await this.reads.read({...call, customer});
        return answer.kind === 'results'
          ? this.wire.encodeResults(answer.total, answer.next, answer.results)
          : {status: 404};
      }
      default:
        return unreachable(call);
    }
  }

  private onAnswer(id: string, answer: JobsAnswer): RawResponse {
    switch (answer.kind) {
      case 'accepted':
        this.log.decide('jobTaken', id, {repeated: answer.repeated});
        return {status: 202};
      case 'overQuota':
        this.log.decide('jobRefused', id, {waitingTokens: answer.waitingTokens});
        throw refuse('rateLimited', 'Too many tokens are queued on the route.', {
          retryAfterMs: SUBMIT_RETRY_AFTER_MS,
        });
      case 'done':
      case 'unknownJob':
        throw refuse('internal', 'The submission got an answer of the wrong kind.');
      default:
        return unreachable(answer);
    }
  }
}
