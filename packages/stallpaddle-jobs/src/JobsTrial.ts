/**
 * Timing of runs of items during whose begin engines ended, and of items with quarantined parts. Items don't crash engines,
 * and a burst of crashes may meet the same one several times: it is owed a result, so no wait grows with the number of ends.
 */
import type {MonotonicMs} from 'stallpaddle';

/** Number of engines that may end, one after the other, while they begin an item, before its next run waits. */
const MAX_IMMEDIATE_ENDS = 1;

/**
 * Delay of the next run after a further end, in milliseconds. It lets engines restart, and bounds what an item costs all others if
 * it does crash engines.
 */
export const ENDED_ENGINE_DELAY_MS = 3_000;

/**
 * Longest time for which items wait for the trial of a quarantined part of their prompts, in milliseconds: the delay of a part's first
 * trial. Later trials of the fleet take up to a day.
 */
export const MAX_PARTS_WAIT_MS = 10_000;

/** Items check a held group each second; one that none has checked for longer was released meanwhile. */
const GROUP_FORGOTTEN_MS = 5_000;

/**
 * Delay of an item's next run, in milliseconds.
 *
 * @param endedEngines number of engines that ended, one after the other, while they began to run it
 */
export function nextRunDelayMs(endedEngines: number): number {
  return endedEngines <= MAX_IMMEDIATE_ENDS ? 0 : ENDED_ENGINE_DELAY_MS;
}

/** A group of quarantined parts that items wait for. */
interface HeldGroup {
  checkedAt: MonotonicMs;
  /** Start of the wait: the first check, or the latest trial. */
  since: MonotonicMs;
}

/** Trials that items make of quarantined groups of parts when the fleet grants none for too long; all items share them. */
export class PartsTrials {
  private readonly groups = new Map<string, HeldGroup>();

  /**
   * Whether an item may run as a trial of its own of a held group.
   *
   * @param group name of the group
   * @param now the current time
   */
  isDue(group: string, now: MonotonicMs): boolean {
    const known = this.groups.get(group);
    const held =
      known === undefined || now - known.checkedAt > GROUP_FORGOTTEN_MS
        ? {checkedAt: now, since: now}
        : known;
    held.checkedAt = now;
    this.groups.set(group, held);
    return now - held.since >= MAX_PARTS_WAIT_MS;
  }

  /**
   * Records that an item runs as a trial; the wait of all others starts again.
   *
   * @param group name of the group
   * @param now the current time
   */
  noteTrial(group: string, now: MonotonicMs): void {
    for (const [name, {checkedAt}] of this.groups) {
      if (now - checkedAt > GROUP_FORGOTTEN_MS) {
        this.groups.delete(name);
      }
    }
    this.groups.set(group, {checkedAt: now, since: now});
  }
}
