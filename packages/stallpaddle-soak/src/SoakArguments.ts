/** Command-line arguments of a soak, and the shape of its fleet. */
import type {SoakShape} from './SoakPlan';

/** Thrown for invalid arguments. */
export class SoakArgumentsError extends Error {
  override readonly name = 'SoakArgumentsError';
}

/** Parsed arguments. */
export interface SoakArguments {
  readonly minutes: number;
  readonly seed: number;
  readonly vms: number;
}

/** Smallest fleet that tolerates the loss of one disk and has a spare store. */
export const MIN_VMS = 8;
/** Largest fleet: its processes must fit into the memory of one machine. */
const MAX_VMS = 200;
/** Smallest fleet that tolerates the loss of two disks. */
const MIN_VMS_FOR_TWO_LOSSES = 20;
/** Longest soak, in minutes. */
const MAX_MINUTES = 600;
/** Number of engines per VM. */
const ENGINES_PER_VM = 0.5;

function readNumber(name: string, text: unknown, min: number, max: number): number {
  const number = typeof text === 'number' || typeof text === 'string' ? Number(text) : NaN;
  if (!Number.isFinite(number) || number < min || number > max || text === '') {
    const given = JSON.stringify(text) ?? 'nothing';
    throw new SoakArgumentsError(`--${name} must be from ${min} to ${max}, not ${given}`);
  }
  return number;
}

function readInteger(name: string, text: unknown, min: number, max: number): number {
  const number = readNumber(name, text, min, max);
  if (!Number.isInteger(number)) {
    throw new SoakArgumentsError(`--${name} must be a whole number, not ${number}`);
  }
  return number;
}

/**
 * Parses the arguments.
 *
 * @param options options from the command line
 * @throws {SoakArgumentsError} names the first invalid argument
 */
export function readSoakArguments(options: Readonly<Record<string, unknown>>): SoakArguments {
  return {
    minutes: readNumber('minutes', options['minutes'], 0.1, MAX_MINUTES),
    seed: readInteger('seed', options['seed'], 0, Number.MAX_SAFE_INTEGER),
    vms: readInteger('vms', options['vms'], MIN_VMS, MAX_VMS),
  };
}

function names(kind: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, at) => `${kind}-${at + 1}`);
}

/**
 * Returns the shape of a fleet.
 *
 * @param vms number of VMs
 */
export function shapeOf(vms: number): SoakShape {
  const lostDisks = vms >= MIN_VMS_FOR_TWO_LOSSES ? 2 : 1;
  const voters = 2 * lostDisks + 1;
  const controls = names('control', voters);
  const stores = names('store', voters + 1);
  const entries = names('entry', vms - controls.length - stores.length);
  return {controls, engines: Math.ceil(vms * ENGINES_PER_VM), entries, lostDisks, stores};
}
