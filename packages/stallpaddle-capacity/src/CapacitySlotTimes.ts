/**
 * What the speed of an engine means for placement: pure functions.
 */

/** Speed below which an engine is set apart; engines that are in normal use are told with at least this speed. */
export const SET_APART_SPEED = 0.35;

/**
 * Whether an engine of this speed is set apart.
 *
 * @param speed its speed as a factor of its service's median
 */
export function isSetApart(speed: number): boolean {
  return speed < SET_APART_SPEED;
}

/**
 * Whether an engine may get a request or an item. An engine that is set apart gets one at a time, and only while
 * nothing else runs there; what it then takes shows when it is fast again.
 *
 * @param speed its speed as a factor of its service's median
 * @param running requests and items at the engine
 */
export function mayUseEngine(speed: number, running: number): boolean {
  return !isSetApart(speed) || running === 0;
}

/**
 * Time that an engine takes for anything, as a multiple of what an engine of usual speed takes.
 *
 * @param speed its speed as a factor of its service's median
 */
export function slotTimeFactor(speed: number): number {
  return 1 / speed;
}

/** Load of an engine and usual times of its service. */
export interface ExpectedFirstEvent {
  /** Requests and items at the engine that a new request would wait for, or share the engine with. */
  readonly ahead: number;
  /** Usual time to the first event at an engine with a free slot, in milliseconds. */
  readonly firstEventMs: number;
  /** Usual time for which a request holds its slot, in milliseconds. */
  readonly slotMs: number;
  readonly slots: number;
  /** Speed of the engine as a factor of its service's median. */
  readonly speed: number;
}

/**
 * Expected time to the first event of a request that is sent to an engine now, in milliseconds. Slots are assumed to
 * become free evenly over the time for which requests hold them.
 *
 * @param engine the engine's load and the usual times
 */
export function expectedFirstEventMs({
  ahead,
  firstEventMs,
  slotMs,
  slots,
  speed,
}: ExpectedFirstEvent): number {
  const queued = Math.max(0, ahead + 1 - slots);
  return (firstEventMs + (queued * slotMs) / slots) * slotTimeFactor(speed);
}
