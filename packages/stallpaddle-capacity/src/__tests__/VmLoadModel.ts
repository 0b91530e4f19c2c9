/**
 * Model of the load on entry VMs: callers use an answer for 5 s, the fleet status is 1 s old, and each VM reports its
 * utilization as `reportUse` decides. Demand is fluid: each zone has as many groups of callers as steps in 5 s.
 */
import {type ReportedUse, reportUse} from '../CapacityUsed';
import {dampShares, targetShares, type VmShares, type WeightedVm} from '../CapacityVms';

/** Length of a step of the model, in milliseconds. */
const STEP_MS = 100;
/** Steps for which a caller uses an answer. */
const CACHE_STEPS = 50;
/** Age of the fleet status, in steps. */
const STATUS_STEPS = 10;

/** What is modelled. */
export interface VmLoadModelOptions {
  /** Load that a VM can bear. */
  readonly capacityOf: (vm: WeightedVm) => number;
  /** Load that the callers of a zone cause. */
  readonly demandOf: (zone: string, atMs: number) => number;
  /** Utilization that a VM reports for a load, as a fraction of its capacity. */
  readonly measured?: (vm: WeightedVm, load: number) => number | undefined;
  readonly vms: readonly WeightedVm[];
}

/** Runs the model; each step gives the load of each VM as a fraction of its capacity. */
export function runVmLoadModel(
  options: VmLoadModelOptions,
  lengthMs: number,
): readonly (readonly number[])[] {
  const {capacityOf, demandOf, measured = (_vm, load) => load, vms} = options;
  const zones = [...new Set(vms.map(({zone}) => zone))];
  const groups = new Map(zones.map((zone) => [zone, [] as (readonly number[])[]]));
  const states = new Map<string, VmShares>();
  const reported: (ReportedUse | undefined)[] = vms.map(() => undefined);
  const statuses: (readonly WeightedVm[])[] = [];
  const loads: (readonly number[])[] = [];
  for (let step = 0; step * STEP_MS < lengthMs; step++) {
    const now = step * STEP_MS;
    const status = statuses[step - STATUS_STEPS] ?? vms;
    for (const zone of zones) {
      const state = dampShares(states.get(zone), status, targetShares(status, zone, true), now);
      states.set(zone, state);
      const answer = vms.map(({name}) => state.shares.get(name)!);
      const answers = groups.get(zone)!;
      if (answers.length === 0) {
        answers.push(...Array.from({length: CACHE_STEPS}, () => answer));
      }
      answers[step % CACHE_STEPS] = answer;
    }
    const load = vms.map((vm, at) => {
      const total = zones.reduce((sum, zone) => {
        const answers = groups.get(zone)!;
        const share = answers.reduce((part, answer) => part + answer[at]!, 0) / CACHE_STEPS;
        return sum + demandOf(zone, now) * share;
      }, 0);
      return total / capacityOf(vm);
    });
    loads.push(load);
    statuses.push(
      vms.map((vm, at) => {
        const value = measured(vm, load[at]!);
        if (value === undefined) {
          return vm;
        }
        const use = reportUse(reported[at], Math.min(1, value), now);
        reported[at] = use;
        return {...vm, used: use.used};
      }),
    );
  }
  return loads;
}

/** Largest difference between the highest and the lowest load of one VM after a time. */
export function swing(loads: readonly (readonly number[])[], fromMs: number): number {
  const late = loads.slice(fromMs / STEP_MS);
  return Math.max(
    ...late[0]!.map((_, at) => {
      const values = late.map((load) => load[at]!);
      return Math.max(...values) - Math.min(...values);
    }),
  );
}
