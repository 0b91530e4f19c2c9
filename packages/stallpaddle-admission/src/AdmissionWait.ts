/**
 * Expected wait for an engine slot, and whether a request should wait for it.
 */
import type {RoomReport} from './AdmissionTypes';

import {RETURN_FRACTION} from './AdmissionReturn';

const SECOND_MS = 1_000;

/**
 * Maximum wait of a request that is not a return, in milliseconds. Callers give up two seconds after they sent it; what is left
 * covers a short queue at the engine.
 */
const MAX_WAIT_MS = 1_500;

/**
 * The same limit as a fraction of the caller's time: the caller can still retry after a refusal, and a request that is
 * sent has as long to run as it has waited.
 */
const MAX_WAIT_FRACTION = 0.5;

/** Fraction of its objective within which a request is rejected for a later return. */
export const EARLY_FRACTION = 0.25;

/**
 * Multiple of the mean time that a request runs which a return keeps for its run. Half of the requests run longer than
 * the mean.
 */
const RUN_MARGIN = 1.5;

/** What the expected wait is computed from. */
export interface WaitInput {
  /** Requests of this VM's queue that go before. */
  readonly ahead: number;
  /** Slots that requests of this VM freed, per second. */
  readonly freedPerSecond: number;
  /** Returns that are due and go before the request, per second. */
  readonly returnsPerSecond: number;
  /** Free capacity of all engines; undefined while it is unknown. */
  readonly room: RoomReport | undefined;
  /** Requests in this VM's queue. */
  readonly waitingHere: number;
}

/** Least fraction of the freed slots that new requests get beside the returns, of which no more are booked. */
const MIN_NEW_FRACTION = 1 - RETURN_FRACTION;

/**
 * Multiple of the expected wait that must fit before the objective. A request that just misses it falls behind all that
 * can still meet theirs: in the model of a burst at 1.3 times the capacity, 34 of 1,103 requests missed it without a
 * margin, 7 with this one.
 */
const WAIT_MARGIN = 2;

/** Requests that can start at once: batch items give up their slots. */
function slotsLeft({freeSlots, itemSlots}: RoomReport): number {
  return freeSlots + itemSlots;
}

/** Expected wait by this VM's share of the fleet's starts; infinite while it can't be told. */
function fleetWaitMs({ahead, room, waitingHere}: WaitInput): number {
  if (room === undefined) {
    return Infinity;
  }
  if (slotsLeft(room) > room.waiting) {
    return 0;
  }
  if (room.startsPerSecond <= 0 || room.waiting < waitingHere) {
    // Without the other VMs' queues, the fleet's starts say nothing about this VM's.
    return Infinity;
  }
  const before = (room.waiting * (ahead + 1)) / (waitingHere + 1);
  return (Math.max(0, before + 1 - slotsLeft(room)) / room.startsPerSecond) * SECOND_MS;
}

function ownWaitMs({ahead, freedPerSecond}: WaitInput): number {
  return freedPerSecond > 0 ? ((ahead + 1) / freedPerSecond) * SECOND_MS : Infinity;
}

/**
 * Expected time until a request is sent, in milliseconds; null while nothing is known. The smaller of the two estimates
 * counts, since a request that is rejected without need is lost to its caller.
 *
 * @param input what is known
 */
export function expectedWaitMs(input: WaitInput): null | number {
  const {freedPerSecond, returnsPerSecond} = input;
  const wait = Math.min(ownWaitMs(input), fleetWaitMs(input));
  const forReturns = freedPerSecond > 0 ? returnsPerSecond / freedPerSecond : 0;
  return Number.isFinite(wait) ? wait / Math.max(MIN_NEW_FRACTION, 1 - forReturns) : null;
}

/** What the longest wait of a request depends on; times in milliseconds. */
export interface WaitLimitInput {
  /** Time that the caller allowed at arrival. */
  readonly allowedMs: number;
  readonly isReturn: boolean;
  /** Mean time that a request runs. */
  readonly meanRunMs: number;
}

/**
 * Longest time from arrival that a request waits, in milliseconds. A return isn't rejected again while there is time for
 * it to run.
 *
 * @param input what it depends on
 */
export function waitLimitMs({allowedMs, isReturn, meanRunMs}: WaitLimitInput): number {
  const usual = Math.min(MAX_WAIT_MS, allowedMs * MAX_WAIT_FRACTION);
  return isReturn ? Math.max(usual, allowedMs - meanRunMs * RUN_MARGIN) : usual;
}

/** State of a request that can't be sent yet; times in milliseconds. */
export interface WaitingState {
  /** Null while nothing is known. */
  readonly expectedMs: null | number;
  readonly isReturn: boolean;
  /** The expected wait if no caller returned; null while nothing is known. */
  readonly leastMs: null | number;
  /** Time left for a wait. */
  readonly limitMs: number;
  /** Objective of the request; 0 for none. */
  readonly objectiveMs: number;
  /** Retry-After at which there will be room, within the caller's time; null if there is none. */
  readonly returnMs: null | number;
  /** Time until the request must be sent to meet its objective; negative if it can't any more. */
  readonly slackMs: number;
  readonly waitedMs: number;
}

/** Reason for a rejection: the objective is met after a return but not by waiting, or the time doesn't suffice. */
export type RejectReason = 'objective' | 'time';

/**
 * Decides whether a request is rejected now; undefined if it waits.
 *
 * @param state state of the request
 */
export function rejectNow(state: WaitingState): RejectReason | undefined {
  const {expectedMs, isReturn, leastMs, limitMs, objectiveMs, returnMs, slackMs, waitedMs} = state;
  if (limitMs <= 0) {
    return 'time';
  }
  if (expectedMs === null || isReturn) {
    // A caller retries once, so a return that is rejected is lost; it goes first, and may wait while it can still run.
    return undefined;
  }
  if (leastMs !== null && leastMs > limitMs) {
    return 'time';
  }
  const isEarly = waitedMs <= objectiveMs * EARLY_FRACTION;
  const isLate = expectedMs * WAIT_MARGIN > slackMs;
  return isEarly && isLate && returnMs !== null ? 'objective' : undefined;
}
