/**
 * One try of a call to a group's leader, as the caller and the answering process see it.
 */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {GroupId, VmId} from 'stallpaddle';

import {decodeValue, encodeValue, vmOfReplica} from 'stallpaddle';
import {NotLeaderError, OutcomeUnknownError, ReplicaStoppedError} from 'stallpaddle-replication';

import type {CallResponse, CallResponseSchema} from './gen/stallpaddle/v1/peer_pb';
import type {PeerClient} from './RpcClients';

/** What one try came to. */
export type TryOutcome =
  | {readonly kind: 'answered'; readonly result: unknown}
  | {readonly kind: 'notLeader'; readonly leader: VmId | null}
  /** A command may still be committed; a question was not answered. */
  | {readonly kind: 'unknown'};

/** A call as it is sent. */
export interface TryRequest {
  /** Command or question, encoded. */
  readonly encoded: Uint8Array;
  readonly group: GroupId;
  readonly query: boolean;
}

type WireOutcome = MessageInitShape<typeof CallResponseSchema>['outcome'];

/**
 * Puts an outcome into the answer of a call.
 *
 * @param outcome what the try came to
 */
export function encodeOutcome(outcome: TryOutcome): WireOutcome {
  switch (outcome.kind) {
    case 'answered':
      return {case: 'encoded', value: encodeValue(outcome.result)};
    case 'notLeader':
      return {case: 'notLeader', value: {leaderVm: outcome.leader ?? ''}};
    case 'unknown':
      return {case: 'outcomeUnknown', value: {}};
  }
}

/**
 * Takes an outcome out of the answer of a call.
 *
 * @param outcome what the answer holds
 */
export function decodeOutcome(outcome: CallResponse['outcome']): TryOutcome {
  switch (outcome.case) {
    case 'encoded':
      return {kind: 'answered', result: decodeValue(outcome.value)};
    case 'notLeader':
      return {kind: 'notLeader', leader: outcome.value.leaderVm || null};
    case 'outcomeUnknown':
    case undefined:
      return {kind: 'unknown'};
  }
}

/**
 * Runs a call at a replica of this process and names what it came to.
 *
 * @param work proposes the command or answers the question
 * @throws what `work` throws, but for the errors that a replica is known to throw
 */
export async function tryLocal(work: () => unknown): Promise<TryOutcome> {
  try {
    return {kind: 'answered', result: await work()};
  } catch (err) {
    if (err instanceof NotLeaderError) {
      return {kind: 'notLeader', leader: err.leader === null ? null : vmOfReplica(err.leader)};
    }
    if (err instanceof OutcomeUnknownError || err instanceof ReplicaStoppedError) {
      return {kind: 'unknown'};
    }
    throw err;
  }
}

/**
 * Calls another process.
 *
 * @param client the process; undefined while its address is not known
 * @param request the call
 * @param timeoutMs longest wait, in milliseconds
 */
export async function tryRemote(
  client: PeerClient | undefined,
  request: TryRequest,
  timeoutMs: number,
): Promise<TryOutcome> {
  if (client === undefined) {
    return {kind: 'notLeader', leader: null};
  }
  try {
    const {outcome} = await client.call(request, {timeoutMs});
    return decodeOutcome(outcome);
  } catch {
    // Refused, reset, silent for too long: nobody can tell whether the call arrived.
    return {kind: 'unknown'};
  }
}
