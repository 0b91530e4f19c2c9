/**
 * What a soak is asked for on the command line, and the fleet that follows from it.
 */
import type {SoakShape} from './SoakPlan';

/** Arguments that can't be used. */
export class SoakArgumentsError extends Error {
  override readonly name = 'SoakArgumentsError';
}

/** What was asked for. */
export interface SoakArguments {
  readonly minutes: number;
  readonly seed: number;
  readonly vms: number;
}

/** Smallest fleet that bears the loss of one disk and has one store to spare. */
export const LEAST_VMS = 8;
/** A machine of the builders bears a few hundred processes in half of its memory. */
const MOST_VMS = 200;
/** Fleets from this size on bear the loss of two disks. */
const VMS_FOR_TWO = 20;
/** Longest soak, in minutes. */
const MOST_MINUTES = 600;
/** Engines for each VM. */
const ENGINES_PER_VM = 0.5;

function readNumber(name: string, text: unknown, least: number, most: number): number {
  const number = typeof text === 'number' || typeof text === 'string' ? Number(text) : NaN;
  if (!Number.isFinite(number) || number < least || number > most || text === '') {
    const given = JSON.stringify(text) ?? 'nothing';
    throw new SoakArgumentsError(`--${name} must be from ${least} to ${most}, not ${given}`);
  }
  return number;
}

function readWhole(name: string, text: unknown, least: number, most: number): number {
  const number = readNumber(name, text, least, most);
  if (!Number.isInteger(number)) {
    throw new SoakArgumentsError(`--${name} must be a whole number, not ${number}`);
  }
  return number;
}

/**
 * Reads the arguments.
 *
 * @param options as the command line gives them
 * @throws {SoakArgumentsError} names the first one at fault
 */
export function readSoakArguments(options: Readonly<Record<string, unknown>>): SoakArguments {
  return {
    minutes: readNumber('minutes', options['minutes'], 0.1, MOST_MINUTES),
    seed: readWhole('seed', options['seed'], 0, Number.MAX_SAFE_INTEGER),
    vms: readWhole('vms', options['vms'], LEAST_VMS, MOST_VMS),
  };
}

function named(kind: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, at) => `${kind}-${at + 1}`);
}

/**
 * The fleet of a soak.
 *
 * @param vms number of its VMs
 */
export function shapeOf(vms: number): SoakShape {
  const lostDisks = vms >= VMS_FOR_TWO ? 2 : 1;
  const voters = 2 * lostDisks + 1;
  const controls = named('control', voters);
  const stores = named('store', voters + 1);
  const entries = named('entry', vms - controls.length - stores.length);
  return {controls, engines: Math.ceil(vms * ENGINES_PER_VM), entries, lostDisks, stores};
}
