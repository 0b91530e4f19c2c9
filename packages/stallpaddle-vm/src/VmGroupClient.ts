/**
 * Calls to a group from any VM: finds the leader, and tries again while that can do no harm.
 */
import type {Clock, GroupId, VmId} from 'stallpaddle';
import type {ControlCommandResult, ControlPort} from 'stallpaddle-control';
import type {LedgerAnswer, LedgerPort} from 'stallpaddle-ledger';
import type {BlobRef} from 'stallpaddle-storage';

import {delay, encodeValue, RefusalError} from 'stallpaddle';
import {tryLocal, type TryOutcome, tryRemote} from 'stallpaddle-rpc';

import type {VmGroups} from './VmGroups';
import type {VmPeers} from './VmPeers';

import {GROUP_CALL_TIMEOUT_MS, GROUP_RETRY_MS, GROUP_TRY_TIMEOUT_MS} from './VmConstants';

/** What a client needs of its VM. */
export interface VmGroupClientOptions {
  readonly clock: Clock;
  /** Replicas on this VM's disk, if it has one. */
  readonly groups: VmGroups | undefined;
  readonly peers: VmPeers;
  /** VMs that may hold replicas, nearest first. */
  readonly replicaVms: (group: GroupId) => readonly VmId[];
  readonly vm: VmId;
}

/** Client of one group. Commands must be such that a doubled one does no harm. */
export class VmGroupClient {
  private leader: VmId | null = null;

  /**
   * @param options what it needs of its VM
   * @param group the group
   */
  constructor(
    private readonly options: VmGroupClientOptions,
    private readonly group: GroupId,
  ) {}

  /**
   * Proposes a command or asks a question.
   *
   * @param value command or question
   * @param query whether it is a question
   * @throws {RefusalError} `unavailable` when no leader answers in time
   */
  async call(value: unknown, query: boolean): Promise<unknown> {
    const encoded = encodeValue(value);
    const deadline = this.options.clock.monotonicMs() + GROUP_CALL_TIMEOUT_MS;
    let mayBeCommitted = false;
    for (let attempt = 0; this.options.clock.monotonicMs() < deadline; attempt++) {
      const vm = this.leader ?? this.nextVm(attempt);
      const outcome = await this.tryAt(vm, encoded, query);
      switch (outcome.kind) {
        case 'answered':
          this.leader = vm;
          return outcome.result;
        case 'notLeader':
          this.leader = outcome.leader === vm ? null : outcome.leader;
          break;
        case 'unknown':
          this.leader = null;
          mayBeCommitted = mayBeCommitted || !query;
          break;
      }
      await delay(GROUP_RETRY_MS);
    }
    const verdict = mayBeCommitted ? 'mayHaveRun' : 'notRun';
    throw new RefusalError('unavailable', verdict, `group ${this.group} has no leader now`, {
      retryAfterMs: 1000,
    });
  }

  /**
   * Reads bulk data from this VM's replica or any other.
   *
   * @param ref its place
   */
  async readBlob(ref: BlobRef): Promise<Uint8Array> {
    const local = this.options.groups?.replicaOf(this.group);
    if (
      local !== undefined &&
      'blobEnd' in local.localState &&
      local.localState.blobEnd >= ref.offset + ref.length
    ) {
      return local.readBlob(ref);
    }
    const vms = [this.leader, ...this.options.replicaVms(this.group)].filter((vm) => vm !== null);
    for (const vm of vms) {
      try {
        const request = {group: this.group, length: ref.length, offset: BigInt(ref.offset)};
        const answer = await this.options.peers
          .clientOf(vm)
          ?.readBlob(request, {timeoutMs: GROUP_TRY_TIMEOUT_MS});
        if (answer !== undefined) {
          return answer.payload;
        }
      } catch {
        // The next replica may have it.
      }
    }
    throw new RefusalError('unavailable', 'notRun', 'no replica can read the data now', {
      retryAfterMs: 1000,
    });
  }

  private nextVm(attempt: number): VmId {
    const vms = this.options.replicaVms(this.group);
    return vms[attempt % Math.max(1, vms.length)] ?? this.options.vm;
  }

  private tryAt(vm: VmId, encoded: Uint8Array, query: boolean): Promise<TryOutcome> {
    return vm === this.options.vm
      ? callLocal(this.options.groups, this.group, encoded, query)
      : tryRemote(
          this.options.peers.clientOf(vm),
          {encoded, group: this.group, query},
          GROUP_TRY_TIMEOUT_MS,
        );
  }
}

/**
 * Calls a replica of this VM.
 *
 * @param groups this VM's replicas
 * @param group the group
 * @param encoded command or question
 * @param query whether it is a question
 */
export async function callLocal(
  groups: VmGroups | undefined,
  group: GroupId,
  encoded: Uint8Array,
  query: boolean,
): Promise<TryOutcome> {
  const replica = groups?.replicaOf(group);
  if (groups === undefined || replica === undefined) {
    return {kind: 'notLeader', leader: null};
  }
  return tryLocal(() => (query ? groups.query(group, encoded) : replica.propose(encoded)));
}

/**
 * A ledger shard through a client.
 *
 * @param client client of the shard's group
 */
export function ledgerPort(client: VmGroupClient): LedgerPort {
  return {
    command: async (command) => (await client.call(command, false)) as LedgerAnswer,
    query: async (query) => (await client.call(query, true)) as never,
    readBlob: (ref) => client.readBlob(ref),
  };
}

/**
 * The control group through a client.
 *
 * @param client client of the control group
 */
export function controlPort(client: VmGroupClient): ControlPort {
  return {
    command: async (command) => (await client.call(command, false)) as ControlCommandResult,
    query: async (query) => (await client.call(query, true)) as never,
  };
}
