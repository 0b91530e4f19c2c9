/**
 * The control group's state: engines come and go in any order of reports, the highest version holds.
 */
import fc from 'fast-check';
import {decodeValue, encodeValue} from 'stallpaddle';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {
  EngineReport,
  FleetAnswer,
  FleetCommand,
  FleetConfig,
  FleetState,
} from '../../FleetTypes';

import {fleetMachine, isNews} from '../../FleetMachine';

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
    zone: 'z',
    ...changes,
  };
}

function configOf(version: number, source = `v${version}`): FleetConfig {
  const limits = {headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1};
  return {limits, routes: [], services: [], source, version};
}

const EMPTY = fleetMachine.initial();

describe('engines', () => {
  test('a late report never undoes that an engine leaves', () => {
    const state = apply(
      EMPTY,
      {kind: 'reportEngine', report: reportOf('e', {sequence: 5})},
      {kind: 'reportEngine', report: reportOf('e', {draining: true, sequence: 7})},
      {kind: 'reportEngine', report: reportOf('e', {sequence: 6})},
      {kind: 'reportEngine', report: reportOf('e', {sequence: 8})},
    );
    expect(state.engines.get('e')?.draining).toBe(true);
  });

  test('one that was removed stays removed, whatever arrives late', () => {
    const state = apply(
      EMPTY,
      {kind: 'reportEngine', report: reportOf('e')},
      {id: 'e', kind: 'removeEngine'},
      {kind: 'reportEngine', report: reportOf('e', {sequence: 9})},
    );
    expect(state.engines.size).toBe(0);
    expect(isNews(state, reportOf('e', {sequence: 10}))).toBe(false);
  });

  test('another engine at an address ends the one that had it', () => {
    const address = '10.0.0.9:80';
    const state = apply(
      EMPTY,
      {kind: 'reportEngine', report: reportOf('old', {address})},
      {kind: 'reportEngine', report: reportOf('new', {address, service: 't'})},
    );
    expect([...state.engines.keys()]).toEqual(['new']);
    expect(state.goneEngines).toEqual(['old']);
  });

  test('in any order and number of reports, leaving and removal win', async () => {
    const command = fc.oneof(
      fc
        .record({draining: fc.boolean(), sequence: fc.nat(6)})
        .map((changes): FleetCommand => ({kind: 'reportEngine', report: reportOf('e', changes)})),
      fc.constant<FleetCommand>({id: 'e', kind: 'removeEngine'}),
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

describe('configurations', () => {
  test('the highest version holds, and other content under it changes nothing', () => {
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
  test('only the first founders found the group', () => {
    const state = apply(
      EMPTY,
      {founders: ['a/1'], kind: 'foundJobs'},
      {founders: ['b/1'], kind: 'foundJobs'},
    );
    expect(state.jobsFounders).toEqual(['a/1']);
  });

  test('a new disk under an old name is not to be emptied', () => {
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
