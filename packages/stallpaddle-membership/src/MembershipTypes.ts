/**
 * Types of the membership view. Membership is advisory: no safety property may depend on it.
 */
import type {MonotonicMs, VmId, ZoneId} from 'stallpaddle';

/** An address that callers or VMs can connect to. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** What a VM announces about itself; changes rarely. */
export interface VmMetadata {
  /** Address for callers. */
  readonly callers: Address;
  /** Wall time of the process's start, in milliseconds; a later process replaces an earlier one. */
  readonly epoch: number;
  readonly hasDisk: boolean;
  /** The VM accepts no new work and is about to shut down. */
  readonly leaving: boolean;
  /** Address for other VMs. */
  readonly peers: Address;
  /** Revision of the configuration that the VM applies. */
  readonly revision: number;
  readonly vm: VmId;
  readonly zone: ZoneId;
}

/** Load of an engine as its owner last saw it. A tuple, to keep heartbeats small. */
export type EngineLoadTuple = readonly [
  engine: string,
  online: number,
  batch: number,
  queued: number,
  /** Time per token as measured by the owner, in tenths of a millisecond. */
  tokenTenthsMs: number,
  /** Age of the report when it was forwarded, in milliseconds. */
  ageMs: number,
  weights: readonly string[],
];

/** One VM in the local view. */
export interface VmEntry {
  readonly facts: VmMetadata;
  /** Time of the latest heartbeat, on this VM's clock. */
  readonly lastSeenAt: MonotonicMs;
  /** Increases with each heartbeat of the VM's process. */
  readonly sequence: number;
  /** Version of the view in which the metadata last changed. */
  readonly version: number;
}

/** Status of one VM as sent to another VM. */
export interface VmUpdate {
  /** Time since the VM's latest heartbeat, in milliseconds. */
  readonly ageMs: number;
  readonly facts: VmMetadata;
  readonly sequence: number;
}

/** A VM's view of the fleet, including itself. */
export interface MembershipState {
  readonly entries: ReadonlyMap<VmId, VmEntry>;
  /** VMs that the platform lists as leaving. */
  readonly platformLeaving: ReadonlySet<VmId>;
  readonly self: VmId;
  /** Increases with each change of any VM's metadata. */
  readonly version: number;
}

/** An event that changes the membership view. */
export type MembershipEvent =
  | {readonly facts: VmMetadata; readonly kind: 'selfChanged'}
  | {readonly kind: 'beatDue'}
  | {readonly kind: 'newsHeard'; readonly news: readonly VmUpdate[]}
  | {
      /** VMs that the sender considers lost; it considers every other known VM live. */
      readonly kind: 'lossesHeard';
      readonly lost: readonly VmId[];
    }
  | {readonly kind: 'platformListed'; readonly leaving: readonly VmId[]};
