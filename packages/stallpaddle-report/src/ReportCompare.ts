/**
 * The same days played by two states of the code: how much each day's worth changed, and which parts and prices
 * changed with it. A single pair says nothing: the same day played twice differs by some hundredths.
 */
import type {DayRecord} from './ReportRecord';

import {lossesOf} from './ReportLosses';

/** Mean of some figures, and their standard deviation (0 for a single one). */
export interface Spread {
  readonly mean: number;
  readonly spread: number;
}

/** One day on both sides. */
export interface DayPair {
  /** Worth, mean of all plays. */
  readonly after: number;
  readonly before: number;
  readonly name: string;
}

/** How much more worth a part or price left than before. */
export interface CauseChange {
  readonly cause: string;
  readonly change: Spread;
}

/** See the module's comment. */
export interface Comparison {
  /** The largest changes first. */
  readonly causes: readonly CauseChange[];
  readonly pairs: readonly DayPair[];
  readonly worth: Spread;
}

function meanOf(figures: readonly number[]): number {
  return figures.reduce((sum, figure) => sum + figure, 0) / Math.max(1, figures.length);
}

function spreadOf(figures: readonly number[]): Spread {
  const mean = meanOf(figures);
  if (figures.length < 2) {
    return {mean, spread: 0};
  }
  const squares = figures.reduce((sum, figure) => sum + (figure - mean) ** 2, 0);
  return {mean, spread: Math.sqrt(squares / (figures.length - 1))};
}

function playsByName(days: readonly DayRecord[]): ReadonlyMap<string, readonly DayRecord[]> {
  const plays = new Map<string, readonly DayRecord[]>();
  for (const day of days) {
    const {name} = lossesOf(day);
    plays.set(name, [...(plays.get(name) ?? []), day]);
  }
  return plays;
}

/** Worth that each part and price took from a day, mean of all plays. */
function takenBy(plays: readonly DayRecord[]): ReadonlyMap<string, number> {
  const taken = new Map<string, number>();
  const add = (cause: string, share: number): void => {
    taken.set(cause, (taken.get(cause) ?? 0) + share / plays.length);
  };
  for (const {parts, prices} of plays) {
    parts.forEach(([cause, weight, earned]) => add(cause, weight * (1 - earned)));
    prices.forEach(([cause, , share]) => add(cause, share));
  }
  return taken;
}

/**
 * Compares days.
 *
 * @param before days played by the earlier code
 * @param after days played by the later code; those without a counterpart are left out, on both sides
 */
export function compareDays(before: readonly DayRecord[], after: readonly DayRecord[]): Comparison {
  const earlier = playsByName(before);
  const later = playsByName(after);
  const pairs: DayPair[] = [];
  const changes = new Map<string, number[]>();
  for (const [name, plays] of earlier) {
    const others = later.get(name);
    if (others === undefined) {
      continue;
    }
    const worthOf = (days: readonly DayRecord[]): number => meanOf(days.map(({G}) => G));
    pairs.push({after: worthOf(others), before: worthOf(plays), name});
    const [was, is] = [takenBy(plays), takenBy(others)];
    for (const cause of new Set([...was.keys(), ...is.keys()])) {
      const change = (was.get(cause) ?? 0) - (is.get(cause) ?? 0);
      changes.set(cause, [...(changes.get(cause) ?? []), change]);
    }
  }
  const causes = [...changes].map(([cause, all]) => ({cause, change: spreadOf(all)}));
  return {
    causes: causes.sort((a, b) => Math.abs(b.change.mean) - Math.abs(a.change.mean)),
    pairs,
    worth: spreadOf(pairs.map((pair) => pair.after - pair.before)),
  };
}
