/**
 * Where callers are told that batch jobs are kept, while the jobs' leader is not known.
 */
import type {FleetHeartbeat} from 'stallpaddle-fleet';

import {fleetMachine, type FleetState} from 'stallpaddle-fleet';
import {describe, expect, test} from 'vitest';

import {buildFleetStatus} from '../../NodeFleetStatus';
import {NodeLastSeen} from '../../NodeLastSeen';

const FOUNDERS = ['10.0.0.1/a', '10.0.0.2/a', '10.0.0.3/a'];
const MEMBERS = ['10.0.0.4/a', '10.0.0.5/a', '10.0.0.6/a'];

/** A fleet of six stores, three of which founded the group. */
function founded(): FleetState {
  const stores = [...FOUNDERS, ...MEMBERS].map((replica) => {
    const [name] = replica.split('/');
    return [name!, {name: name!, replica, retiring: false}] as const;
  });
  return {...fleetMachine.initial(), jobsFounders: FOUNDERS, stores: new Map(stores)};
}

function newsOf(heard: NodeLastSeen, jobsBefore: readonly string[], state = founded()) {
  const members = {learners: [], voters: ['c/1']};
  return buildFleetStatus({
    lastKnownJobsReplicas: jobsBefore,
    lastSeen: heard,
    members,
    now: 100,
    reportMs: 1_000,
    state,
  });
}

function storeHello(replica: string, term: null | number): FleetHeartbeat {
  const leads = term === null ? null : {learners: [], settled: true, term, voters: MEMBERS};
  return {kind: 'store', leads, name: replica, replica, zone: 'z'};
}

describe('buildFleetStatus', () => {
  test('names the voters that the jobs’ leader reports', () => {
    const heard = new NodeLastSeen(7, 0);
    heard.record(storeHello(MEMBERS[0]!, 4), 10);
    expect(newsOf(heard, FOUNDERS).jobsReplicas).toEqual(MEMBERS);
  });

  test('a new leader of the control group, or one that the jobs’ leader left, forgets no member', () => {
    // Whoever founded the group may have left it long ago, one lost disk after the other: with the founders alone, an
    // entry VM asked processes that belong to no group, and told its callers that the jobs have no leader.
    const unheard = new NodeLastSeen(8, 0);
    expect(newsOf(unheard, MEMBERS).jobsReplicas).toEqual(MEMBERS);
    const deposed = new NodeLastSeen(8, 0);
    deposed.record(storeHello(MEMBERS[0]!, 4), 10);
    deposed.record(storeHello(MEMBERS[0]!, null), 20);
    expect(newsOf(deposed, MEMBERS).jobsReplicas).toEqual(MEMBERS);
  });

  test('when every process has lost what it knew, all stores are named, the founders first', () => {
    const {jobsReplicas} = newsOf(new NodeLastSeen(9, 0), []);
    expect(jobsReplicas).toEqual([...FOUNDERS, ...MEMBERS]);
  });

  test('names nobody before the group is founded', () => {
    const state = {...founded(), jobsFounders: null};
    expect(newsOf(new NodeLastSeen(9, 0), [], state).jobsReplicas).toEqual([]);
  });
});
