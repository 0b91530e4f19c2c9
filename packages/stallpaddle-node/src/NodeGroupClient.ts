/** Client of a replication group. */

import type {Clock, GroupId, ReplicaId, VmId} from 'stallpaddle';
import type {RpcChannel, TryOutcome, TryRequest} from 'stallpaddle-rpc';

import {delay, encodeValue, RefusalError, vmOfReplica} from 'stallpaddle';

import {CALL_TIMEOUT_MS, RETRY_PAUSE_MS, SLOW_LINK_BYTES_PER_MS} from './NodeConstants';
import {hostOf} from './NodeSettings';

/** Dependencies of `NodeGroupClient`. */
export interface NodeGroupClientOptions {
  readonly clock: Clock;
  readonly group: GroupId;
  /** Answers calls to this process's own host without the network; null for a process that can't lead. */
  readonly local: null | {
    readonly answer: (request: TryRequest) => Promise<TryOutcome>;
    readonly host: VmId;
  };
  /** Hosts that may lead, the likeliest first. */
  readonly hosts: () => readonly VmId[];
  readonly peers: {readonly channel: (host: VmId) => Pick<RpcChannel, 'call' | 'post'>};
}

/** A call to the group's leader. */
export interface GroupCall {
  /** Whether the call changes state, so that its outcome is unknown when the answer is lost. */
  readonly changes: boolean;
  /** Longest time that the leader holds the answer, in milliseconds. */
  readonly heldMs?: number;
  /** Timeout of all tries together, in milliseconds. */
  readonly totalMs: number;
  /** Timeout of a single try at a leader that has answered before, in milliseconds. */
  readonly tryMs?: number;
  /** An idempotent command or query. */
  readonly value: unknown;
}

/**
 * Distinct hosts that may lead a group.
 *
 * @param seeds addresses from the settings, which come first
 * @param replicas replicas of the group, the likeliest leader first
 */
export function candidateHosts(
  seeds: readonly string[],
  replicas: readonly ReplicaId[],
): readonly VmId[] {
  return [...new Set([...seeds.map(hostOf), ...replicas.map(vmOfReplica)])];
}

/** The last known leader. */
interface KnownLeader {
  /** Whether it has answered as leader; else another replica has named it. */
  readonly hasAnswered: boolean;
  readonly host: VmId;
}

/** Resolves to an unknown outcome after a timeout. */
function withTimeout(outcome: Promise<TryOutcome>, timeoutMs: number): Promise<TryOutcome> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve({kind: 'unknown'}), timeoutMs);
    const end = (ended: TryOutcome): void => {
      clearTimeout(timer);
      resolve(ended);
    };
    outcome.then(end, () => end({kind: 'unknown'}));
  });
}

/** Finds the leader of a group, calls it, and retries as long as this is safe. */
export class NodeGroupClient {
  private leader: KnownLeader | null = null;
  private next = 0;

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeGroupClientOptions) {}

  /** Host of the last known leader. */
  get leaderHost(): null | VmId {
    return this.leader?.host ?? null;
  }

  /** Hosts that may lead, the likeliest first. */
  hosts(): readonly VmId[] {
    return this.options.hosts();
  }

  /**
   * Calls the leader.
   *
   * @param call the call
   * @throws {RefusalError} when no leader answers in time; its verdict says whether the call may have taken effect
   */
  async call<Answer>({changes, heldMs = 0, totalMs, tryMs, value}: GroupCall): Promise<Answer> {
    const {clock, group} = this.options;
    const encoded = encodeValue(value);
    const shortMs = heldMs + CALL_TIMEOUT_MS + encoded.length / SLOW_LINK_BYTES_PER_MS;
    const end = clock.monotonicMs() + totalMs;
    let mayHaveChanged = false;
    for (let left = totalMs; left > 0; left = end - clock.monotonicMs()) {
      // A VM that has not answered as leader may be unreachable, so it gets only the short timeout.
      const timeoutMs = this.leader?.hasAnswered === true ? (tryMs ?? shortMs) : shortMs;
      const outcome = await this.tryOnce(
        {encoded, group, query: !changes},
        Math.min(timeoutMs, left),
      );
      if (outcome.kind === 'answered') {
        return outcome.result as Answer;
      }
      mayHaveChanged ||= changes && outcome.kind === 'unknown';
      await delay(RETRY_PAUSE_MS);
    }
    const verdict = mayHaveChanged ? 'mayHaveRun' : 'notRun';
    throw new RefusalError('unavailable', verdict, `Group ${group} has no leader now.`);
  }

  /**
   * Makes one try at the last known leader or, without one, at the next host, and updates the known leader.
   *
   * @param request the call
   * @param tryMs timeout, in milliseconds
   */
  async tryOnce(request: TryRequest, tryMs: number): Promise<TryOutcome> {
    const leaderBefore = this.leader;
    const host = leaderBefore?.host ?? this.nextHost();
    if (host === undefined) {
      return {kind: 'notLeader', leader: null};
    }
    const outcome = await this.tryAt(host, request, tryMs);
    if (outcome.kind === 'answered') {
      this.leader = {hasAnswered: true, host};
    } else if (this.leader === leaderBefore) {
      // A concurrent call may have found the new leader already: a late failure at the old one must not discard it.
      const named = outcome.kind === 'notLeader' && outcome.leader !== host ? outcome.leader : null;
      this.leader = named === null ? null : {hasAnswered: false, host: named};
    }
    return outcome;
  }

  /**
   * Makes one try at a given host, whether it leads or not.
   *
   * @param host the host
   * @param request a query that any replica answers
   * @param tryMs timeout, in milliseconds
   */
  tryAt(host: VmId, request: TryRequest, tryMs: number): Promise<TryOutcome> {
    const {local, peers} = this.options;
    return local?.host === host
      ? withTimeout(local.answer(request), tryMs)
      : peers.channel(host).call(request, tryMs);
  }

  /**
   * Sends a message whose loss is harmless to the leader, if one is known, without waiting for an answer.
   *
   * @param request the call
   * @returns whether it was sent
   */
  post(request: TryRequest): boolean {
    if (this.leader === null) {
      return false;
    }
    this.options.peers.channel(this.leader.host).post(request);
    return true;
  }

  private nextHost(): undefined | VmId {
    const hosts = this.hosts();
    return hosts[this.next++ % Math.max(1, hosts.length)];
  }
}
