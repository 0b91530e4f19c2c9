/**
 * Seeded random numbers, for reproducible runs.
 */

/** Returns a number in [0, 1). */
export type Random = () => number;

const UINT32_RANGE = 4_294_967_296;

/**
 * Creates a small, fast generator (mulberry32). Not cryptographically secure.
 *
 * @param seed any integer
 */
export function seededRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  };
}

/**
 * Samples the exponentially distributed time between independent events.
 *
 * @param random random source
 * @param ratePerSecond mean number of events per second
 * @returns milliseconds
 */
export function exponentialMs(random: Random, ratePerSecond: number): number {
  return (-Math.log(1 - random()) / ratePerSecond) * 1000;
}
