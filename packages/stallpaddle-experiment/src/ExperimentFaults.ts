/**
 * The failures that a run can have, and when.
 */
import type {Random} from 'stallpaddle';

import type {ExperimentClock} from './ExperimentClock';
import type {ExperimentEngine} from './ExperimentEngine';

/** Names of failures. */
export const FAULTS = ['none', 'slowEngine', 'burst10', 'ownerLost', 'flood', 'halfGone'] as const;

/** One failure. */
export type Fault = (typeof FAULTS)[number];

/** When the failure begins, in milliseconds. */
export const FAULT_AT_MS = 20_000;

/** How long it lasts, in milliseconds. */
export const FAULT_MS = 15_000;

/** Factor by which a slow engine is slower. */
const SLOW_FACTOR = 10;
const BURST_FACTOR = 10;
const BURST10_MS = 1_000;
/** How much a flooding customer sends, relative to all others together. */
const FLOOD_FACTOR = 2;

/**
 * Schedules what a failure does to engines.
 *
 * @param fault the failure
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
 * What a failure makes of the rate of online requests.
 *
 * @param fault the failure
 * @param rate rate without it, a second
 * @param at milliseconds since the run began
 */
export function faultyRate(fault: Fault, rate: number, at: number): number {
  const since = at - FAULT_AT_MS;
  if (fault === 'burst10' && since >= 0 && since < BURST10_MS) {
    return rate * BURST_FACTOR;
  }
  if (fault === 'flood' && since >= 0 && since < FAULT_MS) {
    return rate * (1 + FLOOD_FACTOR);
  }
  return rate;
}

/**
 * The customer of a request; a flood is all one customer's.
 *
 * @param fault the failure
 * @param random source
 * @param customers number of customers
 * @param at milliseconds since the run began
 */
export function customerOf(fault: Fault, random: Random, customers: number, at: number): string {
  const floods = fault === 'flood' && at >= FAULT_AT_MS && at < FAULT_AT_MS + FAULT_MS;
  if (floods && random() < FLOOD_FACTOR / (1 + FLOOD_FACTOR)) {
    return 'flooding';
  }
  return `customer-${Math.floor(random() * customers)}`;
}
