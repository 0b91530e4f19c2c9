/**
 * Shares of entry VMs in the load of callers, by size and utilization. Pure functions.
 */
import type {MonotonicMs, VmId, ZoneId} from 'stallpaddle';

import type {VmCapacity, VmSize} from './CapacityTypes';

/** A VM among which callers are distributed. */
export interface WeightedVm extends VmCapacity {
  readonly name: VmId;
  readonly zone: ZoneId;
}

/** Shares of VMs in the load of some callers, which sum up to 1. */
export interface VmShares {
  /** When the shares were computed. */
  readonly at: MonotonicMs;
  readonly shares: ReadonlyMap<VmId, number>;
}

/** Utilization up to which a VM gets its whole share; an idle process already uses much of a small VM's memory. */
const WHOLE_SHARE_USED = 0.5;
/** Fraction of its share that a VM with utilization 1 gets; with 0.4 the load oscillated in the model. */
const MIN_FACTOR = 0.5;

/** Mean utilization of an availability zone up to which its VMs have room for all of its callers. */
const ROOM_USED = 0.5;
/**
 * Mean utilization of an availability zone from which its callers are distributed over all zones. With 0.6 to 0.9 the load
 * oscillated in the model.
 */
const NO_ROOM_USED = 1;
/** Largest share of a zone's own VMs, so that its callers have alternatives when the whole zone fails. */
const MAX_OWN_SHARE = 7 / 8;

/** Time constant with which shares follow utilization, in seconds: longer than the 6 s until a change of them shows. */
const FOLLOW_S = 12;
/**
 * Maximum change of the logarithm of one share per second. Scaling the shares to a sum of 1 may change them by the same
 * factor once more, so together they change by at most a quarter.
 */
const MAX_LOG_CHANGE_PER_S = Math.log(1.25) / 2;
const SECOND_MS = 1_000;

/** Values of a VM's size that bound the load it can bear. */
const RESOURCES = ['cores', 'memoryMb', 'linkMbps'] as const;

/** Value of one resource; undefined when it is unknown, which settings also express by 0. */
function resourceOf(vm: VmSize, resource: (typeof RESOURCES)[number]): number | undefined {
  const value = vm[resource];
  return value === undefined || value <= 0 ? undefined : value;
}

/**
 * Computes what each VM can bear, relative to the smallest VM without a disk: the least of the ratios of its resources to
 * the smallest amount among these VMs. VMs with a disk count like the smallest one, and so do VMs of unknown size.
 *
 * @param vms the VMs
 */
export function vmWeights(vms: readonly VmSize[]): readonly number[] {
  const without = vms.filter(({hasDisk}) => hasDisk !== true);
  const smallest = RESOURCES.map((resource) => {
    const values = without.flatMap((vm) => resourceOf(vm, resource) ?? []);
    return {least: values.reduce((least, value) => Math.min(least, value), Infinity), resource};
  });
  return vms.map((vm) => {
    if (vm.hasDisk === true) {
      return 1;
    }
    const ratios = smallest.map(({least, resource}) => (resourceOf(vm, resource) ?? 0) / least);
    const known = ratios.filter((ratio) => ratio > 0);
    return known.length === 0 ? 1 : Math.min(...known);
  });
}

/** Fraction of its share that a VM gets at a utilization. */
function factorOf(used: number): number {
  const excess = Math.max(0, used - WHOLE_SHARE_USED) / (1 - WHOLE_SHARE_USED);
  return 1 - Math.min(1, excess) * (1 - MIN_FACTOR);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Mean of `valueOf` over the VMs with known utilization, by weight; undefined without such VMs. */
function meanOf(
  vms: readonly WeightedVm[],
  weights: readonly number[],
  valueOf: (used: number) => number,
): number | undefined {
  let total = 0;
  let weight = 0;
  vms.forEach(({used}, at) => {
    if (used !== undefined) {
      total += valueOf(used) * weights[at]!;
      weight += weights[at]!;
    }
  });
  return weight === 0 ? undefined : total / weight;
}

/** Share of a zone's own VMs in the load of its callers, from their part of the free capacity to nearly all. */
function ownShare(used: number | undefined, partOfFree: number): number {
  if (used === undefined) {
    return partOfFree;
  }
  const room = (NO_ROOM_USED - used) / (NO_ROOM_USED - ROOM_USED);
  const fraction = Math.min(1, Math.max(0, room));
  return Math.max(partOfFree, partOfFree + (MAX_OWN_SHARE - partOfFree) * fraction);
}

/**
 * Computes the shares of VMs in the load of callers by free capacity. VMs in the callers' availability zone get most of it
 * while they have room. VMs of unknown utilization count by size alone, at the mean utilization of the others.
 *
 * @param vms the VMs
 * @param zone the callers' availability zone; null when it is unknown
 * @param isLoadKnown whether the utilization is recent; otherwise only sizes count
 */
export function targetShares(
  vms: readonly WeightedVm[],
  zone: null | ZoneId,
  isLoadKnown: boolean,
): readonly number[] {
  const weights = vmWeights(vms);
  const known: readonly WeightedVm[] = isLoadKnown ? vms : vms.map(({used: _used, ...vm}) => vm);
  const usual = meanOf(known, weights, factorOf) ?? 1;
  const free = known.map(
    ({used}, at) => weights[at]! * (used === undefined ? usual : factorOf(used)),
  );
  const all = sum(free);
  const isOwn = vms.map((vm) => vm.zone === zone);
  const own = sum(free.filter((_, at) => isOwn[at]));
  if (own === 0 || own === all) {
    return free.map((value) => value / all);
  }
  const ownUsed = meanOf(
    known.filter((_, at) => isOwn[at]),
    weights.filter((_, at) => isOwn[at]),
    (used) => used,
  );
  const share = ownShare(ownUsed, own / all);
  return free.map((value, at) =>
    isOwn[at] ? (share * value) / own : ((1 - share) * value) / (all - own),
  );
}

/**
 * Moves shares towards their target, by at most a quarter per second: callers use an answer for 5 s and the fleet status
 * is 1 s old, so shares that followed at once would oscillate. VMs without a share so far start at their target, and the
 * shares of the others are scaled to what is left. Otherwise the first VMs that are known after a restart would keep most of
 * the load for seconds.
 *
 * @param before the shares before; undefined for none
 * @param vms the VMs
 * @param target the target share of each VM
 * @param now the present moment
 */
export function dampShares(
  before: undefined | VmShares,
  vms: readonly WeightedVm[],
  target: readonly number[],
  now: MonotonicMs,
): VmShares {
  const seconds = before === undefined ? 0 : Math.max(0, now - before.at) / SECOND_MS;
  const followed = 1 - Math.exp(-seconds / FOLLOW_S);
  const most = Math.exp(MAX_LOG_CHANGE_PER_S * seconds);
  const known = vms.map(({name}) => before?.shares.get(name));
  const isKnown = known.map((share) => share !== undefined);
  const scale =
    sum(target.filter((_, at) => isKnown[at])) / (sum(known.map((share) => share ?? 0)) || 1);
  const moved = vms.map((_, at) => {
    const share = known[at];
    if (share === undefined) {
      return target[at]!;
    }
    const old = share * scale;
    const next = old + (target[at]! - old) * followed;
    return Math.min(old * most, Math.max(old / most, next));
  });
  const total = sum(moved);
  return {at: now, shares: new Map(vms.map(({name}, at) => [name, moved[at]! / total]))};
}
