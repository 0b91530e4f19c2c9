/**
 * Callers' job calls, brought to the group that keeps the jobs: changes to its leader, reads to any replica.
 */
import type {Clock} from 'stallpaddle';
import type {FleetRoute} from 'stallpaddle-fleet';
import type {JobsAnswer, JobsRequest, SubmittedItem} from 'stallpaddle-jobs';
import type {RelayCaller} from 'stallpaddle-relay';

import {RefusalError, refuse, unreachable} from 'stallpaddle';

import type {NodeGroupClient} from './NodeGroupClient';
import type {NodeLog} from './NodeLog';
import type {JobCall, NodeWire, RawResponse, RawRequest} from './NodeWire';

import {JOB_CALL_TIMEOUT_MS} from './NodeConstants';
import {NodeJobReads} from './NodeJobReads';

/** Pause after which a refused submission should come again, in milliseconds. */
const SUBMIT_AGAIN_MS = 500;

/** The customer in whose name a call is made; undefined for nobody's. */
function customerOf(caller: RelayCaller): string | undefined {
  return caller.kind === 'customer' ? caller.name : undefined;
}

/** See the module's comment. */
export class NodeJobCalls {
  private readonly reads: NodeJobReads;

  /**
   * @param caller calls the jobs' leader
   * @param wire the callers' words
   * @param log the process's log
   * @param clock this process's clock
   */
  constructor(
    private readonly caller: NodeGroupClient,
    private readonly wire: NodeWire,
    private readonly log: NodeLog,
    clock: Clock,
  ) {
    this.reads = new NodeJobReads(caller, clock, log);
  }

  /**
   * Takes a job.
   *
   * @param route its route
   * @param call the submission
   * @param caller who submits it
   * @throws {RefusalError} whose verdict tells whether it may have been taken
   */
  async submit(route: FleetRoute, call: RawRequest, caller: RelayCaller): Promise<RawResponse> {
    const read = this.wire.readSubmission(call);
    if ('kind' in read) {
      throw refuse('badRequest', read.message);
    }
    const submission = {
      customer: customerOf(caller),
      host: call.headers.host ?? '',
      id: read.id,
      items: caller.kind === 'untold' ? read.items : read.items.map((item) => this.owned(item)),
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

  /** An item without what it says of its submitter, of which its route's engines are told in the fleet's own words. */
  private owned(item: SubmittedItem): SubmittedItem {
    const dropped = new Set(this.wire.relay.callerHeaders.map((name) => name.toLowerCase()));
    const headers = item.headers.filter(([name]) => !dropped.has(name.trim().toLowerCase()));
    return {...item, headers};
  }

  private async propose(id: string, value: JobsRequest): Promise<JobsAnswer> {
    try {
      return await this.caller.call<JobsAnswer>({changes: true, totalMs: JOB_CALL_TIMEOUT_MS, value});
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
   * @param caller who makes it
   */
  async carryOut(call: JobCall, caller: RelayCaller): Promise<RawResponse> {
    const customer = customerOf(caller);
    switch (call.kind) {
      case 'endJob': {
        const answer = await this.caller.call<JobsAnswer>({
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
