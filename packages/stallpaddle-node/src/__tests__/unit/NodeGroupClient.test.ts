/**
 * How a process finds the leader of a group: what it learns, what takes that back, and what a dark VM costs.
 */
import type {VmId} from 'stallpaddle';
import type {TryOutcome} from 'stallpaddle-rpc';

import {delay, systemClock} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import {CALL_TIMEOUT_MS, JOB_CALL_TIMEOUT_MS} from '../../NodeConstants';
import {NodeGroupClient} from '../../NodeGroupClient';

/** What the VM at a host makes of a call. */
type Behaviour = (tryMs: number) => Promise<TryOutcome>;

const dark: Behaviour = async (tryMs) => {
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

/** A caller among VMs whose behaviour may change. */
function callerAmong(hosts: Record<VmId, Behaviour>) {
  const asked: VmId[] = [];
  const caller = new NodeGroupClient({
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
  return {asked, caller, hosts};
}

const REQUEST = {encoded: new Uint8Array(), group: 'jobs', query: true};
const READ = {
  changes: false,
  totalMs: JOB_CALL_TIMEOUT_MS,
  tryMs: JOB_CALL_TIMEOUT_MS,
  value: null,
};

describe('NodeCaller', () => {
  test('a question that went to a lost leader takes back nothing that was learned since', async () => {
    // Many reads wait at a leader when its VM loses power. Each of them was over at its own time, and made the process
    // forget the next leader again: it asked around once more, also at dark VMs, though it had found the leader.
    const {caller, hosts} = callerAmong({a: leads, b: follows(null)});
    await caller.call(READ);
    Object.assign(hosts, {a: dark, b: leads});
    const late = caller.tryOnce(REQUEST, 120);
    await caller.tryOnce(REQUEST, 20);
    while (caller.leaderHost !== 'b') {
      await caller.tryOnce(REQUEST, 20);
    }
    await late;
    expect(caller.leaderHost).toBe('b');
  });

  test('a replica that answers late with the name of an earlier leader is not believed', async () => {
    const {caller} = callerAmong({a: follows('c', 80), b: leads, c: dark});
    const late = caller.tryOnce(REQUEST, 200);
    await caller.call(READ);
    await late;
    expect(caller.leaderHost).toBe('b');
  });

  test('a dark VM that is only guessed or named to lead costs a read one short try', async () => {
    // After all VMs lost power two of five come back late. A read that asked one of them first spent all its time there.
    for (const named of [
      {a: dark, b: leads},
      {a: follows('c'), b: leads, c: dark},
    ]) {
      const {caller} = callerAmong(named as Record<VmId, Behaviour>);
      const startedAt = performance.now();
      expect(await caller.call(READ)).toBe('found');
      expect(performance.now() - startedAt).toBeLessThan(CALL_TIMEOUT_MS + 200);
    }
  });

  test('a leader that has answered before may take the whole time of a call', async () => {
    const slow: Behaviour = async (tryMs) => {
      await delay(Math.min(CALL_TIMEOUT_MS + 200, tryMs));
      return tryMs > CALL_TIMEOUT_MS + 200
        ? {kind: 'answered', result: 'found'}
        : {kind: 'unknown'};
    };
    const {asked, caller, hosts} = callerAmong({a: leads});
    await caller.call(READ);
    hosts['a'] = slow;
    expect(await caller.call(READ)).toBe('found');
    expect(asked).toEqual(['a', 'a']);
  });

  test('a lost answer to a change is told as one that may have run', async () => {
    const {caller} = callerAmong({a: dark, b: follows(null)});
    const change = {changes: true, totalMs: 150, tryMs: 50, value: null};
    await expect(caller.call(change)).rejects.toMatchObject({verdict: 'mayHaveRun'});
    const {caller: refused} = callerAmong({a: follows(null), b: follows('a')});
    await expect(refused.call(change)).rejects.toMatchObject({verdict: 'notRun'});
  });
});
