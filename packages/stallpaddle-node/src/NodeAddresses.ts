/** Selects the entry VMs that a caller learns of. */
import type {Clock, Random, ZoneId} from 'stallpaddle';
import type {EntryView} from 'stallpaddle-fleet';

import {dampShares, drawByShare, drawSize, targetShares, type VmShares} from 'stallpaddle-capacity';

import {MAX_ADDRESSES} from './NodeConstants';

/** Age of the fleet status beyond which the utilization of VMs counts as unknown, in milliseconds. */
const MAX_LOAD_AGE_MS = 3_000;
/** Interval at which shares are computed while the VMs are the same, in milliseconds. */
const SHARES_INTERVAL_MS = 250;

/**
 * Draws a uniform sample of entry VMs in random order. In a large fleet one answer lists only some of the entry VMs; a
 * new sample for each answer spreads the callers evenly over all of them.
 *
 * @param entries all entry VMs that accept requests
 * @param limit largest size of the sample
 * @param random source of randomness
 */
export function sampleEntries(
  entries: readonly EntryView[],
  limit: number,
  random: Random,
): readonly EntryView[] {
  const left = [...entries];
  const sample: EntryView[] = [];
  while (sample.length < limit && left.length > 0) {
    const at = Math.floor(random() * left.length);
    sample.push(left[at]!);
    left[at] = left.at(-1)!;
    left.pop();
  }
  return sample;
}

/** Dependencies of {@link NodeAddresses}. */
export interface NodeAddressesOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  /** All entry VMs that accept requests. */
  readonly entries: () => readonly EntryView[];
  /** Whether VMs are drawn by weight. */
  readonly isWeighted: () => boolean;
  readonly random: Random;
  /** Age of the fleet status, in milliseconds. */
  readonly viewAgeMs: () => number;
}

function isSameVms(before: readonly EntryView[], after: readonly EntryView[]): boolean {
  return (
    before === after ||
    (before.length === after.length && before.every(({name}, at) => name === after[at]!.name))
  );
}

/** Shares of the entry VMs in the load of one zone's callers. */
interface ZoneShares {
  readonly entries: readonly EntryView[];
  /** Shares in the order of `entries`. */
  readonly shares: readonly number[];
  /** Number of VMs to draw. */
  readonly size: number;
  readonly state: VmShares;
}

/**
 * Answers callers' questions for addresses of entry VMs: by their share in the load where VMs have weights, otherwise
 * uniformly. Weighted answers list few VMs, because callers select uniformly among the addresses of an answer: with 64 of
 * 80 VMs in each answer, a VM of twice the size could not get twice the load.
 */
export class NodeAddresses {
  /** By the callers' zone; null for callers of an unknown zone. */
  private readonly zones = new Map<null | ZoneId, ZoneShares>();

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeAddressesOptions) {}

  /**
   * Selects the entry VMs for one answer.
   *
   * @param zone availability zone of the caller; null when it is unknown
   */
  sample(zone: null | ZoneId): readonly EntryView[] {
    const {entries, isWeighted, random} = this.options;
    const all = entries();
    if (!isWeighted()) {
      this.zones.clear();
      return sampleEntries(all, MAX_ADDRESSES, random);
    }
    // Zones of the fleet only, so that callers can't fill the map.
    const known = all.some((entry) => entry.zone === zone) ? zone : null;
    const {shares, size} = this.sharesOf(known, all);
    return drawByShare(all, shares, size, (entry) => entry.zone === known, random);
  }

  private sharesOf(zone: null | ZoneId, entries: readonly EntryView[]): ZoneShares {
    const {clock, viewAgeMs} = this.options;
    const now = clock.monotonicMs();
    const before = this.zones.get(zone);
    // Most changes of the status don't change which VMs there are; shares follow them at the interval.
    if (
      before !== undefined &&
      now - before.state.at < SHARES_INTERVAL_MS &&
      isSameVms(before.entries, entries)
    ) {
      return before;
    }
    const target = targetShares(entries, zone, viewAgeMs() <= MAX_LOAD_AGE_MS);
    const state = dampShares(before?.state, entries, target, now);
    const shares = entries.map(({name}) => state.shares.get(name) ?? 0);
    const next = {entries, shares, size: drawSize(shares), state};
    this.zones.set(zone, next);
    return next;
  }
}
