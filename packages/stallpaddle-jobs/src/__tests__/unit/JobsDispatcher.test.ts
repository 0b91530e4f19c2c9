/** Dispatching batch items to fake engines: preemption, failures, stalls, and changes of the leader. */
import type {FleetRoute, FleetSuspectParts, FleetView} from 'stallpaddle-fleet';

import {request} from 'node:http';
import {delay, invariant, type LogFields, seededRandom, systemClock} from 'stallpaddle';
import {EMPTY_VIEW, QUARANTINE_LEVEL} from 'stallpaddle-fleet';
import {FakeSuspectStore, PLAIN, plainRelay, StreamEngine} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import type {JobsDispatcherOptions} from '../../JobsContext';
import type {JobsChange, JobsState, Submission, SubmittedItem} from '../../JobsTypes';

import {JobsDispatcher} from '../../JobsDispatcher';
import {jobsMachine, updateJobs} from '../../JobsMachine';
import {MAX_STARTS_PER_PASS, MIN_REPORT_SPACING_MS} from '../../JobsPace';
import {joinOutput} from '../../JobsQueries';
import {ENDED_ENGINE_DELAY_MS, MAX_PARTS_WAIT_MS} from '../../JobsTrial';

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const step of cleanups.splice(0)) {
    await step();
  }
});

/** Delay of the first trial of quarantined parts, in milliseconds. */
const TRIAL_DELAY_MS = 10_000;

/** Time in which items are to be placed when nothing disturbs the engines any more, in milliseconds. */
const CALM_MS = 5_000;

/** Pause between two checks of a condition, in milliseconds. */
const POLL_MS = 5;

const ROUTE: FleetRoute = {
  giveUpAfterMs: 60_000,
  host: 'h',
  kind: 'batch',
  maxAttempts: 2,
  maxWaitingTokens: 0,
  name: 'r',
  objectiveMs: 400,
  pathPrefix: '/p/',
  resumable: true,
  split: [{service: 's', weight: 1}],
  targetMs: 18_000,
  timeoutMs: 15_000,
};

/** A part that is quarantined, and during each of whose trials an engine ended. */
function partWithFailedTrials(part: string, trials: number): FleetSuspectParts {
  const exits = ['e8@1', 'e9@1'].map((name) => ({incarnation: name, requests: [name]}));
  const counts = {failedTrials: trials, level: QUARANTINE_LEVEL, since: 0, trials, until: Infinity};
  return new Map([[part, {...counts, exits, knowns: [0, 1], part, served: false}]]);
}

function itemOf(at: number, parts = ''): SubmittedItem {
  const headers = [
    ['x-model', 'm'],
    [PLAIN.sharedParts, parts],
  ] as const;
  return {body: Buffer.from(`body ${at}`), headers, id: `i${at}`, path: `/p/${at}`, tokens: 10};
}

/** Replication group in memory that commits each command at once. */
class FakeGroup {
  readonly blobs = new Map<number, Uint8Array>();
  leader: JobsDispatcher | undefined;
  state: JobsState = jobsMachine.initial();

  propose(change: JobsChange): Promise<unknown> {
    const {blobs, result, state} = updateJobs(this.state, {change}, 1);
    blobs.forEach(({payload, ref}) => this.blobs.set(ref.offset, payload));
    this.state = state;
    this.leader?.schedulePass();
    return Promise.resolve(result);
  }

  /** Submits a job; `partsOf` gives the shared parts of an item's prompt. */
  submit(items: number, partsOf: (at: number) => string = () => ''): void {
    this.submitItems(Array.from({length: items}, (_, at) => itemOf(at, partsOf(at))));
  }

  submitItems(items: readonly SubmittedItem[], changes: Partial<Submission> = {}): void {
    const submission = {host: 'h', id: 'job', items, path: '/p/job', route: 'r', ...changes};
    void this.propose({kind: 'submit', maxWaitingTokens: 0, submission});
  }

  textOf(result: number): string {
    const {texts} = this.state.jobs.get('job')!.results.get(result)!;
    const parts = texts.map(({offset}) => this.blobs.get(offset)!);
    return Buffer.from(joinOutput(parts)).toString();
  }

  get results() {
    return this.state.jobs.get('job')!.results.toArray();
  }
}

async function startEngines(count: number, events: number, gapMs: number) {
  const engines = await Promise.all(
    Array.from({length: count}, () => StreamEngine.start(events, gapMs)),
  );
  engines.forEach((engine) => cleanups.push(() => engine.stop()));
  return engines;
}

function viewOf(
  engines: readonly StreamEngine[],
  routes: readonly FleetRoute[] = [ROUTE],
  versions: readonly string[] = [],
): FleetView {
  const limits = {headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1};
  return {
    ...EMPTY_VIEW,
    asOf: systemClock.monotonicMs(),
    config: {limits, routes, services: [], version: 1},
    news: {
      ...EMPTY_VIEW.news,
      engines: engines.map((engine, at) => ({
        address: engine.address,
        draining: false,
        id: `e${at}`,
        sequence: 0,
        service: 's',
        silent: false,
        slots: 2,
        softwareVersion: versions[at] ?? 'v1',
        startedAtMs: 0,
        zone: 'z',
      })),
    },
  };
}

/** The view with one start time of all engines. */
function withStarts(view: FleetView, startedAtMs: number): FleetView {
  const engines = view.news.engines.map((engine) => ({...engine, startedAtMs}));
  return {...view, news: {...view.news, engines}};
}

/** Overrides for a leader that always holds the lease and whose commands are all committed. */
interface LeadOptions {
  readonly decide?: JobsDispatcherOptions['decide'];
  readonly isOn?: JobsDispatcherOptions['isOn'];
  /** Whether it holds the lease. */
  readonly mayLead?: () => boolean;
  /** Time to read a body, in milliseconds. */
  readonly readMs?: number;
  readonly propose?: (change: JobsChange) => Promise<unknown>;
  readonly store?: FakeSuspectStore;
  readonly term?: () => number;
}

function startLeader(
  group: FakeGroup,
  view: () => FleetView,
  {
    decide = () => {},
    isOn = () => false,
    mayLead = () => true,
    propose = (change) => group.propose(change),
    readMs = 0,
    store = new FakeSuspectStore(),
    term = () => 1,
  }: LeadOptions = {},
): JobsDispatcher {
  let leads = true;
  const dispatcher = new JobsDispatcher({
    clock: systemClock,
    decide,
    isOn,
    leadership: () =>
      leads ? {kind: mayLead() ? 'leads' : 'unsure', term: term()} : {kind: 'follows'},
    propose,
    readBlob: async (ref) => {
      await delay(readMs);
      return group.blobs.get(ref.offset)!;
    },
    state: () => group.state,
    suspects: store.view(plainRelay, () => view().news.engines),
    view,
    wire: plainRelay,
  });
  group.leader = dispatcher;
  cleanups.push(() => {
    leads = false;
    dispatcher.stop();
  });
  dispatcher.schedulePass();
  return dispatcher;
}

async function waitUntil(isTrue: () => boolean, timeoutMs = 5_000): Promise<void> {
  for (let waited = 0; !isTrue(); waited += POLL_MS) {
    expect(waited).toBeLessThan(timeoutMs);
    await delay(POLL_MS);
  }
}

/** Waits until a new leader knows the free slots of all engines; the room is reported while admission is on. */
function untilSurveyed(dispatcher: JobsDispatcher, slots: number): Promise<void> {
  return waitUntil(() => dispatcher.fleetLoad.answer(null).room?.freeSlots === slots);
}

function expectedOutput(events: number): string {
  return Array.from({length: events}, (_, at) => `piece ${at + 1}`).join('\n');
}

describe('JobsDispatcher', () => {
  test('runs each item to completion, with its own headers, body and index', async () => {
    const engines = await startEngines(2, 5, 2);
    const group = new FakeGroup();
    startLeader(group, () => viewOf(engines));
    group.submit(6);
    await waitUntil(() => group.results.length === 6);
    expect(new Set(group.results.map(({item}) => item)).size).toBe(6);
    expect(group.results.map((_, at) => group.textOf(at))).toEqual(
      Array(6).fill(expectedOutput(5)),
    );
    const seen = engines.flatMap((engine) => engine.seen);
    expect(seen).toHaveLength(6);
    const first = seen.find(({url}) => url === '/p/0')!;
    expect(first).toMatchObject({body: 'body 0', headers: {host: 'h', 'x-model': 'm'}});
    expect(first.headers[PLAIN.request]).toBe('i0');
  });

  // Guards against a class of items that is short for a reason that no log line shows.
  test('logs each second what all open items wait for, and nothing once none is open', async () => {
    const engines = await startEngines(1, 40, 50);
    const group = new FakeGroup();
    const loads: LogFields[] = [];
    startLeader(group, () => ({...viewOf(engines), asOf: systemClock.monotonicMs()}), {
      decide: (decision, _id, fields) => {
        if (decision === 'dispatchLoad') {
          loads.push(fields);
        }
      },
    });
    const items = 12;
    group.submit(items);
    await waitUntil(() => loads.length > 0);
    const {ending, held, reportSpacingMs, running, starting, waiting} = loads[0]!;
    const open = [ending, held, running, starting, waiting].map(Number);
    expect(open.reduce((sum, count) => sum + count, 0)).toBe(items);
    expect(Number(running)).toBeGreaterThan(0);
    expect(Number(reportSpacingMs)).toBeGreaterThanOrEqual(MIN_REPORT_SPACING_MS);
    await group.propose({job: 'job', kind: 'endJob'});
    const before = loads.length;
    await delay(1_500);
    expect(loads).toHaveLength(before);
  });

  // Guards against an item whose text is of two software versions.
  test('an item is resumed only at an engine of the software version that began it', async () => {
    const engines = await startEngines(2, 20, 5);
    engines.forEach((engine) => (engine.behaviors = [{after: 5, kind: 'breakOff'}]));
    const group = new FakeGroup();
    startLeader(group, () => viewOf(engines, [ROUTE], ['v1', 'v2']));
    group.submit(1);
    await waitUntil(() => group.results.length === 1);
    expect(group.textOf(0)).toBe(expectedOutput(20));
    const seen = engines.map((engine) => engine.seen.map(({headers}) => headers));
    const began = seen.findIndex((all) => all.some((one) => !(PLAIN.resumeAfter in one)));
    expect(seen[began]).toMatchObject([{}, {[PLAIN.resumeAfter]: '5'}]);
    expect(seen[1 - began]).toEqual([]);
  });

  test('an item begins anew when its software version has left, and a late record does not join it', async () => {
    const engines = await startEngines(2, 60, 5);
    const group = new FakeGroup();
    let view = viewOf(engines.slice(0, 1), [ROUTE], ['v1']);
    const dispatcher = startLeader(group, () => ({...view, asOf: systemClock.monotonicMs()}));
    group.submit(1);
    await waitUntil(() => engines[0]!.seen.length > 0);
    await delay(100);
    await dispatcher.saveProgress();
    expect(group.state.jobs.get('job')!.items[0]!.progress).toMatchObject({softwareVersion: 'v1'});
    const [, other] = viewOf(engines, [ROUTE], ['v1', 'v2']).news.engines;
    view = {...view, news: {...view.news, engines: [other!]}};
    await engines[0]!.stop();
    dispatcher.schedulePass();
    await waitUntil(() => engines[1]!.seen.length > 0);
    await delay(50);
    await dispatcher.saveProgress();
    expect(group.state.jobs.get('job')!.items[0]!.progress).toMatchObject({
      restarts: 1,
      softwareVersion: 'v2',
    });
    await waitUntil(() => group.results.length === 1);
    expect(engines[1]!.seen.map(({headers}) => headers[PLAIN.resumeAfter])).toEqual([undefined]);
    expect(group.textOf(0)).toBe(expectedOutput(60));
  });

  // Guards against results of two software versions, where an engine had started again under its name unnoticed.
  test('the output of an engine that had started again is not continued', async () => {
    const engines = await startEngines(2, 20, 5);
    engines.forEach((engine) => {
      engine.behaviors = [{after: 5, kind: 'breakOff'}];
      engine.startedAtMs = 2;
    });
    const group = new FakeGroup();
    startLeader(group, () => withStarts(viewOf(engines), 1));
    group.submit(1);
    await waitUntil(() => group.results.length === 1);
    expect(group.textOf(0)).toBe(expectedOutput(20));
    const seen = engines.flatMap((engine) => engine.seen);
    expect(seen.filter(({headers}) => PLAIN.resumeAfter in headers)).toEqual([]);
  });

  // Guards against results of two software versions, where the next engine has started again under its name unnoticed.
  test('an output is not continued by an engine that has started again', async () => {
    const engines = await startEngines(2, 20, 5);
    engines.forEach((engine) => {
      engine.behaviors = [{after: 5, kind: 'breakOff'}];
      engine.startedAtMs = 1;
    });
    const group = new FakeGroup();
    const ends: string[] = [];
    startLeader(group, () => withStarts(viewOf(engines), 1), {
      decide: (decision, _id, {check, how}) => {
        if (decision === 'itemReturned') {
          ends.push(`${String(how)} ${String(check)}`);
          // Both engines start again; later the fleet status is right about the first start again.
          engines.forEach((engine) => (engine.startedAtMs = ends.length < 3 ? 2 : 1));
        }
      },
    });
    group.submit(1);
    await waitUntil(() => group.results.length === 1);
    expect(group.textOf(0)).toBe(expectedOutput(20));
    expect(ends.slice(0, 3)).toEqual([
      'broken undefined',
      'unconfirmed other',
      'unconfirmed other',
    ]);
  });

  test('counts items whose bodies are still being read, so no engine gets more than its free slots', async () => {
    const engines = await startEngines(2, 20, 5);
    const group = new FakeGroup();
    const dispatcher = startLeader(group, () => viewOf(engines), {readMs: 60});
    group.submit(6);
    let most = 0;
    while (group.results.length < 6) {
      dispatcher.schedulePass();
      await delay(5);
      const open = engines.map(({seen}) => seen.filter((req) => req.open).length);
      most = Math.max(most, ...open);
    }
    expect(most).toBe(1);
    expect(engines.flatMap(({seen}) => seen)).toHaveLength(6);
  });

  test('starts many items over several turns of the event loop', async () => {
    const engines = await startEngines(1, 1, 1);
    const view = viewOf(engines);
    const [engine] = view.news.engines;
    const roomy = {...view, news: {...view.news, engines: [{...engine!, slots: 500}]}};
    const group = new FakeGroup();
    let turn = 0;
    const perTurn = new Map<number, number>();
    const watch = (): void => {
      turn++;
      if (group.results.length < 200) {
        setImmediate(watch);
      }
    };
    group.submit(200);
    watch();
    startLeader(group, () => ({...roomy, asOf: systemClock.monotonicMs()}), {
      decide: (decision) => {
        if (decision === 'itemPlaced') {
          perTurn.set(turn, (perTurn.get(turn) ?? 0) + 1);
        }
      },
    });
    await waitUntil(() => group.results.length === 200, 20_000);
    expect(Math.max(...perTurn.values())).toBeLessThanOrEqual(2 * MAX_STARTS_PER_PASS);
  });

  test('preempts runs for online requests and resumes them after the last complete event', async () => {
    const engines = await startEngines(2, 40, 10);
    const group = new FakeGroup();
    const dispatcher = startLeader(group, () => viewOf(engines));
    group.submit(2);
    await waitUntil(() => engines.every(({seen}) => seen.length > 0));
    await delay(100);
    dispatcher.online.update('entry', 1, {e0: 2});
    dispatcher.schedulePass();
    await waitUntil(() => engines[0]!.seen.every(({aborted}) => aborted));
    dispatcher.online.update('entry', 2, {});
    await waitUntil(() => group.results.length === 2);
    expect([group.textOf(0), group.textOf(1)]).toEqual([expectedOutput(40), expectedOutput(40)]);
    const resumed = engines
      .flatMap(({seen}) => seen)
      .filter(({headers}) => headers[PLAIN.resumeAfter]);
    expect(resumed).toHaveLength(1);
  });

  // Guards against the end of the process, and so of all batch work, by the name of one customer or item.
  test('sends names, headers and paths with letters beyond Latin-1', async () => {
    const engines = await startEngines(1, 5, 2);
    const group = new FakeGroup();
    startLeader(group, () => viewOf(engines));
    const item = {...itemOf(0), headers: [['x-note', 'a – b']] as const, id: 'é-š', path: '/p/š'};
    group.submitItems([item], {customer: 'Klub Šiška'});
    const [name] = [...group.state.jobs.keys()];
    const results = () => group.state.jobs.get(name!)!.results.toArray();
    await waitUntil(() => results().length === 1);
    expect(results()).toMatchObject([{outcome: 'completed'}]);
    const [{headers, url}] = engines[0]!.seen as [(typeof engines)[0]['seen'][0]];
    const sent = [headers[PLAIN.customer], headers[PLAIN.request], headers['x-note'], url];
    expect(sent.map((text) => Buffer.from(String(text), 'latin1').toString())).toEqual([
      'Klub Šiška',
      'é-š',
      'a – b',
      '/p/%C5%A1',
    ]);
  });

  // Guards against the end of the process when an item of an earlier release, or an address of an engine, can't be sent.
  test('runs the other items beside one that HTTP can’t carry and an engine that can’t be called', async () => {
    const engines = await startEngines(2, 5, 2);
    const group = new FakeGroup();
    const decided: string[] = [];
    const rejections: unknown[] = [];
    const onRejection = (err: unknown): unknown => rejections.push(err);
    process.on('unhandledRejection', onRejection);
    cleanups.push(() => void process.off('unhandledRejection', onRejection));
    const view = viewOf(engines);
    const [last] = view.news.engines.slice(-1);
    const unreachable = {...last!, address: '127.0.0.1:99999', id: 'e9'};
    const news = {...view.news, engines: [...view.news.engines, unreachable]};
    startLeader(group, () => ({...view, asOf: systemClock.monotonicMs(), news}), {
      decide: (decision, id, {reason}) => decided.push(`${decision} ${id} ${String(reason)}`),
    });
    group.submitItems([{...itemOf(0), path: '/p/a b'}, ...[1, 2, 3, 4, 5].map((at) => itemOf(at))]);
    await waitUntil(() => group.results.length === 5, 8_000);
    expect(group.results.map(({item}) => item).sort()).toEqual([1, 2, 3, 4, 5]);
    expect(decided).toContain('itemReturned i0 malformed');
    expect(rejections).toEqual([]);
  });

  test('runs an item that ends engines once in each delay, with no result, and runs the other items', async () => {
    const engines = await startEngines(8, 5, 2);
    const endedAt: number[] = [];
    engines.forEach((engine) => {
      engine.fatal.add('body 0');
      engine.onCrashed = () => endedAt.push(systemClock.monotonicMs());
    });
    const group = new FakeGroup();
    const decided: string[] = [];
    const decide: JobsDispatcherOptions['decide'] = (decision, id) =>
      decided.push(`${decision} ${id}`);
    const holds = () => decided.filter((line) => line === 'itemHeld i0').length;
    startLeader(group, () => viewOf(engines), {decide});
    group.submit(6);
    await waitUntil(() => holds() === 1 && group.results.length === 5);
    expect(endedAt).toHaveLength(2);
    await waitUntil(() => holds() === 2, 8_000);
    await delay(ENDED_ENGINE_DELAY_MS - 500);
    expect(endedAt).toHaveLength(3);
    await waitUntil(() => holds() === 3, 8_000);
    expect(endedAt).toHaveLength(4);
    const pauses = endedAt.slice(1).map((at, index) => at - endedAt[index]!);
    expect(Math.min(...pauses.slice(1))).toBeGreaterThanOrEqual(ENDED_ENGINE_DELAY_MS);
    expect(group.results.map(({item}) => item).sort()).toEqual([1, 2, 3, 4, 5]);
  });

  // Guards against a sound item that is held for minutes because several engines ended while they began to run it.
  test.each([
    {crashes: 2, isOtherLeader: false},
    {crashes: 4, isOtherLeader: false},
    {crashes: 4, isOtherLeader: true},
  ])(
    'runs an item soon after a burst of crashes while it began: %o',
    async ({crashes, isOtherLeader}) => {
      const engines = await startEngines(8, 5, 2);
      let term = 1;
      const ended = new Map<string, number>();
      engines.forEach((engine) => {
        engine.fatal.add('body 0');
        engine.onCrashed = () => {
          ended.set(engine.address, systemClock.monotonicMs());
          if (isOtherLeader && ended.size === crashes - 1) {
            term = 2;
          }
          if (ended.size === crashes) {
            engines.forEach((other) => other.fatal.clear());
          }
        };
      });
      const view = (): FleetView => {
        const {news, ...rest} = viewOf(engines);
        const known = news.engines.map((one) => ({...one, silent: ended.has(one.address)}));
        return {...rest, news: {...news, engines: known}};
      };
      const group = new FakeGroup();
      const store = new FakeSuspectStore();
      startLeader(group, view, {store, term: () => term});
      group.submit(1, () => 'x');
      await waitUntil(() => group.results.length === 1, 30_000);
      expect([ended.size, group.textOf(0)]).toEqual([crashes, expectedOutput(5)]);
      // Nothing may hold requests that share the item's part.
      expect([store.suspects.size, store.parts.size]).toEqual([0, 0]);
      const lastEndAt = Math.max(...ended.values());
      expect(systemClock.monotonicMs() - lastEndAt).toBeLessThan(CALM_MS);
    },
    40_000,
  );

  // Guards against items that wait for minutes until the fleet grants a trial of a part that ran beside a burst of crashes.
  test('runs items with a quarantined part soon after a burst of crashes, however many trials have failed', async () => {
    const engines = await startEngines(2, 5, 2);
    const store = new FakeSuspectStore();
    store.parts = partWithFailedTrials('x', 3);
    store.publish();
    const group = new FakeGroup();
    startLeader(group, () => viewOf(engines), {store});
    group.submit(4, () => 'x');
    await waitUntil(() => group.results.length === 4, MAX_PARTS_WAIT_MS + CALM_MS);
    expect(store.parts.get('x')).toMatchObject({level: 0});
  }, 40_000);

  // Guards against an item that is started again while its first start waits for the control group, so that two runs write its text.
  test.each(['granted', 'denied'])(
    'runs an item once whose trial is %s late, as its wait for one ends',
    async (outcome) => {
      const engines = await startEngines(2, 20, 20);
      const store = new FakeSuspectStore();
      store.parts = partWithFailedTrials('x', 0);
      store.trialMs = 400;
      store.clockMs = outcome === 'granted' ? TRIAL_DELAY_MS : 0;
      store.publish();
      const group = new FakeGroup();
      const decided: string[] = [];
      const leader = startLeader(group, () => viewOf(engines), {
        decide: (decision) => decided.push(decision),
        store,
      });
      group.submit(1, () => 'x');
      const passes = setInterval(() => leader.schedulePass(), POLL_MS);
      cleanups.push(() => clearInterval(passes));
      await waitUntil(() => group.results.length === 1, MAX_PARTS_WAIT_MS + CALM_MS);
      expect(group.textOf(0)).toBe(expectedOutput(20));
      expect(decided.filter((decision) => decision === 'itemPlaced')).toHaveLength(1);
      expect(engines.flatMap(({seen}) => seen)).toHaveLength(1);
    },
    40_000,
  );

  test('holds all items with a quarantined part, and runs those that share only their other part', async () => {
    // Guards against a trial run of each item: a hundred items with one part would end a hundred engines.
    const engines = await startEngines(20, 5, 2);
    engines.forEach((engine) => engine.fatalParts.add('x'));
    const group = new FakeGroup();
    const decided: string[] = [];
    const decide: JobsDispatcherOptions['decide'] = (decision, id, {parts = ''}) =>
      decided.push(`${decision} ${id} ${String(parts)}`);
    const store = new FakeSuspectStore();
    store.parts = partWithFailedTrials('x', 0);
    store.publish();
    startLeader(group, () => viewOf(engines), {decide, store});
    const isFatal = (at: number): boolean => at % 10 === 0;
    group.submit(40, (at) => (isFatal(at) ? 'a x' : 'a y'));
    await waitUntil(() => group.results.length === 36, 15_000);
    const ended = () =>
      engines.filter(({seen}) =>
        seen.some(({headers}) => String(headers[PLAIN.sharedParts]).includes('x')),
      );
    const heldItems = () =>
      new Set(
        decided.filter((line) => /^itemHeld .*x$/.test(line)).map((line) => line.split(' ')[1]),
      );
    await waitUntil(() => heldItems().size === 4, 8_000);
    // Longer than the delay of an item during whose begin engines ended.
    await delay(4_000);
    expect(ended()).toEqual([]);
    expect(decided.filter((line) => line.startsWith('itemHeld') && line.endsWith(' a'))).toEqual(
      [],
    );
    expect(group.results.map(({item}) => item).filter(isFatal)).toEqual([]);
    // All items may ask for the trial now; one gets it, and keeps it until an engine that still lives runs it.
    store.clockMs = TRIAL_DELAY_MS;
    await waitUntil(() => ended().length > 0, 3 * TRIAL_DELAY_MS);
    await delay(1_500);
    expect(ended()).toHaveLength(1);
  });

  test('runs an item that was only present when two engines ended, after its quarantine', async () => {
    // Guards against quarantine without trial runs, which leaves an innocent item without a result.
    const engines = await startEngines(6, 5, 2);
    let ends = 0;
    engines.forEach((engine) => {
      engine.fatal.add('body 0');
      engine.onCrashed = () => {
        if (++ends === 2) {
          engines.forEach((other) => other.fatal.clear());
        }
      };
    });
    const group = new FakeGroup();
    startLeader(group, () => viewOf(engines));
    group.submit(1);
    await waitUntil(() => group.results.length === 1, 8_000);
    expect([ends, group.textOf(0)]).toEqual([2, expectedOutput(5)]);
  });

  test('does not suspect an item whose run brought more than a first event', async () => {
    const engines = await startEngines(6, 5, 2);
    engines.forEach((engine) => {
      engine.fatal.add('body 0');
      engine.eventsBeforeCrash = 2;
    });
    const group = new FakeGroup();
    const decided: string[] = [];
    startLeader(group, () => viewOf(engines), {decide: (decision) => decided.push(decision)});
    group.submit(1);
    await waitUntil(() => group.results.length === 1 || decided.includes('itemHeld'), 8_000);
    expect(decided).not.toContain('itemHeld');
  });

  test('preempts for an online request in the turn of its report, and each run only once', async () => {
    const engines = await startEngines(2, 60, 10);
    const group = new FakeGroup();
    const preempted: unknown[] = [];
    const dispatcher = startLeader(group, () => viewOf(engines), {
      decide: (decision, _, {engine}) => {
        if (decision === 'itemCut') {
          preempted.push(engine);
        }
      },
    });
    group.submit(2);
    await waitUntil(() => engines.every(({seen}) => seen.length > 0));
    dispatcher.updateOnlineCounts('entry', 1, {e1: 1});
    expect(preempted).toEqual([]);
    dispatcher.updateOnlineCounts('entry', 2, {e1: 2});
    dispatcher.updateOnlineCounts('other', 1, {e1: 1});
    expect(preempted).toEqual(['e1']);
    await delay(50);
    expect(preempted).toEqual(['e1']);
  });

  test('packs items beyond one for each engine, and preempts in the turn of a report', async () => {
    const engines = await startEngines(3, 60, 10);
    // A new leader places no item at an engine that has not told what it runs.
    engines[2]!.occupancyDelayMs = 50;
    const group = new FakeGroup();
    const logged: LogFields[] = [];
    const dispatcher = startLeader(group, () => viewOf(engines), {
      decide: (decision, _, fields) => {
        if (decision === 'itemPlaced' || decision === 'itemCut') {
          logged.push(fields);
        }
      },
      isOn: (feature) => feature === 'admission' || feature === 'batchPacking',
    });
    await untilSurveyed(dispatcher, 6);
    group.submit(4);
    await waitUntil(() => logged.length === 4);
    expect(new Set(logged.slice(0, 3).map(({engine}) => engine)).size).toBe(3);
    const busy = String(logged[3]!.engine);
    expect(logged[3]).toMatchObject({items: 2, online: 0, reserved: 1, slots: 2, speed: 1});
    await waitUntil(() => engines.some(({seen}) => seen.length === 2));
    dispatcher.updateOnlineCounts('entry', 1, {[busy]: 1});
    dispatcher.updateOnlineCounts('entry', 2, {[busy]: 1});
    expect(logged.slice(4)).toMatchObject([{cause: 'online', engine: busy, online: 1}]);
  });

  test('reports the room of all engines, and counts of items only while they are packed', async () => {
    const engines = await startEngines(3, 60, 10);
    const group = new FakeGroup();
    let isOn = false;
    const dispatcher = startLeader(group, () => viewOf(engines), {isOn: () => isOn});
    group.submit(2);
    await waitUntil(() => dispatcher.counts().running === 2);
    expect(dispatcher.fleetLoad.answer(null)).toEqual({version: {}});
    isOn = true;
    dispatcher.updateOnlineCounts('entry', 1, {e0: 1, e1: 1});
    const {items, room} = dispatcher.fleetLoad.answer(null);
    const total = Object.values(items!).reduce((sum, count) => sum + count, 0);
    expect(total).toBe(2);
    expect(room).toMatchObject({burstEndsInMs: null, freeSlots: 2, itemSlots: 2});
    // Hundreds of reports a second are answered without a new count.
    expect(dispatcher.fleetLoad.answer(null).room).toEqual(room);
    await waitUntil(() => (dispatcher.fleetLoad.answer(null).room?.itemSlots ?? 0) < 2, 5_000);
  });

  test('restarts items whose engine has restarted and lost them', async () => {
    // After a power loss the VM answers at the same address, and the run's connection reports no error.
    const engines = await startEngines(2, 40, 10);
    const group = new FakeGroup();
    const preempted: unknown[] = [];
    let startedAtMs = 0;
    const dispatcher = startLeader(
      group,
      () => {
        const view = viewOf(engines);
        const [first, ...others] = view.news.engines;
        const news = {...view.news, engines: [{...first!, startedAtMs}, ...others]};
        return {...view, news};
      },
      {
        decide: (decision, _, {engine}) => {
          if (decision === 'itemCut') {
            preempted.push(engine);
          }
        },
      },
    );
    group.submit(2);
    await waitUntil(() => engines.every(({seen}) => seen.length > 0));
    await delay(60);
    startedAtMs = 1_000;
    dispatcher.schedulePass();
    await waitUntil(() => preempted.length > 0);
    await waitUntil(() => group.results.length === 2);
    expect(preempted).toEqual(['e0']);
    expect([group.textOf(0), group.textOf(1)]).toEqual([expectedOutput(40), expectedOutput(40)]);
  });

  /** Sends requests whose connections stay open unread, as after a power loss of the sender. */
  function holdSlots(engine: StreamEngine, count: number): () => void {
    const requests = Array.from({length: count}, (_, at) =>
      request(`http://${engine.address}/left`, {
        agent: false,
        headers: {[PLAIN.request]: `left ${at}`.replace(' ', '-')},
        method: 'POST',
      }).end('left'),
    );
    requests.forEach((req) => req.on('error', () => {}));
    return () => requests.forEach((req) => req.destroy());
  }

  test('starts nothing in slots that runs of a lost dispatcher still occupy', async () => {
    const [engine] = await startEngines(1, 400, 10);
    const release = holdSlots(engine!, 2);
    cleanups.push(release);
    await waitUntil(() => engine!.seen.length === 2);
    const group = new FakeGroup();
    const dispatcher = startLeader(group, () => viewOf([engine!]));
    group.submit(1);
    await delay(500);
    expect(engine!.seen).toHaveLength(2);
    expect(dispatcher.online.totals()).toEqual({e0: 2});
    release();
    await waitUntil(() => engine!.seen.length === 3);
    expect(dispatcher.online.totals()).toEqual({});
  });

  test('stops only the runs of open items that a lost dispatcher abandoned', async () => {
    const engines = await startEngines(2, 400, 10);
    const leave = (id: string): void => {
      const headers = {[PLAIN.request]: id};
      const {address} = engines[0]!;
      const req = request(`http://${address}/`, {agent: false, headers, method: 'POST'}).end();
      req.on('error', () => {});
      cleanups.push(() => void req.destroy());
    };
    leave('i0');
    leave('an online request');
    await waitUntil(() => engines[0]!.seen.length === 2);
    const group = new FakeGroup();
    group.submit(1);
    startLeader(group, () => viewOf(engines));
    await waitUntil(() => engines[0]!.seen[0]!.aborted);
    await delay(300);
    expect(engines[0]!.seen[1]!.open).toBe(true);
    expect(engines[0]!.controlRequests).toEqual(['POST i0', 'DELETE i0']);
    expect(engines[1]!.seen.map(({headers}) => headers[PLAIN.request])).toEqual(['i0']);
  });

  test('starts items on engines that do not report their occupancy', async () => {
    const [engine] = await startEngines(1, 5, 2);
    engine!.reportsOccupancy = false;
    const group = new FakeGroup();
    startLeader(group, () => viewOf([engine!]));
    group.submit(1);
    await waitUntil(() => group.results.length === 1);
  });

  test('the next leader resumes from the recorded progress', async () => {
    const engines = await startEngines(1, 60, 5);
    const group = new FakeGroup();
    const first = startLeader(group, () => viewOf(engines));
    group.submit(1);
    await waitUntil(() => engines[0]!.seen.length > 0);
    await delay(120);
    await first.saveProgress();
    first.stop();
    const {progress} = group.state.jobs.get('job')!.items[0]!;
    expect(progress!.events).toBeGreaterThan(0);
    startLeader(group, () => viewOf(engines));
    await waitUntil(() => group.results.length === 1);
    expect(group.textOf(0)).toBe(expectedOutput(60));
    expect(engines[0]!.seen[1]!.headers[PLAIN.resumeAfter]).toBe(String(progress!.events));
  });

  /**
   * Guards against loading items before the lease is held: records of the earlier leader may still be applied until
   * then, and a run would resume after an older event than the recorded one.
   */
  test('a new leader loads items only after all earlier records are applied', async () => {
    const engines = await startEngines(1, 60, 5);
    const group = new FakeGroup();
    group.submit(1);
    let mayLead = false;
    startLeader(group, () => viewOf(engines), {mayLead: () => mayLead});
    await delay(100);
    const text = Buffer.from(['piece 1', 'piece 2', 'piece 3'].join('\n'));
    const part = {
      after: 0,
      events: 3,
      item: 0,
      job: 'job',
      lastEvent: '3',
      softwareVersion: 'v1',
      text,
    };
    await group.propose({kind: 'saveProgress', parts: [part]});
    mayLead = true;
    await waitUntil(() => group.results.length === 1);
    expect(engines[0]!.seen.map(({headers}) => headers[PLAIN.resumeAfter])).toEqual(['3']);
    expect(group.textOf(0)).toBe(expectedOutput(60));
  });

  test('rejects an event out of order and resumes after the last valid one', async () => {
    const engines = await startEngines(1, 5, 2);
    engines[0]!.behaviors = [{kind: 'skipEvent'}, {after: 2, kind: 'endWithin'}];
    const group = new FakeGroup();
    startLeader(group, () => viewOf(engines));
    group.submit(1);
    await waitUntil(() => group.results.length === 1);
    expect(group.textOf(0)).toBe(expectedOutput(5));
  });

  test('does not treat an answer without a length as complete when its connection was reset', async () => {
    const engines = await startEngines(1, 5, 2);
    engines[0]!.behaviors = [{after: 3, kind: 'resetUnframed'}];
    const group = new FakeGroup();
    startLeader(group, () => viewOf(engines));
    group.submit(1);
    await waitUntil(() => group.results.length === 1);
    expect(group.textOf(0)).toBe(expectedOutput(5));
  });

  test('gives an item up after the maximum number of failures, and at once when it is impossible', async () => {
    const engines = await startEngines(1, 5, 2);
    engines[0]!.behaviors = [
      {kind: 'fail', status: 500},
      {kind: 'fail', status: 500},
    ];
    const group = new FakeGroup();
    startLeader(group, () => viewOf(engines));
    group.submit(1);
    await waitUntil(() => group.results.length === 1);
    expect(group.results[0]).toMatchObject({outcome: 'givenUp', texts: []});
    expect(engines[0]!.seen).toHaveLength(2);

    const other = new FakeGroup();
    engines[0]!.behaviors = [{kind: 'fail', status: 422}];
    startLeader(other, () => viewOf(engines));
    other.submit(1);
    await waitUntil(() => other.results.length === 1);
    expect(other.results[0]!.outcome).toBe('givenUp');
    expect(engines[0]!.seen).toHaveLength(3);
  });

  // Guards against an item that fails at engines without end while its failures can't be recorded.
  test.each(['delayed', 'lost'])(
    'gives an item up after the maximum number of failures whose records are %s',
    async (how) => {
      const engines = await startEngines(1, 5, 2);
      engines[0]!.behaviors = Array.from({length: 20}, () => ({kind: 'fail', status: 500}));
      const group = new FakeGroup();
      const propose = async (change: JobsChange): Promise<unknown> => {
        if (change.kind === 'countFailure') {
          await delay(1_000);
          invariant(how === 'delayed', 'the outcome is unknown');
        }
        return group.propose(change);
      };
      startLeader(group, () => viewOf(engines), {propose});
      group.submit(1);
      await waitUntil(() => group.results.length === 1);
      expect(group.results[0]!.outcome).toBe('givenUp');
      expect(engines[0]!.seen).toHaveLength(ROUTE.maxAttempts);
    },
  );

  test('does not count a declined request as a run of the item', async () => {
    const engines = await startEngines(1, 5, 2);
    engines[0]!.behaviors = [{kind: 'decline'}, {kind: 'decline'}, {kind: 'decline'}];
    const group = new FakeGroup();
    startLeader(group, () => viewOf(engines));
    group.submit(1);
    await waitUntil(() => group.results.length === 1);
    expect(group.results[0]!.outcome).toBe('completed');
  });

  test('reports a stalled engine and continues on another one', async () => {
    const engines = await startEngines(2, 5, 2);
    engines.forEach((engine) => (engine.behaviors = [{kind: 'mute'}]));
    const group = new FakeGroup();
    const dispatcher = startLeader(group, () => viewOf(engines));
    group.submit(1);
    await waitUntil(() => dispatcher.stalledEngines().length === 1);
    await waitUntil(() => group.results.length === 1);
    expect(group.textOf(0)).toBe(expectedOutput(5));
  });

  test('records an end despite a brief lease lapse', async () => {
    const engines = await startEngines(1, 5, 2);
    const group = new FakeGroup();
    let mayLead = true;
    const propose = (change: JobsChange): Promise<unknown> => {
      if (change.kind !== 'endItems' || !mayLead) {
        return group.propose(change);
      }
      if (engines[0]!.seen.length === 1 && !lapsed) {
        lapsed = true;
        mayLead = false;
        setTimeout(() => (mayLead = true), 120);
        return Promise.reject(new Error('no lease'));
      }
      return group.propose(change);
    };
    let lapsed = false;
    startLeader(group, () => viewOf(engines), {mayLead: () => mayLead, propose});
    group.submit(1);
    await waitUntil(() => group.results.length === 1);
    expect(lapsed).toBe(true);
  });

  test('a brief lease lapse cancels no run', async () => {
    const engines = await startEngines(1, 80, 5);
    const group = new FakeGroup();
    let mayLead = true;
    const dispatcher = startLeader(group, () => viewOf(engines), {mayLead: () => mayLead});
    group.submit(1);
    await waitUntil(() => engines[0]!.seen.length > 0);
    await delay(50);
    mayLead = false;
    dispatcher.schedulePass();
    await delay(100);
    mayLead = true;
    dispatcher.schedulePass();
    await waitUntil(() => group.results.length === 1);
    expect(engines[0]!.seen).toHaveLength(1);
    expect(group.textOf(0)).toBe(expectedOutput(80));
  });

  test('a change of the term cancels runs and discards ends of the earlier term', async () => {
    const engines = await startEngines(1, 30, 5);
    const group = new FakeGroup();
    let term = 1;
    const recorded: number[] = [];
    let held = true;
    const propose = (change: JobsChange): Promise<unknown> => {
      if (change.kind !== 'endItems') {
        return group.propose(change);
      }
      if (held) {
        return Promise.reject(new Error('the outcome is unknown'));
      }
      recorded.push(term);
      return group.propose(change);
    };
    const dispatcher = startLeader(group, () => viewOf(engines), {propose, term: () => term});
    group.submit(2);
    // One item ends in the first term without its end being recorded; the other is running when the term changes.
    engines[0]!.behaviors = [{kind: 'fail', status: 422}];
    await waitUntil(() => engines[0]!.seen.length === 2);
    await delay(60);
    term = 3;
    held = false;
    dispatcher.schedulePass();
    await waitUntil(() => group.results.length === 2);
    expect(engines[0]!.seen).toHaveLength(4);
    expect(recorded.every((at) => at === 3)).toBe(true);
    expect(group.results.map(({outcome}) => outcome)).toEqual(['completed', 'completed']);
  });

  test('continues to save progress after a save with an unknown outcome', async () => {
    const engines = await startEngines(1, 100, 5);
    const group = new FakeGroup();
    let failed = 0;
    const propose = async (change: JobsChange): Promise<unknown> => {
      const answer = await group.propose(change);
      if (change.kind === 'saveProgress' && failed === 0) {
        failed++;
        throw new Error('the outcome is unknown');
      }
      return answer;
    };
    const dispatcher = startLeader(group, () => viewOf(engines), {propose});
    group.submit(1);
    const progress = (): number => group.state.jobs.get('job')!.items[0]!.progress?.events ?? 0;
    await waitUntil(() => engines[0]!.seen.length > 0);
    await delay(100);
    await dispatcher.saveProgress();
    const first = progress();
    await delay(100);
    await dispatcher.saveProgress();
    expect([failed, progress() > first]).toEqual([1, true]);
    dispatcher.stop();
    startLeader(group, () => viewOf(engines));
    await waitUntil(() => group.results.length === 1);
    expect(group.textOf(0)).toBe(expectedOutput(100));
  });

  test('logs the outcome of each item and every engine that it was sent to', async () => {
    const behaviors = ['serve', 'decline', 'fail', 'reset', 'breakOff', 'otherEngine', 'skipEvent'];
    const random = seededRandom(20_261);
    const draw = () => behaviors[Math.floor(random() * behaviors.length)];
    const engines = await startEngines(3, 6, 2);
    for (let turn = 0; turn < 6; turn++) {
      engines.forEach((engine) => {
        engine.seen.length = 0;
        engine.behaviors = [0, 1, 2].map(
          () => ({after: 2, kind: draw(), status: random() < 0.3 ? 422 : 500}) as never,
        );
      });
      const lines: {decision: string; fields: LogFields; id: string}[] = [];
      const group = new FakeGroup();
      const dispatcher = startLeader(group, () => viewOf(engines), {
        decide: (decision, id, fields) => lines.push({decision, fields, id}),
      });
      group.submit(4);
      await waitUntil(() => group.results.length === 4, 20_000);
      dispatcher.stop();
      for (const {item, outcome} of group.results) {
        const id = `i${item}`;
        const own = lines.filter((line) => line.id === id);
        const ends = own.filter(({decision}) => decision === 'itemEnded');
        expect(ends.map(({fields}) => fields.outcome)).toEqual([outcome]);
        const offered = own.flatMap(({decision, fields}) =>
          decision === 'itemPlaced' ? [String(fields.engine)] : [],
        );
        const saw = engines.flatMap(({seen}, at) =>
          seen.flatMap(({headers}) => (headers[PLAIN.request] === id ? [`e${at}`] : [])),
        );
        expect(offered.sort()).toEqual(saw.sort());
      }
    }
  }, 60_000);

  test('starts nothing with a stale fleet view', async () => {
    const engines = await startEngines(1, 5, 2);
    const old = viewOf(engines);
    const group = new FakeGroup();
    startLeader(group, () => ({...old, asOf: systemClock.monotonicMs() - 1_500}));
    group.submit(1);
    await delay(150);
    expect(engines[0]!.seen).toHaveLength(0);
  });

  // Guards against accepted items that are given up because another route is added for their path.
  test('items keep the route that accepted them when another one is added under its prefix', async () => {
    const engines = await startEngines(1, 60, 10);
    const group = new FakeGroup();
    const added: FleetRoute = {
      ...ROUTE,
      giveUpAfterMs: 0,
      kind: 'streaming',
      name: 'added',
      pathPrefix: '/p/3/',
      split: [{service: 'other', weight: 1}],
    };
    let view = viewOf(engines);
    startLeader(group, () => ({...view, asOf: systemClock.monotonicMs()}));
    group.submitItems([itemOf(0), itemOf(1)], {path: '/p/3/job'});
    await waitUntil(() => engines[0]!.seen.length > 0);
    view = {...view, config: {...view.config!, routes: [added, ROUTE], version: 2}};
    await waitUntil(() => group.results.length === 2, 8_000);
    expect(group.results.map(({outcome}) => outcome)).toEqual(['completed', 'completed']);
    expect(engines[0]!.seen.filter(({aborted}) => aborted)).toEqual([]);
  });

  // Guards against items that are given up, or run at another service, by a configuration from before their route was added.
  test('waits with an item whose route is newer than the known configuration', async () => {
    const engines = await startEngines(1, 5, 2);
    const group = new FakeGroup();
    const older: FleetRoute = {...ROUTE, name: 'older', pathPrefix: '/'};
    let routes = [older];
    let asOf = systemClock.monotonicMs();
    startLeader(group, () => ({...viewOf(engines, routes), asOf}));
    await delay(100);
    group.submit(2);
    // Longer than the pause between two checks whether items are to be given up.
    await delay(700);
    expect([group.results, engines[0]!.seen]).toEqual([[], []]);
    routes = [older, ROUTE];
    asOf = Infinity;
    await waitUntil(() => group.results.length === 2);
    expect(group.results.map(({outcome}) => outcome)).toEqual(['completed', 'completed']);
  });

  test('cancels the runs of a cancelled job, and gives up items whose route was removed', async () => {
    const engines = await startEngines(1, 500, 10);
    const group = new FakeGroup();
    startLeader(group, () => viewOf(engines));
    group.submit(1);
    await waitUntil(() => engines[0]!.seen.length > 0);
    await group.propose({job: 'job', kind: 'endJob'});
    await waitUntil(() => engines[0]!.seen.every(({aborted}) => aborted));
    await delay(100);
    expect(engines[0]!.seen).toHaveLength(1);

    const other = new FakeGroup();
    startLeader(other, () => viewOf(engines, []));
    other.submit(2);
    await waitUntil(() => other.results.length === 2);
    expect(other.results.map(({outcome}) => outcome)).toEqual(['givenUp', 'givenUp']);
  });

  // Guards against a run of an item whose end is decided, as the decision came while its body was read.
  test('does not run an item that was given up while it was starting', async () => {
    const engines = await startEngines(1, 5, 2);
    const group = new FakeGroup();
    let isRouted = true;
    const view = (): FleetView => {
      const {config, ...rest} = viewOf(engines, isRouted ? [ROUTE] : []);
      return {...rest, config: {...config!, version: isRouted ? 1 : 2}};
    };
    const decided: string[] = [];
    startLeader(group, view, {
      decide: (decision) => decided.push(decision),
      propose: async (change) => {
        if (change.kind === 'endItems') {
          await delay(1_000);
        }
        return group.propose(change);
      },
      readMs: 800,
    });
    group.submit(1);
    await delay(100);
    isRouted = false;
    await waitUntil(() => group.results.length === 1);
    expect(group.results[0]!.outcome).toBe('givenUp');
    expect(decided).not.toContain('itemPlaced');
    expect(engines[0]!.seen).toEqual([]);
  });
});
