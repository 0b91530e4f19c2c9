/**
 * Reads of jobs, spread over the replicas that keep them: what a job has listed stays, so any replica can tell it. The
 * leader alone, which also runs the items, was asked for everything at the end of a day and answered nobody.
 */
import type {Clock, MonotonicMs, Random} from 'stallpaddle';
import type {BodyAnswer, JobName, JobsRequest, ResultsAnswer} from 'stallpaddle-jobs';

import {encodeValue, RefusalError} from 'stallpaddle';

import type {NodeGroupClient} from './NodeGroupClient';
import type {NodeLog} from './NodeLog';
import type {JobCall} from './NodeWire';

import {JOB_CALL_TIMEOUT_MS, JOBS_GROUP} from './NodeConstants';
import {NodeReplicaSelector} from './NodeReplicaSelector';

/** A call that reads. */
export type ReadCall = Extract<JobCall, {kind: 'readBody' | 'readResults'}> & JobName;

/** Answer to a read, by its kind. */
export interface ReadAnswers {
  readonly readBody: BodyAnswer;
  readonly readResults: ResultsAnswer;
}

/**
 * Longest wait for a replica, beyond the time that it may hold an answer, in milliseconds: less than half of what a read
 * may take, so that the leader can be asked yet.
 */
const REPLICA_TRY_MS = 600;

function heldMs(call: ReadCall): number {
  return call.kind === 'readResults' ? call.waitMs : 0;
}

function requestOf(call: ReadCall, mayFollow: boolean, mostMs: number): JobsRequest {
  if (call.kind === 'readBody') {
    return {...call, mayFollow, patienceMs: mostMs};
  }
  const waitMs = Math.min(call.waitMs, Math.max(0, mostMs - REPLICA_TRY_MS));
  return {...call, mayFollow, patienceMs: mostMs - waitMs, waitMs};
}

/** See the module's comment. */
export class NodeJobReads {
  private readonly hops = new NodeReplicaSelector();

  /**
   * @param caller calls the jobs' leader, and knows where replicas are
   * @param clock this process's clock
   * @param log the process's log
   * @param random chooses among replicas
   */
  constructor(
    private readonly caller: Pick<NodeGroupClient, 'call' | 'hosts' | 'leaderHost' | 'tryAt'>,
    private readonly clock: Clock,
    private readonly log: Pick<NodeLog, 'decide'>,
    private readonly random: Random = Math.random,
  ) {}

  /**
   * Reads at any replica, then at the leader.
   *
   * @param call the call
   * @throws {RefusalError} when nobody answers in time
   */
  async read<Kind extends ReadCall['kind']>(
    call: Extract<ReadCall, {kind: Kind}>,
  ): Promise<ReadAnswers[Kind]> {
    const startedAt = this.clock.monotonicMs();
    const followed = await this.readAtReplica(call);
    const answer = (followed ?? (await this.readAtLeader(call, startedAt))) as ReadAnswers[Kind];
    if (answer.kind === 'notFound') {
      const leader = this.caller.leaderHost ?? '';
      this.log.decide('jobNotFound', call.job, {call: call.kind, leader});
    }
    return answer;
  }

  private async readAtReplica(call: ReadCall): Promise<unknown> {
    const host = this.hops.choose(this.shuffledHosts(), this.clock.monotonicMs());
    if (host === undefined) {
      return undefined;
    }
    const tryMs = heldMs(call) + REPLICA_TRY_MS;
    const encoded = encodeValue(requestOf(call, true, tryMs));
    const outcome = await this.caller.tryAt(host, {encoded, group: JOBS_GROUP, query: true}, tryMs);
    if (outcome.kind === 'answered') {
      return outcome.result;
    }
    const why = outcome.kind === 'unknown' ? 'silent' : 'refused';
    this.hops.noteFailure(host, why, this.clock.monotonicMs());
    return undefined;
  }

  private async readAtLeader(call: ReadCall, startedAt: MonotonicMs): Promise<unknown> {
    const spentMs = this.clock.monotonicMs() - startedAt;
    const totalMs = Math.max(0, JOB_CALL_TIMEOUT_MS + heldMs(call) - spentMs);
    const value = requestOf(call, false, totalMs);
    const held = 'waitMs' in value ? value.waitMs : 0;
    try {
      return await this.caller.call({changes: false, heldMs: held, totalMs, tryMs: totalMs, value});
    } catch (err) {
      if (err instanceof RefusalError) {
        const ms = Math.round(this.clock.monotonicMs() - startedAt);
        const hosts = this.caller.hosts().join(',');
        const fields = {call: call.kind, hosts, ms, reason: err.message};
        this.log.decide('jobUnavailable', call.job, fields);
      }
      throw err;
    }
  }

  private shuffledHosts(): readonly string[] {
    return this.caller
      .hosts()
      .map((host) => ({host, lot: this.random()}))
      .sort((a, b) => a.lot - b.lot)
      .map(({host}) => host);
  }
}
