/**
 * The control group's leader: what it acknowledges, and whom it lets found the group that keeps batch jobs, while its own
 * group can't bear the losses yet; what it takes of engines' reports.
 */
import type {Clock, MonotonicMs, ReplicaId} from 'stallpaddle';
import type {
  EngineReport,
  FleetCommand,
  FleetHeartbeat,
  FleetState,
  FleetStatus,
} from 'stallpaddle-fleet';
import type {ReplicaDriver} from 'stallpaddle-replication';

import {decodeValue, delay, systemClock} from 'stallpaddle';
import {FIRST_QUARANTINE_MS, fleetMachine} from 'stallpaddle-fleet';
import {NotLeaderError} from 'stallpaddle-replication';
import {afterEach, describe, expect, test} from 'vitest';

import type {NodeControlHandlerOptions} from '../../NodeControlHandler';

import {NodeControlHandler} from '../../NodeControlHandler';

const CONFIG = {customers: [], routes: [], services: [], version: 7};
const desks: NodeControlHandler[] = [];

afterEach(() => desks.splice(0).forEach((desk) => desk.stop()));

/** A leader whose group has so many voters, and records whatever it is given. */
function lead(voterCount: number, lostDisks: number) {
  const voters = Array.from({length: voterCount}, (_, at): ReplicaId => `10.0.0.${at + 1}/first`);
  const proposed: FleetCommand[] = [];
  const held = {state: fleetMachine.initial()};
  const status = {log: {members: {learners: [] as readonly ReplicaId[], voters}}, term: 1};
  const driver = {
    get leads() {
      return true;
    },
    get localState() {
      return held.state;
    },
    propose: (data: Uint8Array) => {
      proposed.push(decodeValue<FleetCommand>(data));
      const {result, state} = fleetMachine.apply(held.state, data, 0);
      held.state = state;
      return Promise.resolve(result);
    },
    read: () => held.state,
    status,
    uncountedMs: 0,
  };
  const desk = new NodeControlHandler({
    clock: systemClock,
    group: {
      driver: driver as unknown as ReplicaDriver<FleetState>,
      registerListener: () => () => true,
    },
    lastKnownJobsReplicas: () => [],
    log: () => {},
    lostDisks,
    reportMs: 1_000,
  });
  desks.push(desk);
  const kinds = (): readonly string[] => proposed.map(({kind}) => kind);
  return {desk, held, kinds, proposed, status};
}

function watch(
  desk: NodeControlHandler,
  hellos: readonly FleetHeartbeat[],
  ageMs = 0,
): Promise<unknown> {
  const relayed = hellos.map((hello) => ({ageMs, hello}));
  return desk.answer({
    hellos: [],
    kind: 'watch',
    known: {config: null, fleet: 0, term: 0},
    mayRelay: false,
    relayed,
    waitMs: 0,
  } as unknown as Parameters<NodeControlHandler['answer']>[0]);
}

function store(name: string, replica: ReplicaId): FleetHeartbeat {
  return {kind: 'store', leads: null, name, replica, zone: 'a'};
}

const STORES = [1, 2, 3, 4, 5].map((number) => store(`s${number}`, `10.1.0.${number}/1`));

/** Longer than the pause between two looks of the leader. */
const LOOK_MS = 250;

describe('NodeControlHandler', () => {
  test('acknowledges no configuration before its group has the voters to bear the losses', async () => {
    // Three seeds found the group; two of them may be lost right after the acknowledgement.
    const {desk, kinds, status} = lead(3, 2);
    const put = {config: CONFIG, kind: 'putConfig'} as unknown as Parameters<
      NodeControlHandler['answer']
    >[0];
    await expect(desk.answer(put)).rejects.toThrow(NotLeaderError);
    expect(kinds()).toEqual([]);
    const more = ['10.0.0.4/1', '10.0.0.5/1'];
    status.log.members = {learners: [], voters: [...status.log.members.voters, ...more]};
    await expect(desk.answer(put)).resolves.toEqual({kind: 'applied'});
    // From now on fewer voters mean that some were lost, and those count among the losses.
    status.log.members = {learners: more, voters: status.log.members.voters.slice(0, 4)};
    await expect(desk.answer(put)).resolves.toMatchObject({kind: 'held'});
  });

  test('has the group for batch jobs founded no earlier either', async () => {
    const {desk, kinds, status} = lead(3, 2);
    await watch(desk, STORES);
    await delay(LOOK_MS);
    expect(kinds()).not.toContain('foundJobs');
    const more = ['10.0.0.4/1', '10.0.0.5/1'];
    status.log.members = {learners: [], voters: [...status.log.members.voters, ...more]};
    await watch(desk, STORES);
    await delay(LOOK_MS);
    expect(kinds()).toContain('foundJobs');
  });

  test('names no founder that is silent, or whose VM has come back with another disk', async () => {
    const {desk, proposed} = lead(3, 1);
    await watch(desk, [store('s1', '10.1.0.1/1')], 5_000);
    await watch(desk, [store('s2', '10.1.0.2/1')], 1_000);
    await watch(desk, [store('s2', '10.1.0.2/2'), store('s3', '10.1.0.3/1')]);
    await delay(LOOK_MS);
    expect(proposed.filter(({kind}) => kind === 'foundJobs')).toEqual([]);
    await watch(desk, [store('s4', '10.1.0.4/1')]);
    await delay(LOOK_MS);
    const founders = ['10.1.0.2/2', '10.1.0.3/1', '10.1.0.4/1'];
    expect(proposed).toContainEqual({founders, kind: 'foundJobs'});
  });
});

const REPORT_MS = 1_200;

function reportOf(id: string, startedAtMs: number): EngineReport {
  const address = '10.0.0.9:80';
  return {
    address,
    draining: false,
    id,
    sequence: 1,
    service: 's',
    slots: 8,
    startedAtMs,
    zone: 'z',
  };
}

/** A leader whose clock a test sets, and which records every command at once. */
function leadAt() {
  const at = {now: 0 as MonotonicMs, state: fleetMachine.initial()};
  const driver = {
    leads: true,
    get localState(): FleetState {
      return at.state;
    },
    propose: (bytes: Uint8Array): Promise<unknown> => {
      const {result, state} = fleetMachine.apply(at.state, bytes, 0);
      at.state = state;
      commands.push(decodeValue<FleetCommand>(bytes));
      return Promise.resolve(result);
    },
    read: (): FleetState => at.state,
    status: {log: {members: {learners: [], voters: []}}, term: 1},
  };
  const commands: FleetCommand[] = [];
  const logged: string[] = [];
  const clock: Clock = {monotonicMs: () => at.now, wallMs: () => 0};
  const group = {
    driver,
    registerListener: () => () => {},
  } as unknown as NodeControlHandlerOptions['group'];
  const desk = new NodeControlHandler({
    clock,
    group,
    lastKnownJobsReplicas: () => [],
    log: (message) => logged.push(message),
    lostDisks: 1,
    reportMs: REPORT_MS,
  });
  desks.push(desk);
  const report = (id: string, startedAtMs: number): Promise<unknown> =>
    desk.answer({kind: 'reportEngine', report: reportOf(id, startedAtMs)});
  return {at, logged, report};
}

describe('reports of engines', () => {
  test('a late report of an older engine takes no living engine its address', async () => {
    const {at, logged, report} = leadAt();
    await report('new', 2_000);
    await report('old', 1_000);
    expect([...at.state.engines.keys()]).toEqual(['new']);
    expect(logged).toEqual([
      'An outdated report of an earlier incarnation of an engine was ignored.',
    ]);
  });

  test('an engine whose time of day is behind gets the address of one that has fallen silent', async () => {
    const {at, report} = leadAt();
    await report('new', 2_000);
    at.now = 3 * REPORT_MS;
    await report('behind', 1_000);
    expect([...at.state.engines.keys()]).toEqual(['behind']);
  });

  test('records ends of engines, tells all of the suspects, and records no clearing of others', async () => {
    const {desk, kinds} = lead(3, 1);
    const end = {digest: 'd', kind: 'noteEngineEnd', startedAtMs: 0} as const;
    await desk.answer({...end, engine: 'e1', known: 0});
    await desk.answer({...end, engine: 'e2', known: 1});
    const told = (await watch(desk, [])) as {update: {news: FleetStatus}};
    expect(told.update.news.suspects).toEqual([
      {digest: 'd', holdMs: FIRST_QUARANTINE_MS, level: 2},
    ]);
    expect(await desk.answer({kind: 'listSuspects'})).toEqual([
      {
        digest: 'd',
        ended: ['e1@0', 'e2@0'],
        holdMs: FIRST_QUARANTINE_MS,
        leftMs: FIRST_QUARANTINE_MS,
        level: 2,
      },
    ]);
    await desk.answer({by: 'engine', digest: 'other', kind: 'releaseRequest'});
    expect(kinds()).not.toContain('releaseRequest');
    await desk.answer({by: 'operator', digest: 'd', kind: 'releaseRequest'});
    await delay(LOOK_MS);
    const later = (await watch(desk, [])) as {update: {news: FleetStatus}};
    expect(later.update.news.suspects).toEqual([]);
  });

  test('lets its group’s clock run only while there are suspects', async () => {
    const {desk, kinds} = lead(3, 1);
    await watch(desk, []);
    await delay(LOOK_MS);
    expect(kinds()).not.toContain('tick');
    const end = {digest: 'd', engine: 'e1', kind: 'noteEngineEnd', known: 0, startedAtMs: 0};
    await desk.answer(end as Parameters<NodeControlHandler['answer']>[0]);
    await delay(LOOK_MS);
    expect(kinds().filter((kind) => kind === 'tick')).toHaveLength(1);
  });
});
