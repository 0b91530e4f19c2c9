/**
 * Brings snapshots to other VMs and takes them in, piece by piece.
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

/** Longest wait for the receipt of one piece, in milliseconds. */
const PIECE_TIMEOUT_MS = 10_000;

/** A replica, as far as a transfer needs it. */
export type SnapshotTarget = Pick<
  ReplicaDriver<unknown>,
  'beginInstall' | 'finishInstall' | 'installBlobs'
>;

/** A step of a transfer as it comes off the wire. */
export type InstallStep =
  | {readonly case: 'beginEncoded'; readonly value: Uint8Array}
  | {readonly case: 'blobs'; readonly value: {readonly bytes: Uint8Array; readonly offset: bigint}}
  | {
      readonly case: 'state';
      readonly value: {readonly bytes: Uint8Array; readonly last: boolean; readonly offset: bigint};
    }
  | {readonly case: undefined; readonly value?: undefined};

/** Answer to a step. */
export interface InstallReply {
  readonly blobEnd: bigint;
  readonly ok: boolean;
}

/**
 * A snapshot on its way. Pieces don't say which transfer they belong to, so two at once could mix; the checksum tells.
 * Earlier releases send none.
 */
interface SentSnapshot extends MachineSnapshot {
  readonly check?: number;
}

function isWhole({check, machine}: SentSnapshot): boolean {
  return check === undefined || check === checksum(machine);
}

/** The snapshot that pieces make, or undefined when they are of several. */
function joinSnapshot(pieces: readonly Uint8Array[]): MachineSnapshot | undefined {
  try {
    const sent = decodeValue<SentSnapshot>(Buffer.concat(pieces));
    return isWhole(sent) ? {machine: sent.machine, meta: sent.meta} : undefined;
  } catch {
    return undefined;
  }
}

/** Sends one step and waits for its receipt. */
type SendStep = (step: Parameters<PeerClient['install']>[0]['step']) => Promise<InstallReply>;

/** The receiver wants no more of the transfer. */
const REFUSED: InstallReply = {blobEnd: 0n, ok: false};

/**
 * Brings a snapshot to a replica: first the bulk data that it lacks, then the state.
 *
 * @param client the receiver; undefined while its address is not known
 * @param source the snapshot
 * @returns whether the receiver took it over
 */
export async function sendSnapshot(
  client: PeerClient | undefined,
  source: SnapshotSource,
): Promise<boolean> {
  if (client === undefined) {
    return false;
  }
  const call: SendStep = (step) =>
    client.install(
      {group: source.group, step, term: BigInt(source.term)},
      {timeoutMs: PIECE_TIMEOUT_MS},
    );
  const begun = await call({case: 'beginEncoded', value: encodeValue(source.snapshot.meta)});
  if (!begun.ok) {
    return false;
  }
  let offset = Number(begun.blobEnd);
  while (offset < source.blobEnd) {
    const piece = await source.readBlobs(offset, SNAPSHOT_CHUNK_BYTES);
    const value = {bytes: piece.bytes, offset: BigInt(piece.offset)};
    const sent = await call({case: 'blobs', value});
    if (!sent.ok || Number(sent.blobEnd) <= offset) {
      return false;
    }
    offset = Number(sent.blobEnd);
  }
  return sendState(source, call);
}

async function sendState(source: SnapshotSource, call: SendStep): Promise<boolean> {
  const {snapshot} = source;
  const sent: SentSnapshot = {...snapshot, check: checksum(snapshot.machine)};
  const state = encodeValue(sent);
  for (let offset = 0; ; offset += SNAPSHOT_CHUNK_BYTES) {
    const bytes = state.subarray(offset, offset + SNAPSHOT_CHUNK_BYTES);
    const last = offset + SNAPSHOT_CHUNK_BYTES >= state.length;
    const {ok} = await call({case: 'state', value: {bytes, last, offset: BigInt(offset)}});
    if (!ok || last) {
      return ok;
    }
  }
}

/** Takes in snapshots for the replicas of this VM. */
export class SnapshotReceiver {
  private readonly states = new Map<GroupId, Uint8Array[]>();

  /**
   * Takes in one step.
   *
   * @param group the group
   * @param replica this VM's replica of it
   * @param term the leader's term
   * @param step what arrived
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
    piece: {readonly bytes: Uint8Array; readonly last: boolean; readonly offset: bigint},
  ): Promise<InstallReply> {
    const pieces = this.states.get(group) ?? [];
    const received = pieces.reduce((sum, {length}) => sum + length, 0);
    if (Number(piece.offset) !== received) {
      return REFUSED;
    }
    this.states.set(group, [...pieces, piece.bytes]);
    if (!piece.last) {
      return {blobEnd: 0n, ok: true};
    }
    this.states.delete(group);
    const snapshot = joinSnapshot([...pieces, piece.bytes]);
    const ok = snapshot !== undefined && (await replica.finishInstall(snapshot, term));
    return {blobEnd: 0n, ok};
  }
}
