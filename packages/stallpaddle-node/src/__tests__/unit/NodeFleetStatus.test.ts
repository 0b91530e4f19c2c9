/**
 * The fleet status names the replicas that keep batch jobs, also while their leader is unknown.
 */
import type {FleetHeartbeat} from 'stallpaddle-fleet';

import {fleetMachine, type FleetState} from 'stallpaddle-fleet';
import {describe, expect, test} from 'vitest';

import {buildFleetStatus} from '../../NodeFleetStatus';
import {NodeLastSeen} from '../../NodeLastSeen';

const FOUNDERS = ['10.0.0.1/a', '10.0.0.2/a', '10.0.0.3/a'];
const MEMBERS = ['10.0.0.4/a', '10.0.0.5/a', '10.0.0.6/a'];

/** State of a fleet with six stores, three of which founded the jobs group. */
function founded(): FleetState {
  const stores = [...FOUNDERS, ...MEMBERS].map((replica) => {
    const [name] = replica.split('/');
    return [name!, {name: name!, replica, retiring: false}] as const;
  });
  return {...fleetMachine.initial(), jobsFounders: FOUNDERS, stores: new Map(stores)};
}

function statusOf(
  lastSeen: NodeLastSeen,
  lastKnownJobsReplicas: readonly string[],
  state = founded(),
) {
  const members = {learners: [], voters: ['c/1']};
  return buildFleetStatus({
    lastKnownJobsReplicas,
    lastSeen,
    members,
    now: 100,
    reportMs: 1_000,
    state,
  });
}

function storeHeartbeat(replica: string, term: null | number): FleetHeartbeat {
  const leads = term === null ? null : {learners: [], settled: true, term, voters: MEMBERS};
  return {kind: 'store', leads, name: replica, replica, zone: 'z'};
}

describe('buildFleetStatus', () => {
  test('names the voters that the jobs’ leader reports', () => {
    const lastSeen = new NodeLastSeen(7, 0);
    lastSeen.record(storeHeartbeat(MEMBERS[0]!, 4), 10);
    expect(statusOf(lastSeen, FOUNDERS).jobsReplicas).toEqual(MEMBERS);
  });

  test('the last known voters stay when the control group has a new leader, or the jobs’ leader steps down', () => {
    // The founders may all have been replaced: calls to them alone would find no leader.
    const unreported = new NodeLastSeen(8, 0);
    expect(statusOf(unreported, MEMBERS).jobsReplicas).toEqual(MEMBERS);
    const deposed = new NodeLastSeen(8, 0);
    deposed.record(storeHeartbeat(MEMBERS[0]!, 4), 10);
    deposed.record(storeHeartbeat(MEMBERS[0]!, null), 20);
    expect(statusOf(deposed, MEMBERS).jobsReplicas).toEqual(MEMBERS);
  });

  test('after a restart of all processes all stores are named, the founders first', () => {
    const {jobsReplicas} = statusOf(new NodeLastSeen(9, 0), []);
    expect(jobsReplicas).toEqual([...FOUNDERS, ...MEMBERS]);
  });

  test('names no replica before the group is founded', () => {
    const state = {...founded(), jobsFounders: null};
    expect(statusOf(new NodeLastSeen(9, 0), [], state).jobsReplicas).toEqual([]);
  });
});
