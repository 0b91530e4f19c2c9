/** Guards against a dispatcher that spends its processor time on reports of online requests instead of its items. */
import {seededRandom} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import {
  JobsPace,
  MAX_PASS_INTERVAL_MS,
  MAX_REPORT_SPACING_MS,
  MAX_STARTS_PER_PASS,
  MIN_PASS_INTERVAL_MS,
  MIN_REPORT_SPACING_MS,
  MIN_STARTS_PER_PASS,
  passIntervalMs,
  reportSpacingMs,
  startsPerPass,
} from '../../JobsPace';

/** Processor time that the dispatcher spends on one report, and on items per millisecond, in milliseconds. */
const REPORT_COST_MS = 1;
const ITEM_LOAD = 0.35;
/** Duration of an online request. */
const REQUEST_MS = 500;
const SECONDS = 10;
/** A report that waits longer delays an online request by a third of its objective of 300 ms. */
const THIRD_OF_OBJECTIVE_MS = 100;

interface Sender {
  /** Whether its counts have changed since its last report. */
  changed: boolean;
  sentAt: number;
  spacingMs: number;
}

interface Outcome {
  /** Longest time that a report waited for the dispatcher once the load had lasted for a second. */
  readonly longestWaitMs: number;
  readonly reports: number;
}

/**
 * Entry VMs report each begin and end of their requests to a dispatcher that handles one report at a time, in steps of one
 * millisecond.
 */
function runFleet(vms: number, requestsPerSecond: number, isPaced: boolean): Outcome {
  const random = seededRandom(71);
  let now = 0;
  const pace = new JobsPace({monotonicMs: () => now as never});
  const senders = Array.from({length: vms}, (): Sender => ({
    changed: false,
    sentAt: -Infinity,
    spacingMs: MIN_REPORT_SPACING_MS,
  }));
  const ends = new Map<number, Sender[]>();
  const queue: {readonly sender: Sender; readonly sentAt: number}[] = [];
  let longestWaitMs = 0;
  let reports = 0;
  let credit = 0;
  for (now = 0; now < SECONDS * 1_000; now++) {
    for (const sender of senders) {
      if (random() < requestsPerSecond / 1_000) {
        sender.changed = true;
        ends.set(now + REQUEST_MS, [...(ends.get(now + REQUEST_MS) ?? []), sender]);
      }
    }
    ends.get(now)?.forEach((sender) => (sender.changed = true));
    for (const sender of senders) {
      const isWaiting = queue.some((report) => report.sender === sender);
      if (sender.changed && !isWaiting && now - sender.sentAt >= sender.spacingMs) {
        sender.changed = false;
        sender.sentAt = now;
        queue.push({sender, sentAt: now});
        reports++;
      }
    }
    credit = queue.length === 0 ? 0 : credit + 1 - ITEM_LOAD;
    while (credit >= REPORT_COST_MS && queue.length > 0) {
      const {sender, sentAt} = queue.shift()!;
      credit -= REPORT_COST_MS;
      pace.noteDelay(now - sentAt);
      longestWaitMs = Math.max(longestWaitMs, now < 1_000 ? 0 : now - sentAt);
      sender.spacingMs = isPaced ? pace.reportSpacingMs : MIN_REPORT_SPACING_MS;
    }
  }
  return {longestWaitMs, reports};
}

describe('JobsPace', () => {
  test('80 VMs of 8 requests a second don’t take the dispatcher’s processor time from its items', () => {
    const paced = runFleet(80, 8, true);
    const unpaced = runFleet(80, 8, false);
    expect(unpaced.longestWaitMs).toBeGreaterThan(THIRD_OF_OBJECTIVE_MS);
    expect(paced.longestWaitMs).toBeLessThan(THIRD_OF_OBJECTIVE_MS);
    expect(paced.reports).toBeLessThan(unpaced.reports);
  });

  test('a small fleet reports each change at once', () => {
    expect(runFleet(6, 5, true)).toEqual(runFleet(6, 5, false));
  });

  test('slows down with the delay of its passes, up to a bound', () => {
    const steps = Array.from({length: 41}, (_, at) => at * 5);
    expect(reportSpacingMs(5)).toBe(MIN_REPORT_SPACING_MS);
    expect(passIntervalMs(5)).toBe(MIN_PASS_INTERVAL_MS);
    expect(startsPerPass(5)).toBe(MAX_STARTS_PER_PASS);
    expect(reportSpacingMs(200)).toBe(MAX_REPORT_SPACING_MS);
    expect(passIntervalMs(200)).toBe(MAX_PASS_INTERVAL_MS);
    expect(startsPerPass(200)).toBe(MIN_STARTS_PER_PASS);
    expect(MIN_STARTS_PER_PASS).toBeGreaterThan(0);
    for (const interval of [reportSpacingMs, passIntervalMs, (ms: number) => -startsPerPass(ms)]) {
      const intervals = steps.map(interval);
      expect(intervals).toEqual([...intervals].sort((a, b) => a - b));
    }
  });

  test('returns to the usual pace once passes are on time again, or no longer made', () => {
    let now = 0;
    const pace = new JobsPace({monotonicMs: () => now as never});
    const noteAll = (delayMs: number): void => {
      for (let count = 0; count < 30; count++, now += 10) {
        pace.noteDelay(delayMs);
      }
    };
    noteAll(300);
    expect(pace.reportSpacingMs).toBe(MAX_REPORT_SPACING_MS);
    noteAll(1);
    expect(pace.reportSpacingMs).toBe(MIN_REPORT_SPACING_MS);
    noteAll(300);
    now += 2_000;
    expect(pace.reportSpacingMs).toBe(MIN_REPORT_SPACING_MS);
  });
});
