/**
 * What the leader of the control group takes of engines' reports.
 */
import type {EngineReport, FleetCommand, FleetState} from 'stallpaddle-fleet';

import {type Clock, decodeValue, type MonotonicMs} from 'stallpaddle';
import {fleetMachine} from 'stallpaddle-fleet';
import {afterEach, describe, expect, test} from 'vitest';

import type {NodeDeskOptions} from '../../NodeDesk';

import {NodeDesk} from '../../NodeDesk';

const REPORT_MS = 1_200;
const desks: NodeDesk[] = [];

afterEach(() => {
  desks.splice(0).forEach((desk) => desk.stop());
});

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

/** A leader that records every command at once. */
function lead() {
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
  const group = {driver, registerListener: () => () => {}} as unknown as NodeDeskOptions['group'];
  const desk = new NodeDesk({
    clock,
    group,
    log: (message) => logged.push(message),
    lostDisks: 1,
    reportMs: REPORT_MS,
  });
  desks.push(desk);
  const report = (id: string, startedAtMs: number): Promise<unknown> =>
    desk.answer({kind: 'reportEngine', report: reportOf(id, startedAtMs)});
  return {at, logged, report};
}

describe('NodeDesk', () => {
  test('a late report of an older engine takes no living engine its address', async () => {
    const {at, logged, report} = lead();
    await report('new', 2_000);
    await report('old', 1_000);
    expect([...at.state.engines.keys()]).toEqual(['new']);
    expect(logged).toEqual(['A report of an earlier start of an engine came late.']);
  });

  test('an engine whose time of day is behind gets the address of one that has fallen silent', async () => {
    const {at, report} = lead();
    await report('new', 2_000);
    at.now = 3 * REPORT_MS;
    await report('behind', 1_000);
    expect([...at.state.engines.keys()]).toEqual(['behind']);
  });
});
