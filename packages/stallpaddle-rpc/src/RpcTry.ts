/**
 * One attempt of a call to a group's leader: its outcome, and how it is encoded on the wire.
 */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {GroupId, VmId} from 'stallpaddle';

import {decodeValue, encodeValue, vmOfReplica} from 'stallpaddle';
import {NotLeaderError, OutcomeUnknownError, ReplicaStoppedError} from 'stallpaddle-replication';

import type {CallResponse, CallResponseSchema} from './gen/stallpaddle/v1/peer_pb';
import type {PeerClient} from './RpcClients';

/** Outcome of one attempt. */
export type TryOutcome =
  | {readonly kind: 'answered'; readonly result: unknown}
  | {readonly kind: 'notLeader'; readonly leader: VmId | null}
  /** A command may have been committed or may still be; a query got no response. */
  | {readonly kind: 'unknown'};

/** A call to a group, as it is sent. */
export interface TryRequest {
  /** The encoded command or query. */
  readonly encoded: Uint8Array;
  readonly group: GroupId;
  readonly query: boolean;
}

type WireOutcome = MessageInitShape<typeof CallResponseSchema>['outcome'];

/**
 * Encodes an outcome for the response to a call.
 *
 * @param outcome the outcome
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
 * Decodes the outcome from the response to a call.
 *
 * @param outcome the encoded outcome
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
 * Runs a call on a replica of this process.
 *
 * @param work proposes the command or runs the query
 * @throws what `work` throws, except for the replica errors that map to an outcome
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
 * @param client client of the process; undefined while its address is unknown
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
    // Refused, reset or timed out: whether the call arrived is unknown.
    return {kind: 'unknown'};
  }
}
