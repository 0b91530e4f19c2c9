/** Fleet of entry VMs of unequal size. */
import type {WeightedVm} from '../CapacityVms';

/** Availability zones of the fixture. */
export const ZONES = ['z0', 'z1', 'z2', 'z3'] as const;

/** Weight of a large VM of the fixture: the ratio of the memories, which is less than those of processors and links. */
export const LARGE_WEIGHT = 490 / 210;

/** Builds 80 VMs in four zones: 55 of 0.243 core, 17 of 0.81 core and 8 of 0.864 core with a disk. */
export function unequalVms(): readonly WeightedVm[] {
  return Array.from({length: 80}, (_, at) => ({
    cores: at < 55 ? 0.243 : at < 72 ? 0.81 : 0.864,
    hasDisk: at >= 72,
    linkMbps: at < 55 ? 15 : 52,
    memoryMb: at < 55 ? 210 : 490,
    name: `vm-${String(at).padStart(2, '0')}`,
    zone: ZONES[at % ZONES.length]!,
  }));
}
