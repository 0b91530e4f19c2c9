/** VMs that may own limits, by the fleet status. */
import type {VmId} from 'stallpaddle';

import {limitOwnerCandidates} from './LimitOwners';

function isSame(a: null | readonly unknown[], b: null | readonly unknown[]): boolean {
  return (
    a === b || (a?.length === b?.length && a?.every((value, at) => value === b?.[at]) === true)
  );
}

/** Selects the VMs that may own limits anew only when VMs or their weights change, not with each fleet status. */
export class LimitCandidates {
  private candidates: readonly VmId[] = [];
  private vms: readonly VmId[] = [];
  private weights: null | readonly number[] = null;

  /** VMs that may own limits. */
  get current(): readonly VmId[] {
    return this.candidates;
  }

  /**
   * Applies a fleet status.
   *
   * @param vms all entry VMs
   * @param weights weight of each VM; null where all count the same
   * @returns whether VMs or weights have changed
   */
  update(vms: readonly VmId[], weights: null | readonly number[]): boolean {
    if (isSame(vms, this.vms) && isSame(weights, this.weights)) {
      return false;
    }
    this.vms = vms;
    this.weights = weights;
    this.candidates = limitOwnerCandidates(vms, weights);
    return true;
  }
}
