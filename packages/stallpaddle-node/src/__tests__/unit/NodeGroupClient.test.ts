/** Guards against a client that loses track of a group's leader, or spends its time on unreachable VMs. */
import type {VmId} from 'stallpaddle';
import type {TryOutcome} from 'stallpaddle-rpc';

import {delay, systemClock} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import {CALL_TIMEOUT_MS, JOB_CALL_TIMEOUT_MS} from '../../NodeConstants';
import {NodeGroupClient} from '../../NodeGroupClient';

/** How the VM at a host answers a call. */
type Behaviour = (tryMs: number) => Promise<TryOutcome>;

const unreachable: Behaviour = async (tryMs) => {
  await delay(tryMs);
  return {kind: 'unknown'};
};

const leads: Behaviour = () => Promise.resolve({kind: 'answered', result: 'found'});

function follows(leader: null | VmId, afterMs = 0): Behaviour {
  return async () => {
    await delay(afterMs);
    return {kind: 'notLeader', leader};
  };
}

/** A client of VMs whose behaviour may change. */
function clientOf(hosts: Record<VmId, Behaviour>) {
  const asked: VmId[] = [];
  const client = new NodeGroupClient({
    clock: systemClock,
    group: 'jobs',
    hosts: () => Object.keys(hosts),
    local: null,
    peers: {
      channel: (host) => ({
        call: (_request, tryMs) => {
          asked.push(host);
          return hosts[host]!(tryMs);
        },
        post: () => {},
      }),
    },
  });
  return {asked, client, hosts};
}

const REQUEST = {encoded: new Uint8Array(), group: 'jobs', query: true};
const READ = {
  changes: false,
  totalMs: JOB_CALL_TIMEOUT_MS,
  tryMs: JOB_CALL_TIMEOUT_MS,
  value: null,
};

describe('NodeGroupClient', () => {
  test('a late failure at a lost leader does not discard the new leader', async () => {
    // Requests pending at the lost leader time out one by one, after the new leader was found.
    const {client, hosts} = clientOf({a: leads, b: follows(null)});
    await client.call(READ);
    Object.assign(hosts, {a: unreachable, b: leads});
    const late = client.tryOnce(REQUEST, 120);
    await client.tryOnce(REQUEST, 20);
    while (client.leaderHost !== 'b') {
      await client.tryOnce(REQUEST, 20);
    }
    await late;
    expect(client.leaderHost).toBe('b');
  });

  test('a late answer that names an earlier leader is ignored', async () => {
    const {client} = clientOf({a: follows('c', 80), b: leads, c: unreachable});
    const late = client.tryOnce(REQUEST, 200);
    await client.call(READ);
    await late;
    expect(client.leaderHost).toBe('b');
  });

  test('an unreachable VM that has not answered as leader costs a read one short try', async () => {
    // After a power loss of all VMs a read must not spend its whole time at one that is still down.
    for (const named of [
      {a: unreachable, b: leads},
      {a: follows('c'), b: leads, c: unreachable},
    ]) {
      const {client} = clientOf(named as Record<VmId, Behaviour>);
      const startedAt = performance.now();
      expect(await client.call(READ)).toBe('found');
      expect(performance.now() - startedAt).toBeLessThan(CALL_TIMEOUT_MS + 200);
    }
  });

  test('a leader that has answered before may use the whole time of a call', async () => {
    const slow: Behaviour = async (tryMs) => {
      await delay(Math.min(CALL_TIMEOUT_MS + 200, tryMs));
      return tryMs > CALL_TIMEOUT_MS + 200
        ? {kind: 'answered', result: 'found'}
        : {kind: 'unknown'};
    };
    const {asked, client, hosts} = clientOf({a: leads});
    await client.call(READ);
    hosts['a'] = slow;
    expect(await client.call(READ)).toBe('found');
    expect(asked).toEqual(['a', 'a']);
  });

  test('a change whose answer is lost is reported as possibly run', async () => {
    const {client} = clientOf({a: unreachable, b: follows(null)});
    const change = {changes: true, totalMs: 150, tryMs: 50, value: null};
    await expect(client.call(change)).rejects.toMatchObject({verdict: 'mayHaveRun'});
    const {client: refused} = clientOf({a: follows(null), b: follows('a')});
    await expect(refused.call(change)).rejects.toMatchObject({verdict: 'notRun'});
  });
});
