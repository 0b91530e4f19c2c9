/** Guards against late reports of online requests, and against too many of them. */
import type {OnlineCountsAnswer} from 'stallpaddle-jobs';
import type {TryOutcome} from 'stallpaddle-rpc';

import {decodeValue, delay, systemClock} from 'stallpaddle';
import {MAX_REPORT_SPACING_MS, MIN_REPORT_SPACING_MS} from 'stallpaddle-jobs';
import {RelayOnlineLoad} from 'stallpaddle-relay';
import {afterEach, describe, expect, test} from 'vitest';

import {NodeBackoff} from '../../NodeBackoff';
import {
  MAX_RETRY_PAUSE_MS,
  ONLINE_REPORT_INTERVAL_MS,
  onlineReportIntervalMs,
  RETRY_PAUSE_MS,
} from '../../NodeConstants';
import {NodeOnlineReporter} from '../../NodeOnlineReporter';

const undo: (() => void)[] = [];

afterEach(() => undo.splice(0).forEach((step) => step()));

interface Report {
  readonly at: number;
  /** Whether the sender waits for an answer. */
  readonly isCall: boolean;
  /** Whether the report says that no answer is taken. */
  readonly isOneWay?: boolean;
  readonly own: Readonly<Record<string, number>>;
}

const ANSWER: OnlineCountsAnswer = {
  isAll: true,
  others: {e9: 4},
  suspects: [],
  version: {changes: 1, epoch: 'n'},
};

function reportOf(encoded: Uint8Array, isCall: boolean): Report {
  return {at: performance.now(), isCall, ...decodeValue<Pick<Report, 'isOneWay' | 'own'>>(encoded)};
}

function reporterOf(answers = true, entryVms = 200, answer = ANSWER, canPost = true) {
  const reports: Report[] = [];
  const tryOnce = async ({encoded}: {encoded: Uint8Array}): Promise<TryOutcome> => {
    reports.push(reportOf(encoded, true));
    await delay(1);
    return answers ? {kind: 'answered', result: answer} : {kind: 'unknown'};
  };
  const post = ({encoded}: {encoded: Uint8Array}): boolean => {
    reports.push(reportOf(encoded, false));
    return canPost;
  };
  const online = new RelayOnlineLoad(systemClock);
  const reporter = new NodeOnlineReporter(
    {leaderHost: null, post, tryOnce},
    online,
    'e1',
    () => entryVms,
  );
  undo.push(() => reporter.stop());
  return {online, reporter, reports};
}

describe('NodeOnlineReporter', () => {
  test('retries without backoff at a named dispatcher, and with backoff while none is known', async () => {
    // After a restart of the whole fleet, each VM needs the other VMs' counts before it can choose among engines.
    const online = new RelayOnlineLoad(systemClock);
    const tries = {named: 0, unnamed: 0};
    const clientOf = (leaderHost: null | string, kind: keyof typeof tries) => ({
      leaderHost,
      post: () => false,
      tryOnce: (): Promise<TryOutcome> => {
        tries[kind]++;
        return Promise.resolve({kind: 'notLeader', leader: leaderHost});
      },
    });
    const named = new NodeOnlineReporter(clientOf('10.0.0.1', 'named'), online, 'e1', () => 1);
    const unnamed = new NodeOnlineReporter(clientOf(null, 'unnamed'), online, 'e2', () => 1);
    undo.push(() => named.stop());
    undo.push(() => unnamed.stop());
    void named.run();
    void unnamed.run();
    await delay(600);
    expect(tries.named).toBeGreaterThan(8);
    expect(tries.unnamed).toBeLessThanOrEqual(8);
  });

  test('a VM without requests reports once a second, and receives the other VMs’ counts', async () => {
    const {online, reporter, reports} = reporterOf();
    void reporter.run();
    await delay(2.5 * ONLINE_REPORT_INTERVAL_MS);
    expect(reports.length).toBeGreaterThanOrEqual(2);
    expect(reports.length).toBeLessThanOrEqual(3);
    expect(online.requestsAt('e9')).toBe(4);
  });

  test('a request after a pause is reported at once', async () => {
    const {online, reporter, reports} = reporterOf();
    void reporter.run();
    await delay(100);
    const before = reports.length;
    online.registerRequest('e0');
    await delay(ONLINE_REPORT_INTERVAL_MS / 2);
    expect(reports.slice(before)).toMatchObject([{own: {e0: 1}}]);
  });

  test('a VM that serves requests reports often in a small fleet, but not in a large one', async () => {
    const counts: number[] = [];
    for (const entryVms of [10, 200]) {
      const {online, reporter, reports} = reporterOf(true, entryVms);
      void reporter.run();
      online.registerRequest('e0');
      await delay(600);
      counts.push(reports.length);
    }
    expect(counts[0]).toBeGreaterThan(8);
    expect(counts[0]).toBeLessThanOrEqual(18);
    expect(counts[1]).toBeLessThanOrEqual(3);
    expect([
      onlineReportIntervalMs(false, 10),
      onlineReportIntervalMs(true, 25),
      onlineReportIntervalMs(true, 26),
    ]).toEqual([ONLINE_REPORT_INTERVAL_MS, 100, ONLINE_REPORT_INTERVAL_MS]);
  });

  test('a report waits for an answer unless it only lowers counts', async () => {
    const {online, reporter, reports} = reporterOf();
    void reporter.run();
    await delay(100);
    const before = reports.length;
    const end = online.registerRequest('e0');
    await delay(50);
    end();
    await delay(ONLINE_REPORT_INTERVAL_MS + 200);
    expect(reports.slice(before).map((one) => [one.isCall, one.isOneWay, one.own])).toEqual([
      [true, undefined, {e0: 1}],
      [false, true, {}],
      [true, undefined, {}],
    ]);
  });

  test('a report that could not be sent one-way asks for an answer', async () => {
    const {online, reporter, reports} = reporterOf(true, 200, ANSWER, false);
    void reporter.run();
    const end = online.registerRequest('e0');
    await delay(50);
    end();
    await delay(50);
    expect(reports.slice(-2).map(({isCall, isOneWay}) => [isCall, isOneWay])).toEqual([
      [false, true],
      [true, undefined],
    ]);
  });

  test('a burst of changes is combined in few reports, the last of which contains all counts', async () => {
    const {online, reporter, reports} = reporterOf();
    void reporter.run();
    await delay(50);
    const before = reports.length;
    for (let count = 0; count < 100; count++) {
      online.registerRequest(`e${count % 5}`);
      await delay(2);
    }
    await delay(2 * MIN_REPORT_SPACING_MS);
    const spent = reports.at(-1)!.at - reports[before]!.at;
    expect(reports.length - before).toBeLessThanOrEqual(spent / MIN_REPORT_SPACING_MS + 2);
    expect(reports.at(-1)!.own).toEqual({e0: 20, e1: 20, e2: 20, e3: 20, e4: 20});
  });

  test.each([
    ['obeys the time that the dispatcher asks for', 60, 60],
    ['leaves a bounded time, whatever the dispatcher asks for', 60_000, MAX_REPORT_SPACING_MS],
  ])('%s', async (_, spacingMs, expectedMs) => {
    const {online, reporter, reports} = reporterOf(true, 200, {...ANSWER, spacingMs});
    void reporter.run();
    // The first answer tells the time.
    while (!online.hasReceivedReport) {
      await delay(1);
    }
    const before = reports.length - 1;
    for (let count = 0; count < 100; count++) {
      online.registerRequest(`e${count % 5}`);
      await delay(5);
    }
    while (reports.at(-1)!.own.e4 !== 20) {
      await delay(5);
    }
    const spent = reports.at(-1)!.at - reports[before]!.at;
    expect(reports.length - before).toBeLessThanOrEqual(spent / expectedMs + 2);
    expect(reports.at(-1)!.own).toEqual({e0: 20, e1: 20, e2: 20, e3: 20, e4: 20});
  });

  test('backs off while nobody answers', async () => {
    const {reporter, reports} = reporterOf(false);
    void reporter.run();
    await delay(1_000);
    // Without backoff there would be about 32 tries.
    expect(reports.length).toBeLessThanOrEqual(12);
    expect(reports.length).toBeGreaterThanOrEqual(4);
  });
});

describe('NodeBackoff', () => {
  test('doubles the pauses up to the maximum, and starts again after a reset', () => {
    const backoff = new NodeBackoff(() => 0);
    const pauses = Array.from({length: 6}, () => backoff.nextMs());
    expect(pauses).toEqual([30, 60, 120, 240, MAX_RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS]);
    backoff.reset();
    expect(backoff.nextMs()).toBe(RETRY_PAUSE_MS);
    expect(new NodeBackoff(() => 1).nextMs()).toBe(RETRY_PAUSE_MS / 2);
  });
});
