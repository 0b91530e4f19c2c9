/**
 * Faults that a run can inject.
 */
import type {Random} from 'stallpaddle';

import type {ExperimentClock} from './ExperimentClock';
import type {ExperimentEngine} from './ExperimentEngine';

/** Faults that `--fault` accepts. */
export const FAULTS = ['none', 'slowEngine', 'burst10', 'ownerLost', 'flood', 'halfGone'] as const;

export type Fault = (typeof FAULTS)[number];

/** Start of the fault, in milliseconds after the start of the run. */
export const FAULT_AT_MS = 20_000;

/** Duration of the fault, in milliseconds; a burst is shorter. */
export const FAULT_MS = 15_000;

const SLOW_FACTOR = 10;
const BURST_FACTOR = 10;
const BURST_DURATION_MS = 1_000;
/** Request rate of the flooding customer, relative to all others together. */
const FLOOD_FACTOR = 2;

/**
 * Schedules the effects of a fault on engines.
 *
 * @param fault fault to inject
 * @param clock the experiment's clock
 * @param engines all engines
 */
export function scheduleFault(
  fault: Fault,
  clock: ExperimentClock,
  engines: readonly ExperimentEngine[],
): void {
  switch (fault) {
    case 'halfGone': {
      const half = engines.slice(0, Math.floor(engines.length / 2));
      clock.after(FAULT_AT_MS, () => half.forEach((engine) => engine.kill()));
      clock.after(FAULT_AT_MS + FAULT_MS, () => half.forEach((engine) => engine.restart()));
      return;
    }
    case 'slowEngine':
      clock.after(FAULT_AT_MS, () => {
        engines[0]!.slowdown = SLOW_FACTOR;
      });
      clock.after(FAULT_AT_MS + FAULT_MS, () => {
        engines[0]!.slowdown = 1;
      });
      return;
    case 'burst10':
    case 'flood':
    case 'none':
    case 'ownerLost':
      return;
  }
}

/**
 * Returns the rate of online requests under a fault.
 *
 * @param fault fault to inject
 * @param rate requests per second without the fault
 * @param at milliseconds since the run began
 */
export function faultyRate(fault: Fault, rate: number, at: number): number {
  const since = at - FAULT_AT_MS;
  if (fault === 'burst10' && since >= 0 && since < BURST_DURATION_MS) {
    return rate * BURST_FACTOR;
  }
  if (fault === 'flood' && since >= 0 && since < FAULT_MS) {
    return rate * (1 + FLOOD_FACTOR);
  }
  return rate;
}

/**
 * Chooses the customer of a request; all additional requests of a flood come from one customer.
 *
 * @param fault fault to inject
 * @param random random number source
 * @param customers number of customers
 * @param at milliseconds since the run began
 */
export function customerOf(fault: Fault, random: Random, customers: number, at: number): string {
  const isFlooding = fault === 'flood' && at >= FAULT_AT_MS && at < FAULT_AT_MS + FAULT_MS;
  if (isFlooding && random() < FLOOD_FACTOR / (1 + FLOOD_FACTOR)) {
    return 'flooding';
  }
  return `customer-${Math.floor(random() * customers)}`;
}
