/**
 * Selects the replica of the control group that a process watches. With followers that answer too, the leader of a fleet of
 * 200 VMs is watched by 6 processes instead of 200.
 */
import type {MonotonicMs, VmId, ZoneId} from 'stallpaddle';

import {rendezvousOrder} from 'stallpaddle';

/** Time for which a VM that did not answer is skipped, in milliseconds: about the duration of a restart. */
const UNREACHABLE_SKIP_MS = 1_000;
/** Time for which a VM without current fleet status is skipped, in milliseconds; it asks the leader again within it. */
const REFUSED_SKIP_MS = 250;

/** Input of `orderReplicaHosts`. */
export interface ReplicaOrderInput {
  /** VMs with a replica. */
  readonly hosts: readonly VmId[];
  /** Name of the process that asks. */
  readonly name: string;
  readonly zone: ZoneId;
  /** Availability zone of a VM, where it is known. */
  readonly zoneOf: (host: VmId) => undefined | ZoneId;
}

/**
 * Orders replica VMs by preference: those in the process's own availability zone first, because traffic between zones is
 * charged, then by rendezvous hashing, which spreads the processes of a fleet over all replicas.
 *
 * @param input the VMs and the process that asks
 */
export function orderReplicaHosts({hosts, name, zone, zoneOf}: ReplicaOrderInput): readonly VmId[] {
  const order = rendezvousOrder(name, hosts);
  const isNear = (host: VmId): boolean => zoneOf(host) === zone;
  return [...order.filter(isNear), ...order.filter((host) => !isNear(host))];
}

/** Selects a replica VM and skips VMs that failed recently. */
export class NodeReplicaSelector {
  /** VMs that did not answer their latest request. */
  private readonly silent = new Set<VmId>();
  private readonly skippedUntil = new Map<VmId, MonotonicMs>();

  /**
   * The most preferred VM that isn't skipped.
   *
   * @param order VMs by preference
   * @param now the current time
   */
  choose(order: readonly VmId[], now: MonotonicMs): undefined | VmId {
    return order.find((host) => (this.skippedUntil.get(host) ?? -Infinity) <= now);
  }

  /**
   * Whether a request to a VM may be held there. One that was silent may be dark still, and a process that waits for it learns
   * nothing meanwhile.
   *
   * @param host the VM
   */
  mayHold(host: VmId): boolean {
    return !this.silent.has(host);
  }

  /**
   * Records that a VM has answered.
   *
   * @param host the VM
   */
  noteAnswer(host: VmId): void {
    this.silent.delete(host);
  }

  /**
   * Skips a VM for a while after a failed request.
   *
   * @param host the VM
   * @param why whether it did not answer or refused to
   * @param now the current time
   */
  noteFailure(host: VmId, why: 'refused' | 'silent', now: MonotonicMs): void {
    if (why === 'silent') {
      this.silent.add(host);
    } else {
      this.silent.delete(host);
    }
    this.skippedUntil.set(host, now + (why === 'silent' ? UNREACHABLE_SKIP_MS : REFUSED_SKIP_MS));
  }
}
