/**
 * Validation of customers, and lookup by key.
 */
import {describe, expect, test} from 'vitest';

import type {FleetCustomer} from '../../FleetTypes';

import {CustomerTable, findCustomerFault, keyDigest, withoutSource} from '../../FleetCustomers';

function customerOf(name: string, changes: Partial<FleetCustomer> = {}): FleetCustomer {
  const keys = [keyDigest(`${name} 1`), keyDigest(`${name} 2`)];
  return {burst: 0, keys, name, priority: null, ratePerSecond: 0, ...changes};
}

describe('findCustomerFault', () => {
  test('accepts valid customers, also without keys', () => {
    const others = [customerOf('b', {keys: []}), customerOf('Klub Šiška')];
    expect(findCustomerFault([customerOf('a'), ...others])).toBeNull();
  });

  test.each<[string, readonly FleetCustomer[]]>([
    ['a key of two customers', [customerOf('a'), customerOf('b', {keys: [keyDigest('a 2')]})]],
    ['a key twice', [customerOf('a', {keys: [keyDigest('k'), keyDigest('k')]})]],
    ['a duplicate name', [customerOf('a'), customerOf('a', {keys: []})]],
    ['no name', [customerOf('')]],
    ['a name with a line feed', [customerOf('a\nb')]],
    ['a name that ends with a blank', [customerOf('a ')]],
    ['a rate below 0', [customerOf('a', {ratePerSecond: -1})]],
    ['a rate that is not a number', [customerOf('a', {ratePerSecond: Number.NaN})]],
    ['a burst below 0', [customerOf('a', {burst: -1})]],
  ])('rejects %s', (_, customers) => {
    expect(findCustomerFault(customers)).not.toBeNull();
  });
});

describe('CustomerTable', () => {
  test('finds a customer by each of its keys, and none by an unknown key', () => {
    const table = new CustomerTable([customerOf('a'), customerOf('b')]);
    const holders = ['a 1', 'a 2', 'b 2', 'c 1'].map((key) => table.holderOf(keyDigest(key))?.name);
    expect(holders).toEqual(['a', 'a', 'b', undefined]);
  });
});

describe('withoutSource', () => {
  test('removes the text that contains the keys', () => {
    const limits = {headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1};
    const customers = [customerOf('a')];
    const config = {customers, limits, routes: [], services: [], source: 'a 1', version: 1};
    expect(JSON.stringify(withoutSource(config))).not.toContain('a 1');
  });
});
