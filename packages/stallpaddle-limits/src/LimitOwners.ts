/**
 * Which VMs keep the limit of a customer. Some entry VMs keep all limits: each more of them is a connection more at every
 * VM, each fewer makes the work of one larger.
 */
import {hash32, rendezvousOrder, type VmId} from 'stallpaddle';

/** Entry VMs of which one keeps limits. */
const VMS_PER_KEEPER = 8;
/** Fewest VMs that keep limits, so that the loss of one moves few customers. */
const FEWEST_KEEPERS = 3;

/**
 * The VMs that keep limits. Which they are depends on their names alone, so that all VMs that know the same fleet agree.
 *
 * @param vms all entry VMs
 */
export function limitOwnerCandidates(vms: readonly VmId[]): readonly VmId[] {
  const count = Math.max(FEWEST_KEEPERS, Math.ceil(vms.length / VMS_PER_KEEPER));
  return [...vms].sort((a, b) => hash32(a) - hash32(b) || (a < b ? -1 : 1)).slice(0, count);
}

/**
 * The owner of a customer's limit, and who is asked in its place, in this order.
 *
 * @param customer the customer
 * @param keepers VMs that keep limits
 */
export function limitOwners(customer: string, keepers: readonly VmId[]): readonly VmId[] {
  return rendezvousOrder(customer, keepers);
}
