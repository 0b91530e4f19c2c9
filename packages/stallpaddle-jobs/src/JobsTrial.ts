/**
 * When an item that may have ended engines runs once more. Whoever sent it waits for its listing, so a wrong hold costs more
 * than a refusal; a right one saves an engine for some seconds, with all that runs there. Pure.
 */
import type {MonotonicMs} from 'stallpaddle';

import {FIRST_QUARANTINE_MS, QUARANTINE_LEVEL} from 'stallpaddle-fleet';

/** The next run of an item that is held off the engines. */
export interface ItemTrial {
  /** When it may begin. */
  readonly at: MonotonicMs;
  /** Level for which the item waits. */
  readonly level: number;
}

/**
 * Time until an item that may have ended two engines runs once more, in milliseconds: engines are back, and what ended them
 * is held if it was another request.
 */
const FIRST_TRIAL_MS = 3_000;

/**
 * How much longer each further wait is: 3, 15 and 75 s. An item that ends engines has ended four within 20 s and five within
 * two minutes; one that stood beside three ends stayed unlisted for ten minutes, and is run after 15 s now.
 */
const TRIAL_FACTOR = 5;

/**
 * Time for which an item waits at a level, in milliseconds.
 *
 * @param level how many engines ended, one after the other, when they began to run it
 */
export function trialPauseMs(level: number): number {
  return Math.min(FIRST_QUARANTINE_MS, FIRST_TRIAL_MS * TRIAL_FACTOR ** (level - QUARANTINE_LEVEL));
}

/**
 * The next run of an item at a level; the wait begins anew with each end.
 *
 * @param trial the run that was due before
 * @param level its present level
 * @param now the present moment
 */
export function nextTrial(
  trial: ItemTrial | undefined,
  level: number,
  now: MonotonicMs,
): ItemTrial {
  return trial?.level === level ? trial : {at: now + trialPauseMs(level), level};
}
