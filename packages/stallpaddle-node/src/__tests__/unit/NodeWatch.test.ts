/** Guards against a late or outdated fleet status when followers forward it, some of them slow or unreachable. */
import type {Clock, VmId} from 'stallpaddle';
import type {TryOutcome, TryRequest} from 'stallpaddle-rpc';

import {decodeValue, delay, systemClock} from 'stallpaddle';
import {
  applyWatchAnswer,
  EMPTY_VIEW,
  type EngineView,
  type FleetConfig,
  type FleetHeartbeat,
  type FleetRequest,
  type FleetStatus,
  type FleetView,
  type ReplicaReading,
  UNPROVEN_TERM,
  type WatchAnswer,
} from 'stallpaddle-fleet';
import {NotLeaderError} from 'stallpaddle-replication';
import {tryLocal} from 'stallpaddle-rpc';
import {afterEach, describe, expect, test} from 'vitest';

import {
  FOLLOWER_WATCH_HOLD_MS,
  FORWARD_MAX_AGE_MS,
  PENDING_CONFIG_GRACE_MS,
  REPLICA_READ_INTERVAL_MS,
  WATCH_MARGIN_MS,
} from '../../NodeConstants';
import {NodeFollowerHandler} from '../../NodeFollowerHandler';
import {NodeForwardedHeartbeats} from '../../NodeForwardedHeartbeats';
import {NodeReplicaSelector, orderReplicaHosts} from '../../NodeReplicaSelector';
import {NodeStatusPublisher} from '../../NodeStatusPublisher';
import {NodeWatch} from '../../NodeWatch';

/** Time after which a process counts as undisturbed, and time in which it must obey a configuration, in milliseconds. */
const CONTACT_MS = 3_000;
const APPLY_MS = 2_000;

const undo: (() => void)[] = [];

afterEach(() => undo.splice(0).forEach((step) => step()));

type Watch = Extract<FleetRequest, {kind: 'watch'}>;

/** A simulated network with a latency for each VM; some VMs are unreachable. */
class Network {
  readonly asked: {readonly host: VmId; readonly request: Watch}[] = [];
  private readonly answers = new Map<VmId, (request: Watch) => Promise<unknown>>();
  /** What the replicas know, with or without a leader. */
  readonly readings = new Map<VmId, ReplicaReading>();
  readonly unreachable = new Set<VmId>();
  /** One-way latency, in milliseconds. */
  readonly latencyMs = new Map<VmId, number>();

  serve(host: VmId, answer: (request: Watch) => Promise<unknown>): void {
    this.answers.set(host, answer);
  }

  async tryAt(host: VmId, call: TryRequest, tryMs: number): Promise<TryOutcome> {
    const request = decodeValue<FleetRequest>(call.encoded);
    if (request.kind === 'readReplica' && this.readings.has(host)) {
      return {kind: 'answered', result: this.readings.get(host)};
    }
    if (request.kind !== 'watch') {
      return {kind: 'unknown'};
    }
    this.asked.push({host, request});
    const answer = this.answers.get(host);
    if (this.unreachable.has(host) || answer === undefined) {
      await delay(tryMs);
      return {kind: 'unknown'};
    }
    const latencyMs = this.latencyMs.get(host) ?? 1;
    await delay(latencyMs);
    const outcome = await tryLocal(() => answer(request));
    await delay(latencyMs);
    return outcome;
  }
}

interface ProcessOptions {
  readonly hellos?: readonly FleetHeartbeat[];
  /** Replicas to watch, by preference; none for a process that watches the leader. */
  readonly replicaHosts?: readonly VmId[];
  readonly relayed?: NodeForwardedHeartbeats;
}

function processOf(
  network: Network,
  {hellos = [], relayed, replicaHosts = []}: ProcessOptions = {},
) {
  const hooks: {onSilence: () => void; onView: (view: FleetView, before: FleetView) => void} = {
    onSilence: () => {},
    onView: () => {},
  };
  const notes: string[] = [];
  const watch = new NodeWatch({
    caller: {
      hosts: () => [...network.readings.keys()],
      tryAt: (host, call, tryMs) => network.tryAt(host, call, tryMs),
      tryOnce: (call, tryMs) => network.tryAt('leader', call, tryMs),
    },
    clock: systemClock,
    heartbeats: () => hellos,
    note: (message) => notes.push(message),
    onSilence: () => hooks.onSilence(),
    onView: (view, before) => hooks.onView(view, before),
    relayed: {
      confirm: (term) => relayed?.confirm(term),
      take: () => relayed?.take(systemClock.monotonicMs()) ?? [],
    },
    replicaHosts: () => replicaHosts,
  });
  undo.push(() => watch.stop());
  return {hooks, notes, watch};
}

/** A leader, and followers that forward its fleet status. */
function fleetOf(replicas: readonly VmId[]) {
  const network = new Network();
  const received: {readonly ageMs: number; readonly hello: FleetHeartbeat}[] = [];
  const board = new NodeStatusPublisher(systemClock, () => ({ageMs: 0, config: null}));
  let fleet = 0;
  const publish = (changes: Partial<FleetStatus>): void => {
    fleet++;
    board.publish({fleet, news: {...EMPTY_VIEW.news, ...changes}, term: 1});
  };
  network.serve('leader', (request) => {
    received.push(...request.hellos.map((hello) => ({ageMs: 0, hello})), ...request.relayed);
    return board.answer(request.known, request.waitMs);
  });
  publish({controls: ['first']});
  for (const host of replicas) {
    const relayed = new NodeForwardedHeartbeats();
    const {hooks, watch} = processOf(network, {relayed});
    const desk = new NodeFollowerHandler(systemClock, watch, relayed);
    hooks.onView = (view, before) => desk.onView(view, before);
    hooks.onSilence = () => desk.onUnanswered();
    network.serve(host, (request) => desk.answer(request));
    void watch.run();
  }
  return {network, publish, received};
}

async function until(isTrue: () => boolean, mostMs = 4_000): Promise<void> {
  for (let waited = 0; !isTrue(); waited += 5) {
    expect(waited).toBeLessThan(mostMs);
    await delay(5);
  }
}

function entry(name: string): FleetHeartbeat {
  return {callerAddress: `${name}:1`, kind: 'entry', name, ready: true, zone: 'z'};
}

describe('NodeWatch', () => {
  test('a change reaches a process through a follower at once, and the fleet status stays recent', async () => {
    const {network, publish} = fleetOf(['r1']);
    await delay(50);
    const {watch} = processOf(network, {replicaHosts: ['r1']});
    void watch.run();
    await until(() => watch.view.news.controls.includes('first'));
    let oldest = 0;
    const check = setInterval(() => (oldest = Math.max(oldest, watch.ageMs)), 5);
    undo.push(() => clearInterval(check));
    await delay(2_500);
    publish({controls: ['second']});
    await until(() => watch.view.news.controls.includes('second'), 200);
    expect(oldest).toBeLessThan(FOLLOWER_WATCH_HOLD_MS + FORWARD_MAX_AGE_MS);
    const toLeader = network.asked.filter(
      ({host, request}) => host === 'leader' && request.mayRelay,
    );
    expect(toLeader).toEqual([]);
  });

  test('the age of a forwarded fleet status includes its age at the follower', async () => {
    const {network} = fleetOf(['r1']);
    network.latencyMs.set('leader', 40);
    await delay(200);
    const {watch} = processOf(network, {replicaHosts: ['r1']});
    void watch.run();
    await until(() => watch.ageMs < Infinity);
    network.unreachable.add('leader');
    const lostAt = performance.now();
    // Answers in flight when the leader became unreachable still arrive.
    await delay(700);
    expect(watch.ageMs).toBeGreaterThan(performance.now() - lostAt - 80);
  });

  test('an unreachable follower costs one try, then its processes ask another one', async () => {
    const {network, publish} = fleetOf(['r1', 'r2']);
    await delay(50);
    const {notes, watch} = processOf(network, {replicaHosts: ['r1', 'r2']});
    void watch.run();
    await until(() => watch.view.news.controls.includes('first'));
    network.unreachable.add('r1');
    const before = performance.now();
    publish({controls: ['second']});
    await until(() => watch.view.news.controls.includes('second'));
    const bound = FOLLOWER_WATCH_HOLD_MS + WATCH_MARGIN_MS + 200;
    expect(performance.now() - before).toBeLessThan(bound);
    await until(() => notes.includes('A VM no longer supplies the fleet status.'));
  });

  // Guards against a process that tries two dark replicas by turns and obeys an old configuration meanwhile.
  test.each([
    [1, 3],
    [2, 5],
  ])(
    'with %i of %i replicas dark, a change reaches a process within the time in which it must be in force',
    async (dark, replicas) => {
      const hosts = Array.from({length: replicas}, (_, at) => `r${at}`);
      const {network, publish} = fleetOf(hosts);
      await delay(50);
      const {watch} = processOf(network, {replicaHosts: hosts});
      void watch.run();
      await until(() => watch.view.news.controls.includes('first'));
      hosts.slice(0, dark).forEach((host) => network.unreachable.add(host));
      await delay(CONTACT_MS);
      let slowestMs = 0;
      for (let change = 0; change < 12; change++) {
        const name = `change-${change}`;
        const before = performance.now();
        publish({controls: [name]});
        await until(() => watch.view.news.controls.includes(name), 10_000);
        slowestMs = Math.max(slowestMs, performance.now() - before);
        await delay(230);
      }
      expect(slowestMs).toBeLessThan(APPLY_MS);
    },
    30_000,
  );

  test('a follower without a recent fleet status sends its processes to the leader', async () => {
    const {network, publish} = fleetOf(['r1']);
    // This follower is reachable, but its own requests are lost.
    const lost = new Network();
    const {watch: cutOff} = processOf(lost);
    const desk = new NodeFollowerHandler(systemClock, cutOff, new NodeForwardedHeartbeats());
    network.serve('cut', (request) => desk.answer(request));
    await delay(50);
    const {watch} = processOf(network, {replicaHosts: ['cut']});
    void watch.run();
    await until(() => watch.view.news.controls.includes('first'), 500);
    publish({controls: ['second']});
    await until(() => watch.view.news.controls.includes('second'), 800);
  });

  test('followers forward heartbeats with their age to the leader', async () => {
    const {network, received} = fleetOf(['r1']);
    await delay(50);
    const {watch} = processOf(network, {hellos: [entry('vm-1')], replicaHosts: ['r1']});
    void watch.run();
    await until(() => received.length > 0);
    expect(received[0]!.hello).toEqual(entry('vm-1'));
    expect(received[0]!.ageMs).toBeGreaterThanOrEqual(0);
    expect(received[0]!.ageMs).toBeLessThan(FORWARD_MAX_AGE_MS);
  });

  test('concurrent refreshes share requests to the leader', async () => {
    const {network} = fleetOf(['r1']);
    await delay(50);
    const {watch} = processOf(network, {replicaHosts: ['r1']});
    void watch.run();
    await until(() => watch.ageMs < Infinity);
    await delay(FORWARD_MAX_AGE_MS + 100);
    const before = network.asked.filter(({host}) => host === 'leader').length;
    const fresh = await Promise.all(Array.from({length: 20}, () => watch.refresh(50)));
    expect(fresh).toEqual(Array(20).fill(true));
    const asked = network.asked.filter(({host}) => host === 'leader').length - before;
    expect(asked).toBeLessThanOrEqual(3);
  });
});

function configOf(version: number): FleetConfig {
  const limits = {headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1};
  return {limits, routes: [], services: [], version};
}

function readingOf(
  replica: string,
  config: FleetConfig | null,
  pendingConfig: null | number = null,
): ReplicaReading {
  return {config, leaving: [], pendingConfig, replica, software: [], voters: []};
}

function engineOf(id: string): EngineView {
  return {
    address: `${id}:1`,
    draining: false,
    id,
    sequence: 0,
    service: 's',
    silent: false,
    slots: 1,
    softwareVersion: 'v1',
    startedAtMs: 0,
    zone: 'z',
  };
}

/** Answer of a replica that no leader has confirmed. */
function unprovenAnswer(version: number): WatchAnswer {
  const update = {kind: 'whole', news: EMPTY_VIEW.news} as const;
  const config = configOf(version);
  return {ageMs: 0, config, fleet: 0, heldMs: 0, proven: false, term: UNPROVEN_TERM, update};
}

/** A process that has started with the configuration of one replica, while there is no leader. */
function startWith(network: Network, version: number) {
  const started = processOf(network);
  started.watch.offer(unprovenAnswer(version));
  void started.watch.run();
  return started;
}

describe('without a leader', () => {
  test('a process that starts keeps the newest of the configurations that others offer', () => {
    const {watch} = processOf(new Network());
    [7, 9, 8].forEach((version) => watch.offer(unprovenAnswer(version)));
    expect(watch.view.config?.version).toBe(9);
  });

  // Guards against a process that starts with the configuration of a replica that lags, and obeys it until there is a leader.
  test('a process takes the newest configuration that a replica has applied', async () => {
    const network = new Network();
    network.readings.set('r1', readingOf('r1', configOf(7)));
    network.readings.set('r2', readingOf('r2', configOf(9)));
    network.readings.set('r3', readingOf('r3', configOf(8)));
    const {watch} = startWith(network, 7);
    await until(() => watch.view.config?.version === 9, APPLY_MS);
    expect(watch.lacksConfig).toBe(false);
  });

  // Guards against requests to a leaving engine by the status of a replica that does not know of its leave yet.
  test('a process takes an engine that a replica knows to leave for a draining one, until a leader has answered', async () => {
    const network = new Network();
    network.readings.set('r1', {...readingOf('r1', null), leaving: ['e1']});
    const {watch} = processOf(network);
    const engines = ['e1', 'e2'].map(engineOf);
    const news = {...EMPTY_VIEW.news, engines};
    watch.offer({...unprovenAnswer(7), update: {kind: 'whole', news}});
    void watch.run();
    const draining = (): readonly string[] =>
      watch.view.news.engines.filter((engine) => engine.draining).map(({id}) => id);
    await until(() => draining().length > 0, APPLY_MS);
    expect(draining()).toEqual(['e1']);
    const answer = {ageMs: 0, config: null, fleet: 1, heldMs: 0, proven: true, term: 1};
    network.serve('leader', () => Promise.resolve({...answer, update: {kind: 'whole', news}}));
    await until(() => watch.ageMs < Infinity);
    await delay(REPLICA_READ_INTERVAL_MS);
    expect(draining()).toEqual([]);
  });

  // Guards against a quarantined request that crashes another engine after all VMs were lost.
  test('a process knows the suspects of the most recent log that a replica tells, until a leader has answered', async () => {
    const network = new Network();
    const suspectsOf = (index: number, levels: Readonly<Record<string, number>>) => ({
      end: {index, term: 3},
      parts: [],
      requests: Object.entries(levels).map(([digest, level]) => ({digest, holdMs: 1, level})),
    });
    network.readings.set('r1', {
      ...readingOf('r1', null),
      suspects: suspectsOf(9, {fatal: 2, first: 1}),
    });
    network.readings.set('r2', {
      ...readingOf('r2', null),
      suspects: suspectsOf(8, {fatal: 1, released: 2}),
    });
    const {watch} = processOf(network);
    watch.offer(unprovenAnswer(7));
    void watch.run();
    const levels = (): Readonly<Record<string, number>> =>
      Object.fromEntries(watch.view.news.suspects.map(({digest, level}) => [digest, level]));
    await until(() => levels()['fatal'] === 2, APPLY_MS);
    await delay(2 * REPLICA_READ_INTERVAL_MS);
    expect(levels()).toEqual({fatal: 2, first: 1});
    const answer = {ageMs: 0, config: null, fleet: 1, heldMs: 0, proven: true, term: 4};
    const update = {kind: 'whole', news: EMPTY_VIEW.news} as const;
    network.serve('leader', () => Promise.resolve({...answer, update}));
    await until(() => watch.ageMs < Infinity);
    await delay(REPLICA_READ_INTERVAL_MS);
    expect(levels()).toEqual({});
  });

  // Guards against an older configuration where the replicas were killed before they had applied the confirmed one.
  test('a process does not obey an older configuration than one that may have been confirmed', async () => {
    const network = new Network();
    network.readings.set('r1', readingOf('r1', configOf(8)));
    network.readings.set('r2', readingOf('r2', configOf(8), 9));
    const {watch} = startWith(network, 8);
    await delay(PENDING_CONFIG_GRACE_MS / 2);
    expect(watch.lacksConfig).toBe(false);
    await until(() => watch.lacksConfig, APPLY_MS);
    const answer = {ageMs: 0, fleet: 1, heldMs: 0, proven: true, term: 1};
    const update = {kind: 'whole', news: EMPTY_VIEW.news} as const;
    network.serve('leader', ({known}) =>
      Promise.resolve({...answer, config: known.config === 9 ? null : configOf(9), update}),
    );
    await until(() => watch.view.config?.version === 9);
    expect(watch.lacksConfig).toBe(false);
    expect(watch.view.pendingConfig).toBeNull();
  });

  // Guards against a refusal of all requests because of a configuration that was never confirmed.
  test('a process obeys its configuration once a leader does not know a newer one', async () => {
    const network = new Network();
    network.readings.set('r1', readingOf('r1', null, 9));
    const {watch} = startWith(network, 8);
    await until(() => watch.lacksConfig, APPLY_MS + 1_000);
    const answer = {ageMs: 0, config: null, fleet: 1, heldMs: 0, proven: true, term: 1};
    const update = {kind: 'whole', news: EMPTY_VIEW.news} as const;
    network.serve('leader', () => Promise.resolve({...answer, update}));
    await until(() => !watch.lacksConfig);
    expect(watch.view.config?.version).toBe(8);
  });
});

describe('confirm', () => {
  test.each([
    [0, true],
    [2, true],
    [100, false],
  ])('after %i failed requests: %s', async (failures, isConfirmed) => {
    const network = new Network();
    const answer = {ageMs: 0, config: null, fleet: 1, heldMs: 0, proven: true, term: 1};
    const update = {kind: 'whole', news: EMPTY_VIEW.news} as const;
    let left = failures;
    // A VM that doesn't know the leader may first ask a replica that only names it.
    network.serve('leader', () => {
      if (left-- > 0) {
        throw new NotLeaderError(null);
      }
      return Promise.resolve({...answer, update});
    });
    const {watch} = processOf(network);
    const startedAt = performance.now();
    const calls = await Promise.all([watch.confirm(), watch.confirm(), watch.confirm()]);
    expect(calls).toEqual([isConfirmed, isConfirmed, isConfirmed]);
    expect(performance.now() - startedAt).toBeLessThan(1_000);
    expect(network.asked.length).toBeLessThanOrEqual(60);
  });
});

describe('NodeStatusPublisher', () => {
  test('holds a request for its whole time, and reports how long', async () => {
    const board = new NodeStatusPublisher(systemClock, () => ({ageMs: 5, config: null}));
    board.publish({fleet: 1, news: EMPTY_VIEW.news, term: 1});
    const view = applyWatchAnswer(
      EMPTY_VIEW,
      await board.answer({config: null, fleet: 0, term: -1}, 0),
      0,
    );
    const startedAt = performance.now();
    const {config, fleet, term} = {config: null, fleet: view.fleet, term: view.term};
    const answer = await board.answer({config, fleet, term}, 100);
    expect(performance.now() - startedAt).toBeGreaterThan(95);
    expect(answer).toMatchObject({ageMs: 5, update: {kind: 'same'}});
    expect(answer.heldMs).toBeGreaterThan(95);
  });

  test('holds a request of a process with a newer fleet status', async () => {
    const board = new NodeStatusPublisher(systemClock, () => ({ageMs: 0, config: null}));
    board.publish({fleet: 1, news: EMPTY_VIEW.news, term: 1});
    const startedAt = performance.now();
    await board.answer({config: null, fleet: 5, term: 1}, 60);
    await board.answer({config: null, fleet: 0, term: 2}, 60);
    expect(performance.now() - startedAt).toBeGreaterThan(110);
  });

  test('rejects held requests once the fleet status may not be sent any more', async () => {
    let maySend = true;
    const board = new NodeStatusPublisher(systemClock, () => {
      if (!maySend) {
        throw new NotLeaderError(null);
      }
      return {ageMs: 0, config: null};
    });
    board.publish({fleet: 1, news: EMPTY_VIEW.news, term: 1});
    const held = board.answer({config: null, fleet: 1, term: 1}, 2_000);
    maySend = false;
    board.wakeAll();
    await expect(held).rejects.toBeInstanceOf(NotLeaderError);
  });
});

describe('NodeReplicaSelector', () => {
  const hosts = ['10.1.0.1', '10.2.0.1', '10.3.0.1', '10.4.0.1', '10.5.0.1'];
  const zoneOf = (host: VmId): string => `zone-${host.split('.')[1]}`;
  const firstOf = (at: number, zone: string, among: readonly VmId[] = hosts): VmId =>
    orderReplicaHosts({hosts: among, name: `vm-${at}`, zone, zoneOf})[0]!;

  test('prefers a replica in its own availability zone, and else spreads processes evenly', () => {
    expect(firstOf(7, 'zone-3')).toBe('10.3.0.1');
    const counts = new Map<VmId, number>();
    for (let at = 0; at < 500; at++) {
      const first = firstOf(at, 'elsewhere');
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    expect(counts.size).toBe(5);
    for (const count of counts.values()) {
      expect(count).toBeGreaterThan(60);
      expect(count).toBeLessThan(140);
    }
  });

  test('when a replica is removed, only its own processes move to another', () => {
    const fewer = hosts.slice(1);
    for (let at = 0; at < 200; at++) {
      const before = firstOf(at, 'elsewhere');
      expect(before === hosts[0] || firstOf(at, 'elsewhere', fewer) === before).toBe(true);
    }
  });

  test('skips a replica for a while after a failure', () => {
    const clock: Pick<Clock, 'monotonicMs'> = {monotonicMs: () => 0};
    const selector = new NodeReplicaSelector();
    expect(selector.choose(['a', 'b'], clock.monotonicMs())).toBe('a');
    selector.noteFailure('a', 'silent', 0);
    selector.noteFailure('b', 'refused', 0);
    expect(selector.choose(['a', 'b'], 100)).toBe(undefined);
    expect(selector.choose(['a', 'b'], 300)).toBe('b');
    expect(selector.choose(['a', 'b'], 1_100)).toBe('a');
  });
});

describe('NodeForwardedHeartbeats', () => {
  test('forwards all recent heartbeats to each leader, each heartbeat once', () => {
    const relayed = new NodeForwardedHeartbeats();
    const names = (now: number) =>
      relayed.take(now).map(({ageMs, hello}) => [hello.kind === 'entry' && hello.name, ageMs]);
    relayed.record([entry('a')], 0);
    relayed.record([entry('b')], 100);
    expect(names(200)).toEqual([
      ['a', 200],
      ['b', 100],
    ]);
    // The request was lost, so its heartbeats are forwarded again.
    expect(names(300)).toEqual([
      ['a', 300],
      ['b', 200],
    ]);
    relayed.confirm(1);
    expect(names(400)).toEqual([]);
    relayed.record([entry('b')], 450);
    expect(names(500)).toEqual([['b', 50]]);
    relayed.confirm(1);
    relayed.take(600);
    relayed.confirm(2);
    // A new leader has received no heartbeats yet.
    expect(names(700)).toEqual([
      ['a', 700],
      ['b', 250],
    ]);
    expect(names(2_100)).toEqual([['b', 1_650]]);
  });
});
