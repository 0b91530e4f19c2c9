/**
 * Time after which a rejected caller should return.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {RoomReport} from './AdmissionTypes';

const SECOND_MS = 1_000;

/** Least Retry-After, in milliseconds. */
export const MIN_RETURN_MS = 50;

/** Fraction of the caller's time left that it waits at most before it returns. */
export const MAX_RETURN_FRACTION = 1 / 3;

/** Time until the queue has drained while nothing is known, in milliseconds. */
const UNKNOWN_DRAIN_MS = 250;

/** Width of the intervals in which returns are counted, in milliseconds. */
const SLOT_MS = 50;

/** Fraction of the freed slots that returns get; the others are left to new requests. */
export const RETURN_FRACTION = 0.75;

/** Least rate of returns of a VM that has observed none, per second. */
const MIN_RETURNS_PER_SECOND = 1;

/** Number of intervals over which the rate of returns is kept, since it may be less than one per interval. */
const WINDOW = 10;

/** Time ahead in which the booked returns are counted for the expected wait, in milliseconds. */
const DUE_MS = 500;

/** Number of returns booked, by interval; past intervals are dropped. */
export type ReturnBookings = ReadonlyMap<number, number>;

/** No returns. */
export const NO_BOOKINGS: ReturnBookings = new Map();

/** What a return is computed from. */
export interface ReturnInput {
  readonly bookings: ReturnBookings;
  /** Slots that requests of this VM freed, per second. */
  readonly freedPerSecond: number;
  readonly now: MonotonicMs;
  /** Fraction within the interval of the return, drawn at random, so that VMs don't share the starts of intervals. */
  readonly offset: number;
  /** Time that the caller has left, in milliseconds. */
  readonly remainingMs: number;
  /** Free capacity of all engines; undefined while it is unknown. */
  readonly room: RoomReport | undefined;
  /** Age of the room, in milliseconds. */
  readonly roomAgeMs: number;
  /** Requests in this VM's queue. */
  readonly waitingHere: number;
}

/** A return. */
export interface Return {
  /** Whether there will be room at that time. */
  readonly hasRoom: boolean;
  /** Number of the interval that is booked. */
  readonly interval: number;
  /** Retry-After, in milliseconds. */
  readonly returnMs: number;
}

/** Time after its interval for which a booked return may still arrive, in milliseconds. */
const LATE_RETURN_MS = 500;

/**
 * Whether returns of rejected callers are due. Otherwise a request with a shortened deadline comes from a caller that lost its
 * VM, as after a loss of all VMs; such callers were promised no slot, and most of their requests are late already.
 *
 * @param bookings returns booked here; rejected callers return at any VM, but a scarce service rejects at all of them
 * @param now current time
 */
export function expectsReturns(bookings: ReturnBookings, now: MonotonicMs): boolean {
  const oldest = Math.floor((now - LATE_RETURN_MS) / SLOT_MS);
  return [...bookings.keys()].some((interval) => interval >= oldest);
}

/** Time until the queue has drained, in milliseconds: the fleet's if it is known, otherwise this VM's. */
function drainMs({freedPerSecond, room, waitingHere}: ReturnInput): number {
  if (room !== undefined && room.startsPerSecond > 0 && room.waiting >= waitingHere) {
    const waiting = Math.max(0, room.waiting - room.freeSlots - room.itemSlots);
    return (waiting / room.startsPerSecond) * SECOND_MS;
  }
  if (freedPerSecond === 0) {
    return UNKNOWN_DRAIN_MS;
  }
  return (waitingHere / freedPerSecond) * SECOND_MS;
}

function burstEndsInMs({room, roomAgeMs}: ReturnInput): number {
  return Math.max(0, (room?.burstEndsInMs ?? 0) - roomAgeMs);
}

/** Number of returns booked in some intervals. */
function bookedIn(bookings: ReturnBookings, first: number, count: number): number {
  let booked = 0;
  for (let interval = first; interval < first + count; interval++) {
    booked += bookings.get(interval) ?? 0;
  }
  return booked;
}

/** Most returns booked in any window that an interval belongs to. */
function busiestWindow(bookings: ReturnBookings, interval: number): number {
  let booked = bookedIn(bookings, interval - WINDOW + 1, WINDOW);
  let most = booked;
  for (let last = interval + 1; last < interval + WINDOW; last++) {
    booked += (bookings.get(last) ?? 0) - (bookings.get(last - WINDOW) ?? 0);
    most = Math.max(most, booked);
  }
  return most;
}

/** First of some intervals, in their order, for which fewer returns are booked than may come. */
function intervalWithRoom(
  intervals: readonly number[],
  {bookings, freedPerSecond}: ReturnInput,
): number | undefined {
  const perSecond = Math.max(MIN_RETURNS_PER_SECOND, freedPerSecond * RETURN_FRACTION);
  const perInterval = (perSecond * SLOT_MS) / SECOND_MS;
  const perWindow = Math.max(1, Math.floor(perInterval * WINDOW));
  return intervals.find((interval) => {
    const isOpen = (bookings.get(interval) ?? 0) < Math.ceil(perInterval);
    return isOpen && busiestWindow(bookings, interval) < perWindow;
  });
}

/**
 * Computes when a rejected caller should return: when the queue has drained and the burst has ended, in the first
 * interval after that for which fewer returns are booked than this VM frees slots. If the burst lasts longer than the
 * caller may wait, the last such interval is taken: returns go before new requests, so there is room for them even then.
 *
 * @param input what it is computed from
 */
export function planReturn(input: ReturnInput): Return {
  const {now, offset, remainingMs} = input;
  const maxMs = Math.max(MIN_RETURN_MS, remainingMs * MAX_RETURN_FRACTION);
  const last = Math.floor((now + maxMs) / SLOT_MS) - 1;
  const intervalsAfter = (ms: number): readonly number[] => {
    const first = Math.ceil((now + Math.max(MIN_RETURN_MS, ms)) / SLOT_MS);
    return Array.from({length: Math.max(0, last - first + 1)}, (_, at) => first + at);
  };
  const drained = intervalsAfter(drainMs(input));
  const ended = drained.filter((interval) => interval * SLOT_MS >= now + burstEndsInMs(input));
  const interval = intervalWithRoom(ended, input) ?? intervalWithRoom(drained.toReversed(), input);
  if (interval === undefined) {
    return {hasRoom: false, interval: last, returnMs: Math.floor(maxMs)};
  }
  return {hasRoom: true, interval, returnMs: Math.ceil((interval + offset) * SLOT_MS - now)};
}

/**
 * Returns that are due soon, per second.
 *
 * @param bookings the returns
 * @param now current time
 */
export function returnsPerSecond(bookings: ReturnBookings, now: MonotonicMs): number {
  const due = bookedIn(bookings, Math.floor(now / SLOT_MS), DUE_MS / SLOT_MS);
  return (due / DUE_MS) * SECOND_MS;
}

/**
 * Books a return.
 *
 * @param bookings bookings before
 * @param planned the return
 * @param now current time
 */
export function bookReturn(
  bookings: ReturnBookings,
  {interval}: Return,
  now: MonotonicMs,
): ReturnBookings {
  const current = Math.floor(now / SLOT_MS);
  const kept = [...bookings].filter(([other]) => other >= current - WINDOW);
  return new Map(kept).set(interval, (bookings.get(interval) ?? 0) + 1);
}
