/**
 * Where the worth of a day was lost: what each part fell short by, at its weight, and what each price took off.
 * All losses and the worth add up to one; losses too small to show are left out.
 */
import type {DayRecord} from './ReportRecord';

/** One cause. */
export interface Loss {
  /** The part that fell short, with what it earned, or the price. */
  readonly cause: string;
  /** Share of the day's worth. */
  readonly share: number;
}

/** A day's losses, the largest first. */
export interface DayLosses {
  readonly losses: readonly Loss[];
  /** Site, name and seed, as the bench takes them. */
  readonly name: string;
  /** What is left after all losses, also those that are not shown. */
  readonly worth: number;
}

/** Losses below this share are not shown: they are within the rounding of what was written. */
const SHOWN_FROM = 0.0005;
/** Tenths of a percent in a whole. */
const TENTHS_IN_WHOLE = 1_000;
/** Tenths of a percent in a percent. */
const TENTHS_IN_PERCENT = 10;

/** A share in percent, to a tenth. */
function percentOf(share: number): string {
  return `${Math.round(share * TENTHS_IN_WHOLE) / TENTHS_IN_PERCENT}%`;
}

/**
 * A day's losses.
 *
 * @param day the day as it was written
 */
export function lossesOf(day: DayRecord): DayLosses {
  const short = day.parts.map(([cause, weight, earned]) => ({
    cause: `${cause} (${percentOf(earned)} earned)`,
    share: weight * (1 - earned),
  }));
  const priced = day.prices.map(([cause, , share]) => ({cause, share}));
  const losses = [...short, ...priced]
    .filter(({share}) => share >= SHOWN_FROM)
    .sort((a, b) => b.share - a.share);
  const seed = (day.seed ?? null) === null ? '' : ` --seed ${day.seed}`;
  const site = day.site === null ? '' : `${day.site} `;
  return {losses, name: `${site}${day.name ?? 'day'}${seed}`, worth: day.G};
}
