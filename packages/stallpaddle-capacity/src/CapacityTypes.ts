/**
 * What VMs report about the speed of engines and about their own size.
 */

/** Observations of one engine since the last report that was answered. */
export interface SpeedSample {
  /** Number of gaps between events. */
  readonly events: number;
  /** Sum of the times to first events, in milliseconds. */
  readonly firstMs: number;
  /** Number of first events at an engine that had a free slot. */
  readonly firsts: number;
  /** Sum of the gaps between events, in milliseconds. */
  readonly ms: number;
}

/** Size of a VM as its settings name it; fields that are not set are unknown. */
export interface VmSize {
  /** Processor cores, or a fraction of one. */
  readonly cores?: number;
  /** Maximum number of open file descriptors. */
  readonly descriptors?: number;
  /** Whether the VM has a disk; such a VM has its size for the duties of the control group. */
  readonly hasDisk?: boolean;
  /** Bandwidth of the VM's link, in Mbit/s. */
  readonly linkMbps?: number;
  readonly memoryMb?: number;
}

/** Size and utilization of a VM. */
export interface VmCapacity extends VmSize {
  /** Fraction of the VM's most utilized resource that is in use, in steps of 0.1; absent while unknown. */
  readonly used?: number;
}

/** Whether two VMs have the same size for callers. */
function isSameSize(a: VmSize, b: VmSize): boolean {
  return a.cores === b.cores && a.memoryMb === b.memoryMb && a.linkMbps === b.linkMbps;
}

/**
 * Whether VMs have unequal sizes. VMs with a disk are left out, because their size is meant for the control group.
 *
 * @param vms the VMs
 */
export function haveUnequalSizes(vms: readonly VmSize[]): boolean {
  const sized = vms.filter(({cores, hasDisk}) => cores !== undefined && hasDisk !== true);
  return sized.some((vm) => !isSameSize(vm, sized[0]!));
}
