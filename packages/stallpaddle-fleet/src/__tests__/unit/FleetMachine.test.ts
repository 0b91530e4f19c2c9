/**
 * The control group's state machine: engine registrations in any order of reports, and configuration versions.
 */
import fc from 'fast-check';
import {decodeValue, encodeValue} from 'stallpaddle';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {
  EngineReport,
  FleetAnswer,
  FleetCommand,
  FleetState,
  StoredConfig,
} from '../../FleetTypes';

import {changesEngine, fleetMachine, isOutdated, laterHolders} from '../../FleetMachine';

function apply(state: FleetState, ...commands: readonly FleetCommand[]): FleetState {
  return commands.reduce(
    (at, command) => fleetMachine.apply(at, encodeValue(command), 0).state,
    state,
  );
}

function reportOf(id: string, changes: Partial<EngineReport> = {}): EngineReport {
  return {
    address: `10.0.0.1:${id.length}`,
    draining: false,
    id,
    sequence: 1,
    service: 's',
    slots: 8,
    softwareVersion: 'v1',
    startedAtMs: 0,
    zone: 'z',
    ...changes,
  };
}

function configOf(version: number, source = `v${version}`): StoredConfig {
  const limits = {headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1};
  return {limits, routes: [], services: [], source, version};
}

const EMPTY = fleetMachine.initial();

describe('engines', () => {
  test('a late report never cancels draining', () => {
    const state = apply(
      EMPTY,
      {kind: 'reportEngine', report: reportOf('e', {sequence: 5})},
      {kind: 'reportEngine', report: reportOf('e', {draining: true, sequence: 7})},
      {kind: 'reportEngine', report: reportOf('e', {sequence: 6})},
      {kind: 'reportEngine', report: reportOf('e', {sequence: 8})},
    );
    expect(state.engines.get('e')?.draining).toBe(true);
  });

  test('a removed engine stays removed, whatever arrives late', () => {
    const state = apply(
      EMPTY,
      {kind: 'reportEngine', report: reportOf('e')},
      {id: 'e', kind: 'removeEngine', startedAtMs: null},
      {kind: 'reportEngine', report: reportOf('e', {sequence: 9})},
    );
    expect(state.engines.size).toBe(0);
    expect(changesEngine(state, reportOf('e', {sequence: 10}))).toBe(false);
  });

  test('a new engine at an address removes the previous one', () => {
    const address = '10.0.0.9:80';
    const state = apply(
      EMPTY,
      {kind: 'reportEngine', report: reportOf('old', {address})},
      {kind: 'reportEngine', report: reportOf('new', {address, service: 't'})},
    );
    expect([...state.engines.keys()]).toEqual(['new']);
    expect([...state.goneEngines.keys()]).toEqual(['old']);
  });

  test('draining and removal are final in any order and number of reports', async () => {
    const command = fc.oneof(
      fc
        .record({draining: fc.boolean(), sequence: fc.nat(6)})
        .map((changes): FleetCommand => ({kind: 'reportEngine', report: reportOf('e', changes)})),
      fc.constant<FleetCommand>({id: 'e', kind: 'removeEngine', startedAtMs: null}),
    );
    const property = fc.property(fc.array(command, {maxLength: 12}), (commands) => {
      let state = EMPTY;
      let removed = false;
      let left = false;
      for (const next of commands) {
        state = apply(state, next);
        const known = state.engines.get('e');
        expect(removed && known !== undefined).toBe(false);
        expect(left && known !== undefined && !known.draining).toBe(false);
        removed ||= next.kind === 'removeEngine';
        left ||= known?.draining === true;
      }
      expect(
        decodeValue(fleetMachine.encode(fleetMachine.decode(fleetMachine.encode(state)))),
      ).toEqual(decodeValue(fleetMachine.encode(state)));
    });
    await assertHistories('reports of an engine', property, 300);
  });
});

describe('engines that restart under their name', () => {
  test('start without the previous state: draining is cleared and the sequence restarts', () => {
    const state = apply(
      EMPTY,
      {kind: 'reportEngine', report: reportOf('e', {sequence: 50, startedAtMs: 1_000})},
      {
        kind: 'reportEngine',
        report: reportOf('e', {draining: true, sequence: 60, startedAtMs: 1_000}),
      },
      {
        kind: 'reportEngine',
        report: reportOf('e', {address: '10.0.0.2:80', sequence: 1, startedAtMs: 2_000}),
      },
    );
    expect(state.engines.get('e')).toMatchObject({
      address: '10.0.0.2:80',
      draining: false,
      sequence: 1,
    });
  });

  test('register again after their removal, which the previous incarnation may repeat', () => {
    const state = apply(
      EMPTY,
      {kind: 'reportEngine', report: reportOf('e', {startedAtMs: 1_000})},
      {id: 'e', kind: 'removeEngine', startedAtMs: 1_000},
      {kind: 'reportEngine', report: reportOf('e', {sequence: 2, startedAtMs: 1_000})},
    );
    expect(state.engines.size).toBe(0);
    const again = apply(
      state,
      {kind: 'reportEngine', report: reportOf('e', {startedAtMs: 2_000})},
      {id: 'e', kind: 'removeEngine', startedAtMs: 1_000},
    );
    expect(again.engines.get('e')?.startedAtMs).toBe(2_000);
  });

  test('a late report of the previous incarnation changes nothing', () => {
    const state = apply(
      EMPTY,
      {kind: 'reportEngine', report: reportOf('e', {startedAtMs: 2_000})},
      {
        kind: 'reportEngine',
        report: reportOf('e', {draining: true, sequence: 99, startedAtMs: 1_000}),
      },
    );
    expect(state.engines.get('e')).toMatchObject({draining: false, startedAtMs: 2_000});
    expect(isOutdated(state, reportOf('e', {sequence: 99, startedAtMs: 1_000}))).toBe(true);
  });

  test('the later engine at an address is reported when an older one claims it', () => {
    const address = '10.0.0.9:80';
    const state = apply(EMPTY, {
      kind: 'reportEngine',
      report: reportOf('new', {address, startedAtMs: 2_000}),
    });
    expect(laterHolders(state, reportOf('old', {address, startedAtMs: 1_000}))).toEqual(['new']);
    expect(laterHolders(state, reportOf('next', {address, startedAtMs: 3_000}))).toEqual([]);
  });

  /** Reference model: the newest incarnation counts, and within it draining and removal are final. */
  test('only the newest incarnation counts, in any order of messages of several incarnations', async () => {
    const message = fc.oneof(
      fc
        .record({
          draining: fc.boolean(),
          sequence: fc.nat(6),
          startedAtMs: fc.integer({max: 3, min: 1}),
        })
        .map((changes): FleetCommand => ({kind: 'reportEngine', report: reportOf('e', changes)})),
      fc
        .integer({max: 3, min: 1})
        .map((startedAtMs): FleetCommand => ({id: 'e', kind: 'removeEngine', startedAtMs})),
    );
    const property = fc.property(fc.array(message, {maxLength: 14}), (commands) => {
      let state = EMPTY;
      let newest = 0;
      let ended = 0;
      let left = 0;
      for (const next of commands) {
        state = apply(state, next);
        const known = state.engines.get('e');
        if (next.kind === 'removeEngine') {
          ended = Math.max(ended, next.startedAtMs ?? 0);
        } else if (next.kind === 'reportEngine') {
          newest = Math.max(newest, next.report.startedAtMs);
        }
        expect(known?.startedAtMs).toBe(newest > ended ? newest : undefined);
        expect(known !== undefined && known.startedAtMs <= left && !known.draining).toBe(false);
        left = known?.draining === true ? known.startedAtMs : left;
      }
    });
    await assertHistories('reports of engine incarnations', property, 500);
  });

  test('state written by earlier releases without start times is read', () => {
    const report = {...reportOf('e'), startedAtMs: undefined};
    const bytes = encodeValue({
      config: null,
      engines: [report],
      enginesRevision: 3,
      goneEngines: ['old'],
      jobsFounders: null,
      stores: [],
    });
    const state = fleetMachine.decode(bytes);
    expect(state.engines.get('e')?.startedAtMs).toBe(0);
    expect(changesEngine(state, reportOf('old', {sequence: 9}))).toBe(false);
    const removal = encodeValue({id: 'e', kind: 'removeEngine'});
    expect(fleetMachine.apply(state, removal, 0).state.engines.size).toBe(0);
  });
});

describe('reports of foreign senders', () => {
  const services = [{maxConnections: 9, name: 's', slots: 8}];
  const configured = apply(EMPTY, {config: {...configOf(1), services}, kind: 'putConfig'});
  const known = apply(configured, {kind: 'reportEngine', report: reportOf('e')});

  test('an engine of an unknown service does not take another engine’s address', () => {
    const {address} = reportOf('e');
    const report = reportOf('other', {address, service: 'nobody’s'});
    expect([...apply(known, {kind: 'reportEngine', report}).engines.keys()]).toContain('e');
  });

  test('a report cannot move an engine to an unknown service', () => {
    const report = reportOf('e', {sequence: 9, service: 'nobody’s'});
    expect(apply(known, {kind: 'reportEngine', report}).engines.get('e')?.service).toBe('s');
  });
});

describe('configurations', () => {
  test('the highest version is in effect, and other content with the same version changes nothing', () => {
    const first = apply(EMPTY, {config: configOf(7), kind: 'putConfig'});
    const again = fleetMachine.apply(
      first,
      encodeValue({config: configOf(7, 'other'), kind: 'putConfig'}),
      0,
    );
    expect(again.result).toEqual({kind: 'held', version: 7} satisfies FleetAnswer);
    expect(again.state.config?.source).toBe('v7');
    expect(apply(first, {config: configOf(3), kind: 'putConfig'}).config?.version).toBe(7);
    expect(apply(first, {config: configOf(19), kind: 'putConfig'}).config?.version).toBe(19);
  });
});

describe('stores', () => {
  test('only the first set of founders is accepted', () => {
    const state = apply(
      EMPTY,
      {founders: ['a/1'], kind: 'foundJobs'},
      {founders: ['b/1'], kind: 'foundJobs'},
    );
    expect(state.jobsFounders).toEqual(['a/1']);
  });

  test('a new disk under the name of a retired store is not retiring', () => {
    const retired = apply(
      EMPTY,
      {kind: 'seeStore', name: 's1', replica: 'a/1'},
      {kind: 'retireStore', name: 's1'},
    );
    expect(retired.stores.get('s1')?.retiring).toBe(true);
    const seen = apply(retired, {kind: 'seeStore', name: 's1', replica: 'a/1'});
    expect(seen.stores.get('s1')?.retiring).toBe(true);
    const replaced = apply(seen, {kind: 'seeStore', name: 's1', replica: 'a/2'});
    expect(replaced.stores.get('s1')?.retiring).toBe(false);
  });
});
