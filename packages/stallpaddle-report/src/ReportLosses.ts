/**
 * Breaks the lost worth of a day down by cause.
 */
import type {DayRecord} from './ReportRecord';

/** Worth lost to one cause. */
export interface Loss {
  /** Name of the part, with the share that it earned, or name of the price. */
  readonly cause: string;
  /** Lost share of the maximum worth, which is 1. */
  readonly share: number;
}

/** Losses of a day, largest first. */
export interface DayLosses {
  readonly losses: readonly Loss[];
  /** Site, name and seed, in the form of arguments of the benchmark. */
  readonly name: string;
  /** Worth after all losses, including those that are too small to list. */
  readonly worth: number;
}

/** Minimum share of a listed loss; smaller ones may be rounding errors of the input. */
const MIN_LISTED_SHARE = 0.0005;
const TENTHS_PER_WHOLE = 1_000;
const TENTHS_PER_PERCENT = 10;

/** Formats a share in percent, rounded to a tenth. */
function formatPercent(share: number): string {
  return `${Math.round(share * TENTHS_PER_WHOLE) / TENTHS_PER_PERCENT}%`;
}

/**
 * Lists what a day lost: the shortfall of each part times its weight, and each price. Worth and losses, including the
 * unlisted ones, add up to 1.
 *
 * @param day the day's record
 */
export function lossesOf(day: DayRecord): DayLosses {
  const shortfalls = day.parts.map(([cause, weight, earned]) => ({
    cause: `${cause} (${formatPercent(earned)} earned)`,
    share: weight * (1 - earned),
  }));
  const prices = day.prices.map(([cause, , share]) => ({cause, share}));
  const losses = [...shortfalls, ...prices]
    .filter(({share}) => share >= MIN_LISTED_SHARE)
    .sort((a, b) => b.share - a.share);
  const seed = (day.seed ?? null) === null ? '' : ` --seed ${day.seed}`;
  const site = day.site === null ? '' : `${day.site} `;
  return {losses, name: `${site}${day.name ?? 'day'}${seed}`, worth: day.G};
}
