/** Guards against a leader that schedules `expire` by wall time, which may jump. */
import type {LedgerState} from 'stallpaddle-ledger';

import {decodeValue} from 'stallpaddle';
import {EMPTY_LEDGER} from 'stallpaddle-ledger';
import {describe, expect, test} from 'vitest';

import type {VmGroups} from '../../VmGroups';

import {MAINTENANCE_INTERVAL_MS} from '../../VmConstants';
import {VmLeaderDuties} from '../../VmLeaderDuties';

const LEASE = {chunk: 0, jobId: 'job', until: 1_100, vm: 'vm'};
const LOGGER = {debug: () => {}, error: () => {}, info: () => {}, warn: () => {}};

/** Leads one shard, in which a lease expires 100 ms after the last command. */
class LeaderUnderTest {
  readonly proposed: unknown[] = [];
  steadyMs = 50;
  uncountedMs = 0;
  wallMs = 1_790_000_000_000;
  private readonly duties: VmLeaderDuties;
  private readonly state: LedgerState = {
    ...EMPTY_LEDGER,
    clockMs: 1_000,
    leases: EMPTY_LEDGER.leases.set(1, LEASE),
  };

  constructor() {
    const replica = {
      leads: true,
      localState: this.state,
      propose: (data: Uint8Array) => Promise.resolve(this.proposed.push(decodeValue(data))),
    };
    Object.defineProperty(replica, 'uncountedMs', {get: () => this.uncountedMs});
    const groups = {controlReplica: undefined, ledgerReplicaOf: () => replica};
    this.duties = new VmLeaderDuties({
      clock: {monotonicMs: () => this.steadyMs, wallMs: () => this.wallMs},
      firstChanges: [],
      groups: groups as unknown as VmGroups,
      ledgerShards: 1,
      logger: LOGGER,
    });
  }

  /** Returns how many commands one check proposes. */
  async check(): Promise<number> {
    const before = this.proposed.length;
    await this.duties.check();
    return this.proposed.length - before;
  }
}

describe('expire', () => {
  test('is proposed once a lease has expired by the shard’s clock, not by wall time', async () => {
    const leader = new LeaderUnderTest();
    expect(await leader.check()).toBe(1);
    leader.wallMs += MAINTENANCE_INTERVAL_MS * 10;
    leader.uncountedMs = 99;
    expect(await leader.check()).toBe(0);
    leader.uncountedMs = 100;
    expect(await leader.check()).toBe(1);
    expect(leader.proposed.at(-1)).toEqual({now: leader.wallMs, type: 'expire'});
  });

  test('is proposed in each maintenance interval, even if wall time jumps back', async () => {
    const leader = new LeaderUnderTest();
    expect(await leader.check()).toBe(1);
    leader.wallMs -= MAINTENANCE_INTERVAL_MS * 10;
    leader.steadyMs += MAINTENANCE_INTERVAL_MS - 1;
    expect(await leader.check()).toBe(0);
    leader.steadyMs += 1;
    expect(await leader.check()).toBe(1);
  });
});
