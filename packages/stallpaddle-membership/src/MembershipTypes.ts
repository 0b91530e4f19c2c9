/**
 * What VMs know of one another. All of it is advisory: nothing that must hold rests on it.
 */
import type {MonotonicMs, VmId, ZoneId} from 'stallpaddle';

/** An address that callers or VMs can connect to. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** What a VM says of itself; changes seldom. */
export interface VmMetadata {
  readonly callers: Address;
  /** Wall time of the process's start, in milliseconds; a later process replaces an earlier one. */
  readonly epoch: number;
  readonly hasDisk: boolean;
  /** Takes no new work and will go. */
  readonly leaving: boolean;
  readonly peers: Address;
  /** Configuration in force on the VM. */
  readonly revision: number;
  readonly vm: VmId;
  readonly zone: ZoneId;
}

/** Load of an engine as its owner last saw it. Tuples keep beats small. */
export type EngineLoadTuple = readonly [
  engine: string,
  online: number,
  batch: number,
  queued: number,
  /** Milliseconds per token as the owner measures, in tenths. */
  tokenTenthsMs: number,
  /** Age of the report when it was sent on, in milliseconds. */
  ageMs: number,
  weights: readonly string[],
];

/** One VM as seen from here. */
export interface VmEntry {
  readonly facts: VmMetadata;
  /** Latest sign of life, on this VM's clock. */
  readonly lastSeenAt: MonotonicMs;
  /** Rises with each beat of the VM's process. */
  readonly sequence: number;
  /** Version of the view in which the facts last changed. */
  readonly version: number;
}

/** One VM as told to another. */
export interface VmUpdate {
  readonly ageMs: number;
  readonly facts: VmMetadata;
  readonly sequence: number;
}

/** Everything that a VM knows of the others and itself. */
export interface MembershipState {
  readonly entries: ReadonlyMap<VmId, VmEntry>;
  /** VMs that the platform's list calls leaving. */
  readonly platformLeaving: ReadonlySet<VmId>;
  readonly self: VmId;
  /** Rises with each change of any VM's facts. */
  readonly version: number;
}

/** What can happen to a membership view. */
export type MembershipEvent =
  | {readonly facts: VmMetadata; readonly kind: 'selfChanged'}
  | {readonly kind: 'beatDue'}
  | {readonly kind: 'newsHeard'; readonly news: readonly VmUpdate[]}
  | {
      /** VMs that the teller holds for lost; all others that are known here were heard. */
      readonly kind: 'lossesHeard';
      readonly lost: readonly VmId[];
    }
  | {readonly kind: 'platformListed'; readonly leaving: readonly VmId[]};
