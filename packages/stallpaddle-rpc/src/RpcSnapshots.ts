/**
 * Transfer of snapshots between VMs, in chunks.
 */
import type {GroupId} from 'stallpaddle';
import type {
  MachineSnapshot,
  ReplicaDriver,
  SnapshotMeta,
  SnapshotSource,
} from 'stallpaddle-replication';

import {decodeValue, encodeValue} from 'stallpaddle';
import {SNAPSHOT_CHUNK_BYTES} from 'stallpaddle-replication';
import {checksum} from 'stallpaddle-storage';

import type {PeerClient} from './RpcClients';

/** Timeout of one step of a transfer, in milliseconds. */
const STEP_TIMEOUT_MS = 10_000;

/** The replica that a snapshot is installed on. */
export type SnapshotTarget = Pick<
  ReplicaDriver<unknown>,
  'beginInstall' | 'finishInstall' | 'installBlobs'
>;

/** A step of a transfer, as decoded from the wire. */
export type InstallStep =
  | {readonly case: 'beginEncoded'; readonly value: Uint8Array}
  | {readonly case: 'blobs'; readonly value: {readonly bytes: Uint8Array; readonly offset: bigint}}
  | {
      readonly case: 'state';
      readonly value: {readonly bytes: Uint8Array; readonly last: boolean; readonly offset: bigint};
    }
  | {readonly case: undefined; readonly value?: undefined};

/** Response to a step. */
export interface InstallReply {
  readonly blobEnd: bigint;
  readonly ok: boolean;
}

/**
 * A snapshot as it is sent. Chunks don't name their transfer, so those of two concurrent transfers can mix, which the
 * checksum detects. Earlier releases send none.
 */
interface TransferredSnapshot extends MachineSnapshot {
  readonly check?: number;
}

function isIntact({check, machine}: TransferredSnapshot): boolean {
  return check === undefined || check === checksum(machine);
}

/** Decodes a snapshot from its chunks; returns undefined when they belong to several transfers. */
function decodeSnapshot(chunks: readonly Uint8Array[]): MachineSnapshot | undefined {
  try {
    const sent = decodeValue<TransferredSnapshot>(Buffer.concat(chunks));
    return isIntact(sent) ? {machine: sent.machine, meta: sent.meta} : undefined;
  } catch {
    return undefined;
  }
}

/** Sends one step and waits for the response. */
type SendStep = (step: Parameters<PeerClient['install']>[0]['step']) => Promise<InstallReply>;

/** Makes the sender abort the transfer. */
const REFUSED: InstallReply = {blobEnd: 0n, ok: false};

/**
 * Sends a snapshot to a replica: first the bulk data that it lacks, then the state.
 *
 * @param client the receiver; undefined while its address is unknown
 * @param source the snapshot
 * @returns whether the receiver installed it
 */
export async function sendSnapshot(
  client: PeerClient | undefined,
  source: SnapshotSource,
): Promise<boolean> {
  if (client === undefined) {
    return false;
  }
  const sendStep: SendStep = (step) =>
    client.install(
      {group: source.group, step, term: BigInt(source.term)},
      {timeoutMs: STEP_TIMEOUT_MS},
    );
  const started = await sendStep({case: 'beginEncoded', value: encodeValue(source.snapshot.meta)});
  if (!started.ok) {
    return false;
  }
  let offset = Number(started.blobEnd);
  while (offset < source.blobEnd) {
    const chunk = await source.readBlobs(offset, SNAPSHOT_CHUNK_BYTES);
    const value = {bytes: chunk.bytes, offset: BigInt(chunk.offset)};
    const reply = await sendStep({case: 'blobs', value});
    if (!reply.ok || Number(reply.blobEnd) <= offset) {
      return false;
    }
    offset = Number(reply.blobEnd);
  }
  return sendState(source, sendStep);
}

async function sendState(source: SnapshotSource, sendStep: SendStep): Promise<boolean> {
  const {snapshot} = source;
  const sent: TransferredSnapshot = {...snapshot, check: checksum(snapshot.machine)};
  const state = encodeValue(sent);
  for (let offset = 0; ; offset += SNAPSHOT_CHUNK_BYTES) {
    const bytes = state.subarray(offset, offset + SNAPSHOT_CHUNK_BYTES);
    const last = offset + SNAPSHOT_CHUNK_BYTES >= state.length;
    const {ok} = await sendStep({case: 'state', value: {bytes, last, offset: BigInt(offset)}});
    if (!ok || last) {
      return ok;
    }
  }
}

/** Receives snapshots for the replicas of this VM. */
export class SnapshotReceiver {
  /** Chunks of incomplete states. */
  private readonly states = new Map<GroupId, Uint8Array[]>();

  /**
   * Handles one step.
   *
   * @param group the group
   * @param replica this VM's replica of it
   * @param term the leader's term
   * @param step the step
   */
  async take(
    group: GroupId,
    replica: SnapshotTarget,
    term: number,
    step: InstallStep,
  ): Promise<InstallReply> {
    switch (step.case) {
      case 'beginEncoded': {
        this.states.delete(group);
        const end = await replica.beginInstall(decodeValue<SnapshotMeta>(step.value), term);
        return end === undefined ? REFUSED : {blobEnd: BigInt(end), ok: true};
      }
      case 'blobs': {
        const end = await replica.installBlobs(Number(step.value.offset), step.value.bytes);
        return {blobEnd: BigInt(end), ok: true};
      }
      case 'state':
        return this.takeState(group, replica, term, step.value);
      case undefined:
        return REFUSED;
    }
  }

  private async takeState(
    group: GroupId,
    replica: SnapshotTarget,
    term: number,
    chunk: {readonly bytes: Uint8Array; readonly last: boolean; readonly offset: bigint},
  ): Promise<InstallReply> {
    const chunks = this.states.get(group) ?? [];
    const received = chunks.reduce((sum, {length}) => sum + length, 0);
    if (Number(chunk.offset) !== received) {
      return REFUSED;
    }
    this.states.set(group, [...chunks, chunk.bytes]);
    if (!chunk.last) {
      return {blobEnd: 0n, ok: true};
    }
    this.states.delete(group);
    const snapshot = decodeSnapshot([...chunks, chunk.bytes]);
    const ok = snapshot !== undefined && (await replica.finishInstall(snapshot, term));
    return {blobEnd: 0n, ok};
  }
}
