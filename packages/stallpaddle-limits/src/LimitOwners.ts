/**
 * Assigns customers' limits to owners among the entry VMs. Only some entry VMs own limits: more owners mean more
 * connections at every VM, fewer owners mean more load on each.
 */
import {hash32, rendezvousOrder, type VmId} from 'stallpaddle';

/** Number of entry VMs per owner. */
const VMS_PER_OWNER = 8;
/** Minimum number of owners, so that the loss of one moves only part of the customers. */
const MIN_OWNERS = 3;

/**
 * Selects the VMs that may own limits: those with the most capacity, and among VMs of the same capacity by hash. The result
 * depends only on their names and weights, so VMs with the same fleet status agree.
 *
 * @param vms all entry VMs
 * @param weights weight of each VM by its size; null where all count the same
 */
export function limitOwnerCandidates(
  vms: readonly VmId[],
  weights: null | readonly number[] = null,
): readonly VmId[] {
  const count = Math.max(MIN_OWNERS, Math.ceil(vms.length / VMS_PER_OWNER));
  return vms
    .map((vm, at) => ({hash: hash32(vm), vm, weight: weights?.[at] ?? 1}))
    .sort((a, b) => b.weight - a.weight || a.hash - b.hash || (a.vm < b.vm ? -1 : 1))
    .slice(0, count)
    .map(({vm}) => vm);
}

/**
 * Returns the owner of a customer's limit, followed by its deputies in order.
 *
 * @param customer the customer
 * @param candidates VMs that may own limits
 */
export function limitOwners(customer: string, candidates: readonly VmId[]): readonly VmId[] {
  return rendezvousOrder(customer, candidates);
}
