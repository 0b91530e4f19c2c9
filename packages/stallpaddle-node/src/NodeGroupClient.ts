/**
 * Calls to the leader of a group: finds it, and tries again while that can do no harm.
 */

import type {Clock, GroupId, ReplicaId, VmId} from 'stallpaddle';
import type {RpcChannel, TryOutcome, TryRequest} from 'stallpaddle-rpc';

import {delay, encodeValue, RefusalError, vmOfReplica} from 'stallpaddle';

import {RETRY_PAUSE_MS, CALL_TIMEOUT_MS, SLOW_LINK_BYTES_PER_MS} from './NodeConstants';
import {hostOf} from './NodeSettings';

/** What a caller needs of its process. */
export interface NodeGroupClientOptions {
  readonly clock: Clock;
  readonly group: GroupId;
  /** Answers a call to this process's own host, where it may lead; a call over the network would cost two turns. */
  readonly local: null | {
    readonly answer: (request: TryRequest) => Promise<TryOutcome>;
    readonly host: VmId;
  };
  /** Hosts that may lead, best known first. */
  readonly hosts: () => readonly VmId[];
  readonly peers: {readonly channel: (host: VmId) => Pick<RpcChannel, 'call' | 'post'>};
}

/** One call. */
export interface GroupCall {
  /** Whether it changes something: then a lost answer leaves its outcome unknown. */
  readonly changes: boolean;
  /** Longest time for which the leader holds the answer, in milliseconds. */
  readonly heldMs?: number;
  /** Longest time for all tries, in milliseconds. */
  readonly totalMs: number;
  /** Longest single try at a leader that has answered before, in milliseconds. */
  readonly tryMs?: number;
  /** Command or question; may arrive twice without harm. */
  readonly value: unknown;
}

/**
 * Hosts that may lead a group, each once.
 *
 * @param seeds addresses that are known from the start; asked first
 * @param replicas replicas of the group, best known first
 */
export function candidateHosts(
  seeds: readonly string[],
  replicas: readonly ReplicaId[],
): readonly VmId[] {
  return [...new Set([...seeds.map(hostOf), ...replicas.map(vmOfReplica)])];
}

/** A host that leads, as far as known. */
interface KnownLeader {
  /** Whether it has answered; else another replica has named it. */
  readonly hasAnswered: boolean;
  readonly host: VmId;
}

/** An outcome that is unknown once its time is over. */
function inTime(outcome: Promise<TryOutcome>, mostMs: number): Promise<TryOutcome> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve({kind: 'unknown'}), mostMs);
    const end = (ended: TryOutcome): void => {
      clearTimeout(timer);
      resolve(ended);
    };
    outcome.then(end, () => end({kind: 'unknown'}));
  });
}

/** See the module's comment. */
export class NodeGroupClient {
  private leader: KnownLeader | null = null;
  private next = 0;

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: NodeGroupClientOptions) {}

  /** The host that led when last heard. */
  get leaderHost(): null | VmId {
    return this.leader?.host ?? null;
  }

  /** Hosts that may lead, best known first. */
  hosts(): readonly VmId[] {
    return this.options.hosts();
  }

  /**
   * Calls the leader.
   *
   * @param call the call
   * @throws {RefusalError} when no leader answers in time; its verdict tells whether anything may have changed
   */
  async call<Answer>({changes, heldMs = 0, totalMs, tryMs, value}: GroupCall): Promise<Answer> {
    const {clock, group} = this.options;
    const encoded = encodeValue(value);
    const shortMs = heldMs + CALL_TIMEOUT_MS + encoded.length / SLOW_LINK_BYTES_PER_MS;
    const end = clock.monotonicMs() + totalMs;
    let mayHaveChanged = false;
    for (let left = totalMs; left > 0; left = end - clock.monotonicMs()) {
      // A VM that is only guessed or named to lead may be dark: a read would spend all its time there.
      const mostMs = this.leader?.hasAnswered === true ? (tryMs ?? shortMs) : shortMs;
      const outcome = await this.tryOnce({encoded, group, query: !changes}, Math.min(mostMs, left));
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
   * Makes one try at the best known host, and learns from it where the leader is.
   *
   * @param request the call
   * @param tryMs longest wait, in milliseconds
   */
  async tryOnce(request: TryRequest, tryMs: number): Promise<TryOutcome> {
    const asked = this.leader;
    const host = asked?.host ?? this.nextHost();
    if (host === undefined) {
      return {kind: 'notLeader', leader: null};
    }
    const outcome = await this.tryAt(host, request, tryMs);
    if (outcome.kind === 'answered') {
      this.leader = {hasAnswered: true, host};
    } else if (this.leader === asked) {
      // Unless another call has learned more meanwhile: many may end one after the other at a leader that is lost.
      const named = outcome.kind === 'notLeader' && outcome.leader !== host ? outcome.leader : null;
      this.leader = named === null ? null : {hasAnswered: false, host: named};
    }
    return outcome;
  }

  /**
   * Makes one try at a certain host, whether it leads or not.
   *
   * @param host the host
   * @param request a question that any replica answers
   * @param tryMs longest wait, in milliseconds
   */
  tryAt(host: VmId, request: TryRequest, tryMs: number): Promise<TryOutcome> {
    const {local, peers} = this.options;
    return local?.host === host
      ? inTime(local.answer(request), tryMs)
      : peers.channel(host).call(request, tryMs);
  }

  /**
   * Tells the leader something whose loss does no harm, where a leader is known.
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
