/**
 * Number of slots that stay free of batch items for the next burst of online requests.
 */
import type {MonotonicMs} from 'stallpaddle';

/** Time within which a rise of online demand counts, in milliseconds: items can't be preempted much faster. */
const RISE_WINDOW_MS = 100;
/** Time for which a rise is remembered, in milliseconds: several periods of bursts some seconds apart. */
const MEMORY_MS = 30_000;
/** Rises are kept as one maximum for each interval of this length, in milliseconds. */
const BUCKET_MS = 1_000;
/**
 * Time after the first observation in which rises don't count, in milliseconds: the counts of a new dispatcher rise
 * from 0 as entry VMs report for the first time.
 */
const WARM_UP_MS = 1_000;
/** Bounds of the reserve, as fractions of all slots. */
const MIN_FRACTION = 0.02;
const MAX_FRACTION = 1 / 8;

/** Online slots in use at a time. */
interface UseSample {
  readonly at: MonotonicMs;
  readonly inUse: number;
}

/** Learns how fast the online demand of a service rises. */
export class CapacityReserve {
  private firstAt: MonotonicMs | undefined;
  /** Largest rise by interval, oldest first. */
  private rises: readonly {readonly bucket: number; readonly rise: number}[] = [];
  /** Samples of the last window, oldest first, and the one in effect when it began. */
  private samples: UseSample[] = [];

  /**
   * Adds an observation.
   *
   * @param at its time, not before that of the previous one
   * @param inUse online slots in use
   */
  observe(at: MonotonicMs, inUse: number): void {
    this.firstAt ??= at;
    this.samples.push({at, inUse});
    while (this.samples.length > 1 && this.samples[1]!.at <= at - RISE_WINDOW_MS) {
      this.samples.shift();
    }
    if (at - this.firstAt >= WARM_UP_MS + RISE_WINDOW_MS) {
      this.note(at, inUse - Math.min(...this.samples.map((sample) => sample.inUse)));
    }
  }

  /**
   * Slots to keep free of batch items.
   *
   * @param slots all slots of the service
   */
  slotsOf(slots: number): number {
    const rise = Math.max(0, ...this.rises.map((known) => known.rise));
    return Math.ceil(Math.min(slots * MAX_FRACTION, Math.max(slots * MIN_FRACTION, rise)));
  }

  private note(at: MonotonicMs, rise: number): void {
    const bucket = Math.floor(at / BUCKET_MS);
    const last = this.rises.at(-1);
    if (last?.bucket === bucket && last.rise >= rise) {
      return;
    }
    const oldest = bucket - MEMORY_MS / BUCKET_MS;
    const kept = this.rises.filter((known) => known.bucket > oldest && known.bucket !== bucket);
    this.rises = [...kept, {bucket, rise}];
  }
}
