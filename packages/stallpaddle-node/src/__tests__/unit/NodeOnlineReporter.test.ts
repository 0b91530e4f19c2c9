/**
 * What an entry VM's words cost: few while it serves nobody, one at once for a request after a pause, several changes
 * together in a burst, and ever fewer tries while nobody answers.
 */
import type {OnlineAnswer} from 'stallpaddle-jobs';
import type {TryOutcome} from 'stallpaddle-rpc';

import {decodeValue, delay, systemClock} from 'stallpaddle';
import {RelayOnline} from 'stallpaddle-relay';
import {afterEach, describe, expect, test} from 'vitest';

import {NodeBackoff} from '../../NodeBackoff';
import {
  MAX_RETRY_PAUSE_MS,
  ONLINE_REPORT_INTERVAL_MS,
  ONLINE_REPORT_SPACING_MS,
  onlineReportIntervalMs,
  RETRY_PAUSE_MS,
} from '../../NodeConstants';
import {NodeOnlineReporter} from '../../NodeOnlineReporter';

const undo: (() => void)[] = [];

afterEach(() => undo.splice(0).forEach((step) => step()));

interface Word {
  readonly at: number;
  /** Whether its sender waits for an answer. */
  readonly isCall: boolean;
  readonly own: Readonly<Record<string, number>>;
}

const ANSWER: OnlineAnswer = {
  isAll: true,
  others: {e9: 4},
  suspects: [],
  version: {changes: 1, epoch: 'n'},
};

function wordOf(encoded: Uint8Array, isCall: boolean): Word {
  return {at: performance.now(), isCall, ...decodeValue<{own: Word['own']}>(encoded)};
}

function tellsOf(answers = true, entryVms = 200) {
  const words: Word[] = [];
  const tryOnce = async ({encoded}: {encoded: Uint8Array}): Promise<TryOutcome> => {
    words.push(wordOf(encoded, true));
    await delay(1);
    return answers ? {kind: 'answered', result: ANSWER} : {kind: 'unknown'};
  };
  const post = ({encoded}: {encoded: Uint8Array}): boolean => {
    words.push(wordOf(encoded, false));
    return true;
  };
  const online = new RelayOnline(systemClock);
  const tells = new NodeOnlineReporter(
    {leaderHost: null, post, tryOnce},
    online,
    'e1',
    () => entryVms,
  );
  undo.push(() => tells.stop());
  return {online, tells, words};
}

describe('NodeTells', () => {
  test('tells whoever was named to run items at once, and waits longer and longer while nobody is', async () => {
    // After a loss of all VMs each one must know the others' requests before it can choose among engines.
    const online = new RelayOnline(systemClock);
    const tries = {named: 0, unnamed: 0};
    const callerOf = (leaderHost: null | string, kind: keyof typeof tries) => ({
      leaderHost,
      post: () => false,
      tryOnce: (): Promise<TryOutcome> => {
        tries[kind]++;
        return Promise.resolve({kind: 'notLeader', leader: leaderHost});
      },
    });
    const named = new NodeOnlineReporter(callerOf('10.0.0.1', 'named'), online, 'e1', () => 1);
    const unnamed = new NodeOnlineReporter(callerOf(null, 'unnamed'), online, 'e2', () => 1);
    undo.push(() => named.stop());
    undo.push(() => unnamed.stop());
    void named.run();
    void unnamed.run();
    await delay(600);
    expect(tries.named).toBeGreaterThan(8);
    expect(tries.unnamed).toBeLessThanOrEqual(8);
  });

  test('a VM without requests tells once a second, and learns the others’ counts', async () => {
    const {online, tells, words} = tellsOf();
    void tells.run();
    await delay(2.5 * ONLINE_REPORT_INTERVAL_MS);
    expect(words.length).toBeGreaterThanOrEqual(2);
    expect(words.length).toBeLessThanOrEqual(3);
    expect(online.at('e9')).toBe(4);
  });

  test('a request after a pause is told at once', async () => {
    const {online, tells, words} = tellsOf();
    void tells.run();
    await delay(100);
    const before = words.length;
    online.registerRequest('e0');
    await delay(ONLINE_REPORT_INTERVAL_MS / 2);
    expect(words.slice(before)).toMatchObject([{own: {e0: 1}}]);
  });

  test('a VM of a small fleet asks often while it serves requests; one of a large fleet does not', async () => {
    const counts: number[] = [];
    for (const entryVms of [10, 200]) {
      const {online, tells, words} = tellsOf(true, entryVms);
      void tells.run();
      online.registerRequest('e0');
      await delay(600);
      counts.push(words.length);
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

  test('only words that tell of a begin, or of nothing new, wait for an answer', async () => {
    const {online, tells, words} = tellsOf();
    void tells.run();
    await delay(100);
    const before = words.length;
    const end = online.registerRequest('e0');
    await delay(50);
    end();
    await delay(ONLINE_REPORT_INTERVAL_MS + 200);
    expect(words.slice(before).map(({isCall, own}) => [isCall, own])).toEqual([
      [true, {e0: 1}],
      [false, {}],
      [true, {}],
    ]);
  });

  test('a burst of changes goes in few words, the last of which tells all', async () => {
    const {online, tells, words} = tellsOf();
    void tells.run();
    await delay(50);
    const before = words.length;
    for (let count = 0; count < 100; count++) {
      online.registerRequest(`e${count % 5}`);
      await delay(2);
    }
    await delay(2 * ONLINE_REPORT_SPACING_MS);
    const spent = words.at(-1)!.at - words[before]!.at;
    expect(words.length - before).toBeLessThanOrEqual(spent / ONLINE_REPORT_SPACING_MS + 2);
    expect(words.at(-1)!.own).toEqual({e0: 20, e1: 20, e2: 20, e3: 20, e4: 20});
  });

  test('while nobody answers, tries become few', async () => {
    const {tells, words} = tellsOf(false);
    void tells.run();
    await delay(1_000);
    // With a pause of 30 ms each there would be 32.
    expect(words.length).toBeLessThanOrEqual(12);
    expect(words.length).toBeGreaterThanOrEqual(4);
  });
});

describe('NodeBackoff', () => {
  test('pauses double up to the longest, and begin anew after an answer', () => {
    const backoff = new NodeBackoff(() => 0);
    const pauses = Array.from({length: 6}, () => backoff.nextMs());
    expect(pauses).toEqual([30, 60, 120, 240, MAX_RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS]);
    backoff.reset();
    expect(backoff.nextMs()).toBe(RETRY_PAUSE_MS);
    expect(new NodeBackoff(() => 1).nextMs()).toBe(RETRY_PAUSE_MS / 2);
  });
});
