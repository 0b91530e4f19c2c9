/**
 * Which replica of the control group a process asks for news. All replicas answer, so that the leader is asked by a few
 * processes and not by each: at 200 VMs by 6 instead of 200. One in the process's own availability zone comes first,
 * since bytes between zones are paid for; chance that is fixed by names decides between equals. One that did not answer
 * is left out for a while.
 */
import type {MonotonicMs, VmId, ZoneId} from 'stallpaddle';

import {rendezvousOrder} from 'stallpaddle';

/** Time for which a VM that was silent is left out, in milliseconds: a restart takes about as long. */
const SILENT_OUT_MS = 1_000;
/** Time for which a VM that could not answer is left out, in milliseconds: it asks the leader again within that. */
const REFUSED_OUT_MS = 250;

/** What the order rests on. */
export interface ReplicaOrderInput {
  /** VMs with a replica. */
  readonly hosts: readonly VmId[];
  /** The process that asks. */
  readonly name: string;
  readonly zone: ZoneId;
  /** Zone of a VM, where it is known. */
  readonly zoneOf: (host: VmId) => undefined | ZoneId;
}

/**
 * VMs in the order in which a process asks them.
 *
 * @param input what the order rests on
 */
export function orderReplicaHosts({hosts, name, zone, zoneOf}: ReplicaOrderInput): readonly VmId[] {
  const order = rendezvousOrder(name, hosts);
  const isNear = (host: VmId): boolean => zoneOf(host) === zone;
  return [...order.filter(isNear), ...order.filter((host) => !isNear(host))];
}

/** Remembers which VMs did not answer. */
export class NodeReplicaSelector {
  private readonly out = new Map<VmId, MonotonicMs>();

  /**
   * The first VM that isn't left out.
   *
   * @param order VMs, the best first
   * @param now the present moment
   */
  choose(order: readonly VmId[], now: MonotonicMs): undefined | VmId {
    return order.find((host) => (this.out.get(host) ?? -Infinity) <= now);
  }

  /**
   * Leaves a VM out for a while.
   *
   * @param host the VM
   * @param why whether it said nothing, or that it can't tell
   * @param now the present moment
   */
  noteFailure(host: VmId, why: 'refused' | 'silent', now: MonotonicMs): void {
    this.out.set(host, now + (why === 'silent' ? SILENT_OUT_MS : REFUSED_OUT_MS));
  }
}
