/**
 * Utilization that a VM reports. Pure functions.
 */
import type {MonotonicMs} from 'stallpaddle';

/** Measurements of a VM; a fraction that can't be determined is undefined. */
export interface VmMeasurements {
  /** Fraction of the time in which the event loop was busy. */
  readonly busy: number;
  /** Mean delay of the event loop, in milliseconds. */
  readonly delayMs: number;
  /** Bytes held for callers, as a fraction of their bound. */
  readonly held: number | undefined;
  /** Memory in use, as a fraction of the VM's. */
  readonly memory: number | undefined;
  /** Open descriptors, as a fraction of their maximum. */
  readonly open: number | undefined;
}

/** Utilization as reported. */
export interface ReportedUse {
  /** When it changed last. */
  readonly at: MonotonicMs;
  /** 0 to 1, in steps of 0.1. */
  readonly used: number;
}

/** Event loop delay at which a VM is at its bound, in milliseconds. */
const MAX_DELAY_MS = 50;
/** Fraction of memory or descriptors at which a VM is near its bounds. */
const NEAR_BOUND = 0.85;
/** Most that a busy event loop counts; only a delayed one is near the VM's bounds. */
const MAX_BUSY = 0.9;
const STEPS = 10;
/** Difference to the reported value from which a new value is reported: more than half a step, against flapping. */
const HYSTERESIS = 0.08;
/** Shortest time between two changes, in milliseconds; each change is sent to all VMs of the fleet. */
const MIN_CHANGE_MS = 2_000;

/** A fraction near the bound counts as 1. */
function bounded(fraction: number | undefined): number {
  return fraction === undefined ? 0 : fraction > NEAR_BOUND ? 1 : fraction;
}

/**
 * Fraction of the VM's most utilized resource that is in use; 1 near its bounds.
 *
 * @param measurements the measurements
 */
export function usedFraction({busy, delayMs, held, memory, open}: VmMeasurements): number {
  return Math.min(
    1,
    Math.max(
      0,
      Math.min(MAX_BUSY, busy),
      delayMs / MAX_DELAY_MS,
      bounded(memory),
      bounded(open),
      bounded(held),
    ),
  );
}

/**
 * Decides which utilization a VM reports.
 *
 * @param before what it reported before; undefined for nothing
 * @param fraction the measured utilization
 * @param now the present moment
 */
export function reportUse(
  before: ReportedUse | undefined,
  fraction: number,
  now: MonotonicMs,
): ReportedUse {
  if (before !== undefined) {
    const isSmall = Math.abs(fraction - before.used) <= HYSTERESIS;
    if (isSmall || now - before.at < MIN_CHANGE_MS) {
      return before;
    }
  }
  const used = Math.round(fraction * STEPS) / STEPS;
  return used === before?.used ? before : {at: now, used};
}
