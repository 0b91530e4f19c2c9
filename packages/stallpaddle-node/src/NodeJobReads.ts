/** Reads of jobs. */
import type {Clock, MonotonicMs, Random} from 'stallpaddle';
import type {BodyAnswer, JobName, JobsRequest, ResultsAnswer} from 'stallpaddle-jobs';

import {encodeValue, RefusalError} from 'stallpaddle';

import type {NodeGroupClient} from './NodeGroupClient';
import type {NodeLog} from './NodeLog';
import type {JobCall} from './NodeWire';

import {JOB_CALL_TIMEOUT_MS, JOBS_GROUP} from './NodeConstants';
import {NodeReplicaSelector} from './NodeReplicaSelector';

/** A call that reads a job. */
export type ReadCall = Extract<JobCall, {kind: 'readBody' | 'readResults'}> & JobName;

/** Answer types of the reads, by kind of call. */
export interface ReadAnswers {
  readonly readBody: BodyAnswer;
  readonly readResults: ResultsAnswer;
}

/**
 * Timeout of a read at a replica beyond the hold of its answer, in milliseconds: less than half of a read's total time, so
 * that the leader can still be asked.
 */
const REPLICA_TIMEOUT_MS = 600;

function heldMs(call: ReadCall): number {
  return call.kind === 'readResults' ? call.waitMs : 0;
}

function requestOf(call: ReadCall, mayFollow: boolean, timeoutMs: number): JobsRequest {
  if (call.kind === 'readBody') {
    return {...call, mayFollow, patienceMs: timeoutMs};
  }
  const waitMs = Math.min(call.waitMs, Math.max(0, timeoutMs - REPLICA_TIMEOUT_MS));
  return {...call, mayFollow, patienceMs: timeoutMs - waitMs, waitMs};
}

/**
 * Reads jobs at a random replica, and at the leader if the replica can't answer. Recorded results never change, so any
 * replica that has them can return them; this keeps the load of reads off the leader, which also dispatches the items.
 */
export class NodeJobReads {
  private readonly selector = new NodeReplicaSelector();

  /**
   * @param group client of the group that stores the jobs
   * @param clock this process's clock
   * @param log the process's log
   * @param random source of the choice among replicas
   */
  constructor(
    private readonly group: Pick<NodeGroupClient, 'call' | 'hosts' | 'leaderHost' | 'tryAt'>,
    private readonly clock: Clock,
    private readonly log: Pick<NodeLog, 'decide'>,
    private readonly random: Random = Math.random,
  ) {}

  /**
   * Reads a job, at a replica first and then at the leader.
   *
   * @param call the call
   * @throws {RefusalError} when neither answers in time
   */
  async read<Kind extends ReadCall['kind']>(
    call: Extract<ReadCall, {kind: Kind}>,
  ): Promise<ReadAnswers[Kind]> {
    const startedAt = this.clock.monotonicMs();
    const fromReplica = await this.readAtReplica(call);
    const answer = (fromReplica ?? (await this.readAtLeader(call, startedAt))) as ReadAnswers[Kind];
    if (answer.kind === 'notFound') {
      const leader = this.group.leaderHost ?? '';
      this.log.decide('jobNotFound', call.job, {call: call.kind, leader});
    }
    return answer;
  }

  private async readAtReplica(call: ReadCall): Promise<unknown> {
    const host = this.selector.choose(this.shuffledHosts(), this.clock.monotonicMs());
    if (host === undefined) {
      return undefined;
    }
    const tryMs = heldMs(call) + REPLICA_TIMEOUT_MS;
    const encoded = encodeValue(requestOf(call, true, tryMs));
    const outcome = await this.group.tryAt(host, {encoded, group: JOBS_GROUP, query: true}, tryMs);
    if (outcome.kind === 'answered') {
      return outcome.result;
    }
    const why = outcome.kind === 'unknown' ? 'silent' : 'refused';
    this.selector.noteFailure(host, why, this.clock.monotonicMs());
    return undefined;
  }

  private async readAtLeader(call: ReadCall, startedAt: MonotonicMs): Promise<unknown> {
    const spentMs = this.clock.monotonicMs() - startedAt;
    const totalMs = Math.max(0, JOB_CALL_TIMEOUT_MS + heldMs(call) - spentMs);
    const value = requestOf(call, false, totalMs);
    const held = 'waitMs' in value ? value.waitMs : 0;
    try {
      return await this.group.call({changes: false, heldMs: held, totalMs, tryMs: totalMs, value});
    } catch (err) {
      if (err instanceof RefusalError) {
        const ms = Math.round(this.clock.monotonicMs() - startedAt);
        const hosts = this.group.hosts().join(',');
        const fields = {call: call.kind, hosts, ms, reason: err.message};
        this.log.decide('jobUnavailable', call.job, fields);
      }
      throw err;
    }
  }

  private shuffledHosts(): readonly string[] {
    return this.group
      .hosts()
      .map((host) => ({host, sortKey: this.random()}))
      .sort((a, b) => a.sortKey - b.sortKey)
      .map(({host}) => host);
  }
}
