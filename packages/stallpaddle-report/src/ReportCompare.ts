/**
 * Compares the results of the same days played by two versions of the code.
 */
import type {DayRecord} from './ReportRecord';

import {lossesOf} from './ReportLosses';

/** Mean and sample standard deviation (0 for a single value). */
export interface Spread {
  readonly mean: number;
  readonly spread: number;
}

/** Worth of one day in both versions. */
export interface DayPair {
  /** Mean worth over all runs of the day. */
  readonly after: number;
  readonly before: number;
  readonly name: string;
}

/** Change in the worth that one part or price costs; positive when it costs less than before. */
export interface CauseChange {
  readonly cause: string;
  readonly change: Spread;
}

/** Changes in worth between two versions. Single pairs vary by chance between runs of the same day. */
export interface Comparison {
  /** Sorted by absolute mean change, largest first. */
  readonly causes: readonly CauseChange[];
  readonly pairs: readonly DayPair[];
  readonly worth: Spread;
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function spreadOf(values: readonly number[]): Spread {
  const mean = meanOf(values);
  if (values.length < 2) {
    return {mean, spread: 0};
  }
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  return {mean, spread: Math.sqrt(squares / (values.length - 1))};
}

function runsByName(days: readonly DayRecord[]): ReadonlyMap<string, readonly DayRecord[]> {
  const runs = new Map<string, readonly DayRecord[]>();
  for (const day of days) {
    const {name} = lossesOf(day);
    runs.set(name, [...(runs.get(name) ?? []), day]);
  }
  return runs;
}

/** Returns the mean worth that each part and price cost over all runs of a day. */
function costByCause(runs: readonly DayRecord[]): ReadonlyMap<string, number> {
  const costs = new Map<string, number>();
  const add = (cause: string, share: number): void => {
    costs.set(cause, (costs.get(cause) ?? 0) + share / runs.length);
  };
  for (const {parts, prices} of runs) {
    parts.forEach(([cause, weight, earned]) => add(cause, weight * (1 - earned)));
    prices.forEach(([cause, , share]) => add(cause, share));
  }
  return costs;
}

/**
 * Compares days of the same name. Days that only one version played are left out.
 *
 * @param before days played by the old version
 * @param after days played by the new version
 */
export function compareDays(before: readonly DayRecord[], after: readonly DayRecord[]): Comparison {
  const runsBefore = runsByName(before);
  const runsAfter = runsByName(after);
  const pairs: DayPair[] = [];
  const changes = new Map<string, number[]>();
  for (const [name, runs] of runsBefore) {
    const counterparts = runsAfter.get(name);
    if (counterparts === undefined) {
      continue;
    }
    const worthOf = (days: readonly DayRecord[]): number => meanOf(days.map(({G}) => G));
    pairs.push({after: worthOf(counterparts), before: worthOf(runs), name});
    const [costsBefore, costsAfter] = [costByCause(runs), costByCause(counterparts)];
    for (const cause of new Set([...costsBefore.keys(), ...costsAfter.keys()])) {
      const change = (costsBefore.get(cause) ?? 0) - (costsAfter.get(cause) ?? 0);
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
