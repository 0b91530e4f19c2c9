/** Calls to a replication group from any VM. */
import type {Clock, GroupId, VmId} from 'stallpaddle';
import type {ControlCommandResult, ControlPort} from 'stallpaddle-control';
import type {LedgerAnswer, LedgerPort} from 'stallpaddle-ledger';
import type {BlobRef} from 'stallpaddle-storage';

import {delay, encodeValue, RefusalError} from 'stallpaddle';
import {tryLocal, type TryOutcome, tryRemote} from 'stallpaddle-rpc';

import type {VmGroups} from './VmGroups';
import type {VmPeers} from './VmPeers';

import {GROUP_CALL_TIMEOUT_MS, GROUP_RETRY_MS, GROUP_TRY_TIMEOUT_MS} from './VmConstants';

/** Dependencies of a group client. */
export interface VmGroupClientOptions {
  readonly clock: Clock;
  /** The replicas on this VM's disk, if it has one. */
  readonly groups: VmGroups | undefined;
  readonly peers: VmPeers;
  /** VMs that may hold replicas, in the order in which they are tried. */
  readonly replicaVms: (group: GroupId) => readonly VmId[];
  readonly vm: VmId;
}

/** Finds the leader of one group, and retries calls. Commands must be idempotent, since a retry may repeat them. */
export class VmGroupClient {
  private leader: VmId | null = null;

  /**
   * @param options dependencies
   * @param group the group
   */
  constructor(
    private readonly options: VmGroupClientOptions,
    private readonly group: GroupId,
  ) {}

  /**
   * Proposes a command or runs a query.
   *
   * @param value command or query
   * @param query whether it is a query
   * @throws {RefusalError} `unavailable` if no leader responds in time
   */
  async call(value: unknown, query: boolean): Promise<unknown> {
    const encoded = encodeValue(value);
    const deadline = this.options.clock.monotonicMs() + GROUP_CALL_TIMEOUT_MS;
    let mayBeCommitted = false;
    for (let attempt = 0; this.options.clock.monotonicMs() < deadline; attempt++) {
      const vm = this.leader ?? this.nextVm(attempt);
      const outcome = await this.tryOn(vm, encoded, query);
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
   * Reads a blob from this VM's replica or any other.
   *
   * @param ref location of the blob
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
        const response = await this.options.peers
          .clientOf(vm)
          ?.readBlob(request, {timeoutMs: GROUP_TRY_TIMEOUT_MS});
        if (response !== undefined) {
          return response.payload;
        }
      } catch {
        // Tries the next replica.
      }
    }
    throw new RefusalError('unavailable', 'notRun', 'no replica could read the data', {
      retryAfterMs: 1000,
    });
  }

  private nextVm(attempt: number): VmId {
    const vms = this.options.replicaVms(this.group);
    return vms[attempt % Math.max(1, vms.length)] ?? this.options.vm;
  }

  private tryOn(vm: VmId, encoded: Uint8Array, query: boolean): Promise<TryOutcome> {
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
 * Calls the group's replica on this VM.
 *
 * @param groups the replicas on this VM's disk
 * @param group the group
 * @param encoded command or query
 * @param query whether it is a query
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
 * Adapts a client to the port of a ledger shard.
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
 * Adapts a client to the port of the control group.
 *
 * @param client client of the control group
 */
export function controlPort(client: VmGroupClient): ControlPort {
  return {
    command: async (command) => (await client.call(command, false)) as ControlCommandResult,
    query: async (query) => (await client.call(query, true)) as never,
  };
}
