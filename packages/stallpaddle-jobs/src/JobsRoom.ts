/** Report of the free capacity of all engines. */
import type {Clock, MonotonicMs} from 'stallpaddle';
import type {RoomReport} from 'stallpaddle-admission';

import {SET_APART_SPEED} from 'stallpaddle-capacity';

import type {EngineSlots} from './JobsEngineTracker';

/**
 * Time for which a report is used again, in milliseconds: the dispatcher answers hundreds of entry VMs' reports a
 * second.
 */
const REPORT_VALID_MS = 20;
/** Time over which starts of requests are averaged, in milliseconds. */
const STARTS_WINDOW_MS = 1_000;
const SECOND_MS = 1_000;

/** Dependencies on the dispatcher. */
export interface JobsRoomOptions {
  /** Time until the current burst is expected to end, in milliseconds; null when there is none. */
  readonly burstEndsInMs: (now: MonotonicMs) => null | number;
  readonly clock: Clock;
  readonly engines: () => readonly EngineSlots[];
  /** Number of online requests that began so far. */
  readonly started: () => number;
}

/** Number of online requests that had begun at a time. */
interface StartsSample {
  readonly at: MonotonicMs;
  readonly started: number;
}

/** Builds reports of the free capacity, at most one every few milliseconds. */
export class JobsRoom {
  private latest: {readonly at: MonotonicMs; readonly report: RoomReport} | undefined;
  /** Samples of the last second, oldest first, and the one before it. */
  private samples: StartsSample[] = [];

  /**
   * @param options dependencies on the dispatcher
   */
  constructor(private readonly options: JobsRoomOptions) {}

  /** The current report; the number of waiting requests is 0, as the dispatcher's counts don't hold them. */
  report(): RoomReport {
    const now = this.options.clock.monotonicMs();
    if (this.latest === undefined || now - this.latest.at >= REPORT_VALID_MS) {
      this.latest = {at: now, report: this.read(now)};
    }
    return this.latest.report;
  }

  /** Forgets everything. */
  clear(): void {
    this.latest = undefined;
    this.samples = [];
  }

  private read(now: MonotonicMs): RoomReport {
    let freeSlots = 0;
    let itemSlots = 0;
    for (const {items, online, slots, speed, usable} of this.options.engines()) {
      if (usable && speed >= SET_APART_SPEED) {
        freeSlots += Math.max(0, slots - online - items);
        itemSlots += Math.min(items, Math.max(0, slots - online));
      }
    }
    return {
      burstEndsInMs: this.options.burstEndsInMs(now),
      freeSlots,
      itemSlots,
      startsPerSecond: this.startsPerSecond(now),
      waiting: 0,
    };
  }

  private startsPerSecond(now: MonotonicMs): number {
    const {samples} = this;
    samples.push({at: now, started: this.options.started()});
    while (samples.length > 1 && samples[1]!.at <= now - STARTS_WINDOW_MS) {
      samples.shift();
    }
    const first = samples[0]!;
    const elapsedMs = now - first.at;
    return elapsedMs === 0
      ? 0
      : Math.round(((samples.at(-1)!.started - first.started) * SECOND_MS) / elapsedMs);
  }
}
