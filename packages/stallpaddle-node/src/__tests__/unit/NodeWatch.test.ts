/**
 * News over replicas that don't lead: who asks whom, how old what they tell may be, and what a dark or slow one costs.
 */
import type {Clock, VmId} from 'stallpaddle';
import type {TryOutcome, TryRequest} from 'stallpaddle-rpc';

import {decodeValue, delay, systemClock} from 'stallpaddle';
import {
  applyWatchAnswer,
  EMPTY_VIEW,
  type FleetHeartbeat,
  type FleetRequest,
  type FleetStatus,
  type FleetView,
} from 'stallpaddle-fleet';
import {NotLeaderError} from 'stallpaddle-replication';
import {tryLocal} from 'stallpaddle-rpc';
import {afterEach, describe, expect, test} from 'vitest';

import {RELAY_AGE_MS, RELAYED_HOLD_MS, WATCH_MARGIN_MS} from '../../NodeConstants';
import {NodeFollowerHandler} from '../../NodeFollowerHandler';
import {NodeForwardedHeartbeats} from '../../NodeForwardedHeartbeats';
import {NodeHops, orderHops} from '../../NodeHops';
import {NodeStatusPublisher} from '../../NodeStatusPublisher';
import {NodeWatch} from '../../NodeWatch';

const undo: (() => void)[] = [];

afterEach(() => undo.splice(0).forEach((step) => step()));

type Watch = Extract<FleetRequest, {kind: 'watch'}>;

/** Processes on made-up VMs; a call to a VM takes some time, or brings nothing. */
class Network {
  readonly asked: {readonly host: VmId; readonly request: Watch}[] = [];
  private readonly answers = new Map<VmId, (request: Watch) => Promise<unknown>>();
  readonly dark = new Set<VmId>();
  /** Time of a way, in milliseconds. */
  readonly wayMs = new Map<VmId, number>();

  serve(host: VmId, answer: (request: Watch) => Promise<unknown>): void {
    this.answers.set(host, answer);
  }

  async tryAt(host: VmId, call: TryRequest, tryMs: number): Promise<TryOutcome> {
    const request = decodeValue<FleetRequest>(call.encoded);
    if (request.kind !== 'watch') {
      return {kind: 'unknown'};
    }
    this.asked.push({host, request});
    const answer = this.answers.get(host);
    if (this.dark.has(host) || answer === undefined) {
      await delay(tryMs);
      return {kind: 'unknown'};
    }
    const wayMs = this.wayMs.get(host) ?? 1;
    await delay(wayMs);
    const outcome = await tryLocal(() => answer(request));
    await delay(wayMs);
    return outcome;
  }
}

interface ProcessOptions {
  readonly hellos?: readonly FleetHeartbeat[];
  /** Replicas that it may ask, in order; none for one that asks the leader. */
  readonly hops?: readonly VmId[];
  readonly relayed?: NodeForwardedHeartbeats;
}

function processOf(network: Network, {hellos = [], hops = [], relayed}: ProcessOptions = {}) {
  const hooks: {onSilence: () => void; onView: (view: FleetView, before: FleetView) => void} = {
    onSilence: () => {},
    onView: () => {},
  };
  const notes: string[] = [];
  const watch = new NodeWatch({
    caller: {
      hosts: () => [],
      tryAt: (host, call, tryMs) => network.tryAt(host, call, tryMs),
      tryOnce: (call, tryMs) => network.tryAt('leader', call, tryMs),
    },
    clock: systemClock,
    hellos: () => hellos,
    hops: () => hops,
    note: (message) => notes.push(message),
    onSilence: () => hooks.onSilence(),
    onView: (view, before) => hooks.onView(view, before),
    relayed: {
      confirm: (term) => relayed?.confirm(term),
      take: () => relayed?.take(systemClock.monotonicMs()) ?? [],
    },
  });
  undo.push(() => watch.stop());
  return {hooks, notes, watch};
}

/** A leader, and replicas that pass on what it tells. */
function fleetOf(replicas: readonly VmId[]) {
  const network = new Network();
  const heard: {readonly ageMs: number; readonly hello: FleetHeartbeat}[] = [];
  const board = new NodeStatusPublisher(systemClock, () => ({ageMs: 0, config: null}));
  let fleet = 0;
  const tell = (changes: Partial<FleetStatus>): void => {
    fleet++;
    board.publish({fleet, news: {...EMPTY_VIEW.news, ...changes}, term: 1});
  };
  network.serve('leader', (request) => {
    heard.push(...request.hellos.map((hello) => ({ageMs: 0, hello})), ...request.relayed);
    return board.answer(request.known, request.waitMs);
  });
  tell({controls: ['first']});
  for (const host of replicas) {
    const relayed = new NodeForwardedHeartbeats();
    const {hooks, watch} = processOf(network, {relayed});
    const desk = new NodeFollowerHandler(systemClock, watch, relayed);
    hooks.onView = (view, before) => desk.onView(view, before);
    hooks.onSilence = () => desk.onUnanswered();
    network.serve(host, (request) => desk.answer(request));
    void watch.run();
  }
  return {heard, network, tell};
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
  test('a change reaches a process over a replica at once, and what it knows stays young', async () => {
    const {network, tell} = fleetOf(['r1']);
    await delay(50);
    const {watch} = processOf(network, {hops: ['r1']});
    void watch.run();
    await until(() => watch.view.news.controls.includes('first'));
    let oldest = 0;
    const look = setInterval(() => (oldest = Math.max(oldest, watch.ageMs)), 5);
    undo.push(() => clearInterval(look));
    await delay(2_500);
    tell({controls: ['second']});
    await until(() => watch.view.news.controls.includes('second'), 200);
    expect(oldest).toBeLessThan(RELAYED_HOLD_MS + RELAY_AGE_MS);
    const toLeader = network.asked.filter(
      ({host, request}) => host === 'leader' && request.mayRelay,
    );
    expect(toLeader).toEqual([]);
  });

  test('never believes itself younger than what the leader told its replica', async () => {
    const {network} = fleetOf(['r1']);
    network.wayMs.set('leader', 40);
    await delay(200);
    const {watch} = processOf(network, {hops: ['r1']});
    void watch.run();
    await until(() => watch.ageMs < Infinity);
    network.dark.add('leader');
    const darkAt = performance.now();
    // What was under way when the leader went dark may still be told; nothing after that.
    await delay(700);
    expect(watch.ageMs).toBeGreaterThan(performance.now() - darkAt - 80);
  });

  test('a dark replica costs one try; its processes ask another', async () => {
    const {network, tell} = fleetOf(['r1', 'r2']);
    await delay(50);
    const {notes, watch} = processOf(network, {hops: ['r1', 'r2']});
    void watch.run();
    await until(() => watch.view.news.controls.includes('first'));
    network.dark.add('r1');
    const before = performance.now();
    tell({controls: ['second']});
    await until(() => watch.view.news.controls.includes('second'));
    const bound = RELAYED_HOLD_MS + WATCH_MARGIN_MS + 200;
    expect(performance.now() - before).toBeLessThan(bound);
    await until(() => notes.includes('A VM gives no news.'));
  });

  test('a replica that is told nothing sends its processes to the leader', async () => {
    const {network, tell} = fleetOf(['r1']);
    // This one answers, but its own questions never arrive.
    const lost = new Network();
    const {watch: cutOff} = processOf(lost);
    const desk = new NodeFollowerHandler(systemClock, cutOff, new NodeForwardedHeartbeats());
    network.serve('cut', (request) => desk.answer(request));
    await delay(50);
    const {watch} = processOf(network, {hops: ['cut']});
    void watch.run();
    await until(() => watch.view.news.controls.includes('first'), 500);
    tell({controls: ['second']});
    await until(() => watch.view.news.controls.includes('second'), 800);
  });

  test('the leader hears who asked a replica, when they did, and all of them again after a change of leaders', async () => {
    const {heard, network} = fleetOf(['r1']);
    await delay(50);
    const {watch} = processOf(network, {hellos: [entry('vm-1')], hops: ['r1']});
    void watch.run();
    await until(() => heard.length > 0);
    expect(heard[0]!.hello).toEqual(entry('vm-1'));
    expect(heard[0]!.ageMs).toBeGreaterThanOrEqual(0);
    expect(heard[0]!.ageMs).toBeLessThan(RELAY_AGE_MS);
  });

  test('only a path without a route makes a process ask the leader, and many of them once', async () => {
    const {network} = fleetOf(['r1']);
    await delay(50);
    const {watch} = processOf(network, {hops: ['r1']});
    void watch.run();
    await until(() => watch.ageMs < Infinity);
    await delay(RELAY_AGE_MS + 100);
    const before = network.asked.filter(({host}) => host === 'leader').length;
    const fresh = await Promise.all(Array.from({length: 20}, () => watch.freshen(50)));
    expect(fresh).toEqual(Array(20).fill(true));
    const asked = network.asked.filter(({host}) => host === 'leader').length - before;
    expect(asked).toBeLessThanOrEqual(3);
  });
});

describe('confirm', () => {
  test.each([
    [0, true],
    [2, true],
    [100, false],
  ])('with %i questions that bring nothing: %s', async (failures, isConfirmed) => {
    const network = new Network();
    const answer = {ageMs: 0, config: null, fleet: 1, heldMs: 0, proven: true, term: 1};
    const update = {kind: 'whole', news: EMPTY_VIEW.news} as const;
    let left = failures;
    // A VM that knows no leader is told where it is by whoever it asks first.
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

describe('NodeNewsBoard', () => {
  test('holds a question for its time, and tells for how long', async () => {
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

  test('holds a question of a process that knows more than this replica', async () => {
    const board = new NodeStatusPublisher(systemClock, () => ({ageMs: 0, config: null}));
    board.publish({fleet: 1, news: EMPTY_VIEW.news, term: 1});
    const startedAt = performance.now();
    await board.answer({config: null, fleet: 5, term: 1}, 60);
    await board.answer({config: null, fleet: 0, term: 2}, 60);
    expect(performance.now() - startedAt).toBeGreaterThan(110);
  });

  test('tells nothing once it may not', async () => {
    let mayTell = true;
    const board = new NodeStatusPublisher(systemClock, () => {
      if (!mayTell) {
        throw new NotLeaderError(null);
      }
      return {ageMs: 0, config: null};
    });
    board.publish({fleet: 1, news: EMPTY_VIEW.news, term: 1});
    const held = board.answer({config: null, fleet: 1, term: 1}, 2_000);
    mayTell = false;
    board.wakeAll();
    await expect(held).rejects.toBeInstanceOf(NotLeaderError);
  });
});

describe('NodeHops', () => {
  const hosts = ['10.1.0.1', '10.2.0.1', '10.3.0.1', '10.4.0.1', '10.5.0.1'];
  const zoneOf = (host: VmId): string => `zone-${host.split('.')[1]}`;
  const firstOf = (at: number, zone: string, among: readonly VmId[] = hosts): VmId =>
    orderHops({hosts: among, name: `vm-${at}`, zone, zoneOf})[0]!;

  test('the replica of the own zone comes first; without one all replicas have their share', () => {
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

  test('when a replica goes, only its processes go elsewhere', () => {
    const fewer = hosts.slice(1);
    for (let at = 0; at < 200; at++) {
      const before = firstOf(at, 'elsewhere');
      expect(before === hosts[0] || firstOf(at, 'elsewhere', fewer) === before).toBe(true);
    }
  });

  test('one that was silent is left out for a while, and asked again', () => {
    const clock: Pick<Clock, 'monotonicMs'> = {monotonicMs: () => 0};
    const hops = new NodeHops();
    expect(hops.choose(['a', 'b'], clock.monotonicMs())).toBe('a');
    hops.noteFailure('a', 'silent', 0);
    hops.noteFailure('b', 'refused', 0);
    expect(hops.choose(['a', 'b'], 100)).toBe(undefined);
    expect(hops.choose(['a', 'b'], 300)).toBe('b');
    expect(hops.choose(['a', 'b'], 1_100)).toBe('a');
  });
});

describe('NodeRelayedHellos', () => {
  test('tells each leader all it was told, each word once, and nothing that is too old', () => {
    const relayed = new NodeForwardedHeartbeats();
    const names = (now: number) =>
      relayed.take(now).map(({ageMs, hello}) => [hello.kind === 'entry' && hello.name, ageMs]);
    relayed.record([entry('a')], 0);
    relayed.record([entry('b')], 100);
    expect(names(200)).toEqual([
      ['a', 200],
      ['b', 100],
    ]);
    // The question was lost: all is told again.
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
    // A new leader has heard nobody.
    expect(names(700)).toEqual([
      ['a', 700],
      ['b', 250],
    ]);
    expect(names(2_100)).toEqual([['b', 1_650]]);
  });
});
