/** Guards against software versions that are missed when replicas are read without a leader. */
import {encodeValue} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import type {SoftwareReading} from '../../FleetSoftware';
import type {EngineReport} from '../../FleetTypes';

import {fleetMachine} from '../../FleetMachine';
import {knownSoftware} from '../../FleetReading';
import {provenSoftware, softwareKey} from '../../FleetSoftware';

const VOTERS = ['a', 'b', 'c'];

function readingOf(
  replica: string,
  versions: readonly string[],
  voters: readonly string[] = VOTERS,
): SoftwareReading {
  const software = versions.map((softwareVersion) => softwareKey({service: 's', softwareVersion}));
  return {replica, software, voters};
}

function reportOf(id: string, softwareVersion: string): EngineReport {
  return {
    address: `${id}:1`,
    draining: false,
    id,
    sequence: 1,
    service: 's',
    slots: 8,
    softwareVersion,
    startedAtMs: 0,
    zone: 'z',
  };
}

describe('provenSoftware', () => {
  test('joins what a majority of the voters knows', () => {
    const proven = provenSoftware([readingOf('a', ['v1']), readingOf('c', ['v1', 'v2'])]);
    expect(proven).toEqual(new Map([['s', new Set(['v1', 'v2'])]]));
  });

  test.each<[string, readonly SoftwareReading[]]>([
    ['nobody has answered', []],
    ['one of three voters has answered', [readingOf('a', ['v1'])]],
    ['one voter and a replica without a vote have', [readingOf('a', ['v1']), readingOf('l', [])]],
    [
      'a replica knows other voters, of which no majority has answered',
      [readingOf('a', ['v1']), readingOf('b', ['v1'], ['b', 'c', 'd', 'e']), readingOf('c', [])],
    ],
    ['the replicas know no voters', [readingOf('a', ['v1'], []), readingOf('b', ['v1'], [])]],
  ])('proves nothing when %s', (_, readings) => {
    expect(provenSoftware(readings)).toBeUndefined();
  });
});

describe('knownSoftware', () => {
  test('contains present, former and uncommitted versions', () => {
    const step = (state: ReturnType<typeof fleetMachine.initial>, command: unknown) =>
      fleetMachine.apply(state, encodeValue(command), 0).state;
    const reported = [reportOf('e1', 'v1'), reportOf('e2', 'v2')].reduce(
      (state, report) => step(state, {kind: 'reportEngine', report}),
      fleetMachine.initial(),
    );
    const state = step(reported, {id: 'e1', kind: 'removeEngine', startedAtMs: null});
    const pending = encodeValue({kind: 'reportEngine', report: reportOf('e3', 'v3')});
    const versions = ['v1', 'v2', 'v3'].map((softwareVersion) =>
      softwareKey({service: 's', softwareVersion}),
    );
    expect([...knownSoftware(state, [pending, encodeValue({kind: 'tick'})])].sort()).toEqual(
      versions,
    );
  });
});
