/** Guards against a VM with an outdated configuration refusing new keys or accepting revoked ones. */
import type {Clock, RefusalError} from 'stallpaddle';

import {systemClock} from 'stallpaddle';
import {type FleetConfig, keyDigest} from 'stallpaddle-fleet';
import {describe, expect, test} from 'vitest';

import {KEY_MAX_AGE_MS} from '../../NodeConstants';
import {NodeCustomers} from '../../NodeCustomers';

const LIMITS = {headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1};

/** Keys by customer; null for a fleet without customers. */
type Holders = null | Readonly<Record<string, readonly string[]>>;

function configOf(holders: Holders): FleetConfig {
  const customers = Object.entries(holders ?? {}).map(([name, keys]) => ({
    burst: 0,
    keys: keys.map(keyDigest),
    name,
    priority: null,
    ratePerSecond: 0,
  }));
  const config = {limits: LIMITS, routes: [], services: [], version: 1};
  return holders === null ? config : {...config, customers};
}

/** A VM that holds some configuration, and gets the latest one from the leader on request. */
class Vm {
  ageMs = 0;
  asked = 0;
  readonly customers: NodeCustomers;
  latest: Holders;
  now = 0;
  reachesLeader = true;

  constructor(holders: Holders) {
    this.latest = holders;
    const clock: Clock = {...systemClock, monotonicMs: () => this.now};
    this.customers = new NodeCustomers(clock, this);
    this.customers.applyConfig(configOf(holders));
  }

  confirm(): Promise<boolean> {
    this.asked++;
    if (this.reachesLeader) {
      this.ageMs = 0;
      this.customers.applyConfig(configOf(this.latest));
    }
    return Promise.resolve(this.reachesLeader);
  }

  async refresh(maxAgeMs: number): Promise<boolean> {
    return this.ageMs <= maxAgeMs || this.confirm();
  }

  async identify(key: null | string, isOpen = false): Promise<string> {
    try {
      const caller = await this.customers.identify(key, () => isOpen);
      return caller.kind === 'customer' ? caller.name : caller.kind;
    } catch (err) {
      return (err as RefusalError).code;
    }
  }
}

describe('NodeCustomers', () => {
  test('identifies a customer by each of its keys, and refuses calls without a valid key', async () => {
    const vm = new Vm({a: ['k1', 'k2'], b: ['k3']});
    const found = await Promise.all(['k1', 'k2', 'k3', 'k4', null].map((key) => vm.identify(key)));
    expect(found).toEqual(['a', 'a', 'b', 'unauthorized', 'unauthorized']);
  });

  test('accepts calls without a valid key where none is required, and still identifies customers', async () => {
    const vm = new Vm({a: ['k1']});
    expect(await vm.identify(null, true)).toBe('anybody');
    expect(await vm.identify('guess', true)).toBe('anybody');
    expect(await vm.identify('k1', true)).toBe('a');
    expect(await new Vm(null).identify(null)).toBe('untold');
  });

  test('asks for the latest keys before it refuses one, and answers stale if it can’t get them', async () => {
    const vm = new Vm({a: ['k1']});
    vm.latest = {a: ['k1', 'new']};
    expect(await vm.identify('new')).toBe('a');
    vm.reachesLeader = false;
    expect(await vm.identify('newer')).toBe('stale');
    expect(await vm.identify('k1')).toBe('a');
  });

  test('refreshes outdated keys before it serves, but pauses between failed attempts', async () => {
    const vm = new Vm({a: ['k1'], b: ['k2']});
    vm.ageMs = KEY_MAX_AGE_MS + 1;
    vm.latest = {b: ['k1', 'k2']};
    vm.reachesLeader = false;
    await vm.customers.refreshIfStale();
    await vm.customers.refreshIfStale();
    expect(vm.asked).toBe(1);
    vm.now = 2_000;
    vm.reachesLeader = true;
    await vm.customers.refreshIfStale();
    expect(await vm.identify('k1')).toBe('b');
  });
});
