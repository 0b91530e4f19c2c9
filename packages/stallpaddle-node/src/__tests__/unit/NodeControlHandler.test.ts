/**
 * The control group's leader acknowledges no configuration and has no jobs group founded before its own group tolerates the
 * configured losses, and ignores outdated reports of engines.
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

import {decodeValue, delay, encodeValue, systemClock} from 'stallpaddle';
import {FIRST_QUARANTINE_MS, fleetMachine, QUARANTINE_LEVEL} from 'stallpaddle-fleet';
import {NotLeaderError, ReplicationLog} from 'stallpaddle-replication';
import {afterEach, describe, expect, test} from 'vitest';

import type {NodeControlHandlerOptions} from '../../NodeControlHandler';

import {NodeControlHandler} from '../../NodeControlHandler';

const CONFIG = {customers: [], routes: [], services: [], version: 7};
const handlers: NodeControlHandler[] = [];

afterEach(() => handlers.splice(0).forEach((handler) => handler.stop()));

/** A leader whose group has the given number of voters and commits every command. */
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
  const handler = new NodeControlHandler({
    clock: systemClock,
    group: {
      driver: driver as unknown as ReplicaDriver<FleetState>,
      registerListener: () => () => true,
    },
    lastKnownJobsReplicas: () => [],
    log: () => {},
    lostDisks,
    recordedEntries: () => 9,
    reportMs: 1_000,
  });
  handlers.push(handler);
  const kinds = (): readonly string[] => proposed.map(({kind}) => kind);
  return {handler, held, kinds, proposed, status};
}

function watch(
  handler: NodeControlHandler,
  heartbeats: readonly FleetHeartbeat[],
  ageMs = 0,
): Promise<unknown> {
  const relayed = heartbeats.map((hello) => ({ageMs, hello}));
  return handler.answer({
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

/** Longer than the time between two checks of the leader. */
const CHECK_MS = 250;

describe('NodeControlHandler', () => {
  test('acknowledges no configuration before its group has enough voters to tolerate the losses', async () => {
    // Two of the three founders may be lost right after the acknowledgement.
    const {handler, kinds, status} = lead(3, 2);
    const put = {config: CONFIG, kind: 'putConfig'} as unknown as Parameters<
      NodeControlHandler['answer']
    >[0];
    await expect(handler.answer(put)).rejects.toThrow(NotLeaderError);
    expect(kinds()).toEqual([]);
    const more = ['10.0.0.4/1', '10.0.0.5/1'];
    status.log.members = {learners: [], voters: [...status.log.members.voters, ...more]};
    await expect(handler.answer(put)).resolves.toEqual({kind: 'applied'});
    // After that, fewer voters mean that some were lost, and those count among the losses.
    status.log.members = {learners: more, voters: status.log.members.voters.slice(0, 4)};
    await expect(handler.answer(put)).resolves.toMatchObject({kind: 'held'});
  });

  // Guards against a version that a replica has in its log and doesn't tell, because it isn't known to be committed yet.
  test('tells the software versions, configuration, leaving engines and suspects of its whole log', async () => {
    const {handler, held, status} = lead(3, 1);
    const command = (id: string, softwareVersion: string): Uint8Array =>
      encodeValue({kind: 'reportEngine', report: {address: id, id, service: 's', softwareVersion}});
    held.state = fleetMachine.apply(held.state, command('e1', 'v1'), 0).state;
    const exit = (engine: string, known: number): Uint8Array =>
      encodeValue({digest: 'fatal', engine, kind: 'noteEngineEnd', known, startedAtMs: 0});
    const removal = {id: 'e1', kind: 'removeEngine', startedAtMs: null};
    const newer = {config: {...CONFIG, version: 8}, kind: 'putConfig'};
    const tail = ReplicationLog.restore({index: 4, members: status.log.members, term: 1}, [
      {index: 5, payload: {data: command('e1', 'v1'), kind: 'command'}, term: 1},
      {index: 6, payload: {data: encodeValue(newer), kind: 'command'}, term: 2},
      {index: 7, payload: {data: command('e2', 'v2'), kind: 'command'}, term: 2},
      {index: 8, payload: {data: encodeValue(removal), kind: 'command'}, term: 2},
      {index: 9, payload: {data: exit('e3', 0), kind: 'command'}, term: 2},
      {index: 10, payload: {data: exit('e4', 1), kind: 'command'}, term: 2},
    ]);
    Object.assign(status, {applied: 5, log: tail, self: '10.0.0.1/first'});
    expect(await handler.answer({configAfter: 6, kind: 'readReplica'})).toEqual({
      config: null,
      entries: 9,
      leaving: ['e1'],
      pendingConfig: 8,
      replica: '10.0.0.1/first',
      software: ['["s","v1"]', '["s","v2"]'],
      suspects: {
        end: {index: 10, term: 2},
        parts: [],
        requests: [{digest: 'fatal', holdMs: FIRST_QUARANTINE_MS, level: QUARANTINE_LEVEL}],
      },
      voters: status.log.members.voters,
    });
  });

  test('does not have the jobs group founded before that either', async () => {
    const {handler, kinds, status} = lead(3, 2);
    await watch(handler, STORES);
    await delay(CHECK_MS);
    expect(kinds()).not.toContain('foundJobs');
    const more = ['10.0.0.4/1', '10.0.0.5/1'];
    status.log.members = {learners: [], voters: [...status.log.members.voters, ...more]};
    await watch(handler, STORES);
    await delay(CHECK_MS);
    expect(kinds()).toContain('foundJobs');
  });

  test('chooses no founder without a recent heartbeat, or whose VM has returned with another disk', async () => {
    const {handler, proposed} = lead(3, 1);
    await watch(handler, [store('s1', '10.1.0.1/1')], 5_000);
    await watch(handler, [store('s2', '10.1.0.2/1')], 1_000);
    await watch(handler, [store('s2', '10.1.0.2/2'), store('s3', '10.1.0.3/1')]);
    await delay(CHECK_MS);
    expect(proposed.filter(({kind}) => kind === 'foundJobs')).toEqual([]);
    await watch(handler, [store('s4', '10.1.0.4/1')]);
    await delay(CHECK_MS);
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
    softwareVersion: 'v1',
    startedAtMs,
    zone: 'z',
  };
}

/** A leader whose clock the test sets, and which commits every command at once. */
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
  const handler = new NodeControlHandler({
    clock,
    group,
    lastKnownJobsReplicas: () => [],
    log: (message) => logged.push(message),
    lostDisks: 1,
    recordedEntries: () => 0,
    reportMs: REPORT_MS,
  });
  handlers.push(handler);
  const report = (id: string, startedAtMs: number): Promise<unknown> =>
    handler.answer({kind: 'reportEngine', report: reportOf(id, startedAtMs)});
  return {at, handler, logged, report};
}

describe('answers to processes', () => {
  // Guards against a status that counts as confirmed and lacks a version or a suspect that was committed before the question.
  test('a status that is asked for holds all that was committed before', async () => {
    const {handler} = lead(3, 1);
    await watch(handler, []);
    for (const id of ['e1', 'e2', 'e3']) {
      await handler.answer({kind: 'reportEngine', report: reportOf(id, 1)});
      const {update} = (await watch(handler, [])) as {update: {news: FleetStatus}};
      expect(update.news.engines.map((engine) => engine.id)).toContain(id);
    }
  });

  // Guards against a held answer, complete only as of the publication before, that counts as confirmed.
  test('a status that lacks a committed change says how old it is', async () => {
    const {at, handler, report} = leadAt();
    at.now = 1_000;
    await watch(handler, []);
    await report('e1', 1);
    at.now += 60;
    const held = {hellos: [], known: {config: null, fleet: 0, term: 0}, mayRelay: false};
    const answer = handler.answer({...held, kind: 'watch', relayed: [], waitMs: 5_000});
    expect(await answer).toMatchObject({ageMs: 60});
  });
});

describe('reports of engines', () => {
  test('an outdated report of an older engine does not take the address of a live engine', async () => {
    const {at, logged, report} = leadAt();
    await report('new', 2_000);
    await report('old', 1_000);
    expect([...at.state.engines.keys()]).toEqual(['new']);
    expect(logged).toEqual([
      'An engine has registered with its software version.',
      'An outdated report of an earlier incarnation of an engine was ignored.',
    ]);
  });

  test('an engine with a slow clock gets the address of one that has stopped reporting', async () => {
    const {at, report} = leadAt();
    await report('new', 2_000);
    at.now = 3 * REPORT_MS;
    await report('behind', 1_000);
    expect([...at.state.engines.keys()]).toEqual(['behind']);
  });

  test('records ends of engines, publishes the suspects, and commits no release of other requests', async () => {
    const {handler, kinds} = lead(3, 1);
    const end = {digest: 'd', kind: 'noteEngineEnd', startedAtMs: 0} as const;
    const parts = [{known: 0, part: 'p', served: false}];
    await handler.answer({...end, engine: 'e1', known: 0, parts});
    await handler.answer({...end, engine: 'e2', known: 1});
    const published = (await watch(handler, [])) as {update: {news: FleetStatus}};
    expect(published.update.news.suspects).toEqual([
      {digest: 'd', holdMs: FIRST_QUARANTINE_MS, level: 2},
    ]);
    expect(published.update.news.suspectParts).toEqual([
      {group: null, level: 1, part: 'p', trialDelayMs: 10_000, trials: 0},
    ]);
    expect(await handler.answer({kind: 'listSuspects'})).toMatchObject({
      parts: [{ended: ['e1@0'], group: null, level: 1, part: 'p', trials: 0}],
      suspects: [
        {
          digest: 'd',
          ended: ['e1@0', 'e2@0'],
          holdMs: FIRST_QUARANTINE_MS,
          leftMs: FIRST_QUARANTINE_MS,
          level: 2,
        },
      ],
    });
    await handler.answer({by: 'engine', digest: 'other', kind: 'releaseRequest'});
    expect(kinds()).not.toContain('releaseRequest');
    await handler.answer({by: 'engine', kind: 'releaseParts', parts: ['other']});
    expect(kinds()).not.toContain('releaseParts');
    await handler.answer({by: 'operator', digest: 'd', kind: 'releaseRequest'});
    await handler.answer({by: 'operator', kind: 'releaseParts', parts: ['p']});
    await delay(CHECK_MS);
    const later = (await watch(handler, [])) as {update: {news: FleetStatus}};
    expect(later.update.news).toMatchObject({suspectParts: [], suspects: []});
  });

  test('advances its group’s clock only while there are suspects', async () => {
    const {handler, kinds} = lead(3, 1);
    await watch(handler, []);
    await delay(CHECK_MS);
    expect(kinds()).not.toContain('tick');
    const end = {digest: 'd', engine: 'e1', kind: 'noteEngineEnd', known: 0, startedAtMs: 0};
    await handler.answer(end as Parameters<NodeControlHandler['answer']>[0]);
    await delay(CHECK_MS);
    expect(kinds().filter((kind) => kind === 'tick')).toHaveLength(1);
  });
});
