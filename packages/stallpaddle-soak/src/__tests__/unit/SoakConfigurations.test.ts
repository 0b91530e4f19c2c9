/** Guards against configurations that a VM disobeys unnoticed, and correct histories that are reported. */
import {describe, expect, test} from 'vitest';

import type {SoakEventDetails} from '../../SoakHistory';
import type {SoakEvent, SoakPromise} from '../../SoakTypes';

import {checkHistory} from '../../SoakChecker';
import {configurationOf, type ProbedRoute, type ProbeOutcome} from '../../SoakConfigurations';

const BOUNDS = {applyMs: 2_000, cancelMs: 3_000, contactMs: 3_000, drainMs: 2_000, settleMs: 1_000};

type Timed = readonly [number, SoakEventDetails];

function violations(...history: readonly Timed[]): readonly SoakPromise[] {
  const events = history.map(([at, happening]) => ({...happening, at}) as SoakEvent);
  return checkHistory(events, BOUNDS).map(({promise}) => promise);
}

function confirmed(at: number, version: number): readonly Timed[] {
  return [
    [at - 10, {kind: 'configSent', version}],
    [at, {kind: 'configAccepted', version}],
  ];
}

function probed(sentAt: number, route: ProbedRoute, outcome: ProbeOutcome, vm = 'v'): Timed {
  return [sentAt + 20, {kind: 'probed', outcome, route, sentAt, vm}];
}

const MOVED: ProbedRoute = {kind: 'moved'};
const NO_ROUTE: ProbeOutcome = {kind: 'noRoute'};

function added(number: number): ProbedRoute {
  return {kind: 'added', number};
}

/** Served by the service that the moved route has in a version. */
function servedAs(version: number): ProbeOutcome {
  return {kind: 'served', service: configurationOf(version).movedTo};
}

const CHANGES = [...confirmed(100, 1), ...confirmed(6_000, 2)];

describe('configurations', () => {
  test('may be in force from the time they are sent until they have to be', () => {
    const history = [
      probed(5_000, MOVED, servedAs(1)),
      probed(5_000, added(2), NO_ROUTE),
      ...CHANGES.slice(2),
      probed(6_010, MOVED, servedAs(2)),
      probed(7_900, MOVED, servedAs(1), 'other'),
      probed(9_000, added(2), servedAs(2)),
      probed(9_000, added(0), NO_ROUTE),
    ];
    expect(violations(...CHANGES.slice(0, 2), ...history)).toEqual([]);
  });

  test.each<[string, Timed]>([
    ['a route that was added is not found', probed(8_100, added(2), NO_ROUTE)],
    ['a route that was removed is served', probed(8_100, added(0), servedAs(1))],
    ['a route that was moved is served by its earlier service', probed(8_100, MOVED, servedAs(1))],
  ])('are not in force in time: %s', (_, late) => {
    expect(violations(...CHANGES, late)).toEqual(['configIsInForce']);
  });

  test('are not checked for time beside a disturbance, but for going back', () => {
    const fault = {forMs: 900, kind: 'freeze', vm: 'x'} as const;
    const disturbed: readonly Timed[] = [[6_500, {fault, kind: 'faultBegan'}]];
    const early = probed(6_100, MOVED, servedAs(2));
    const late = probed(8_100, MOVED, servedAs(1));
    expect(violations(...CHANGES, ...disturbed, late)).toEqual([]);
    expect(violations(...CHANGES, early, ...disturbed, late)).toEqual(['configIsInForce']);
  });

  test('may be older after the process has started again', () => {
    const fault = {downMs: 100, kind: 'kill', vm: 'v'} as const;
    const history: readonly Timed[] = [
      probed(6_100, MOVED, servedAs(2)),
      [6_500, {fault, kind: 'faultBegan'}],
      [6_700, {fault, kind: 'faultEnded'}],
      probed(7_000, MOVED, servedAs(1)),
    ];
    expect(violations(...CHANGES, ...history)).toEqual([]);
  });

  test('are refused when valid, or confirmed when invalid', () => {
    expect(
      violations(
        ...CHANGES,
        [7_000, {kind: 'configRefused', version: 2}],
        [7_100, {fault: 'no weight', kind: 'invalidConfigAccepted'}],
      ),
    ).toEqual(['acceptedConfigStays', 'invalidConfigIsRefused']);
  });
});
