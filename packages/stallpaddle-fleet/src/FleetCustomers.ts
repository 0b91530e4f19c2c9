/**
 * Customers by their keys. Keys are told apart by digests, so that no process but those that give the operator's text back
 * holds a key.
 */
import {createHash} from 'node:crypto';

import type {FleetConfig, FleetCustomer, StoredConfig} from './FleetTypes';

/** Digits of a key's digest that are kept: 132 bits, so that nobody finds another key with the same digest. */
const DIGITS = 22;

/**
 * Digest of a customer's key.
 *
 * @param key the key
 */
export function keyDigest(key: string): string {
  return createHash('sha256').update(key).digest('base64url').slice(0, DIGITS);
}

/**
 * A configuration as it is told to processes that need not give it back.
 *
 * @param config the configuration
 */
export function withoutSource({source: _source, ...told}: StoredConfig): FleetConfig {
  return told;
}

function* usedKeys(customers: readonly FleetCustomer[]): Generator<readonly [string, number]> {
  for (const [index, {keys}] of customers.entries()) {
    for (const key of keys) {
      yield [key, index];
    }
  }
}

/**
 * The first customer that can't be told apart from another one, or has terms that nobody can keep to.
 *
 * @param customers the customers
 * @returns its place and what is wrong with it
 */
export function findCustomerFault(
  customers: readonly FleetCustomer[],
): null | {readonly index: number; readonly message: string} {
  const names = new Set<string>();
  for (const [index, {burst, name, ratePerSecond}] of customers.entries()) {
    if (name === '' || names.has(name)) {
      return {index, message: name === '' ? 'it has no name' : 'another one has the same name'};
    }
    if (!(ratePerSecond >= 0 && burst >= 0)) {
      return {index, message: 'its rate and its burst must be numbers from 0'};
    }
    names.add(name);
  }
  const keys = new Set<string>();
  for (const [key, index] of usedKeys(customers)) {
    if (keys.has(key)) {
      return {index, message: 'one of its keys is held twice'};
    }
    keys.add(key);
  }
  return null;
}

/** Customers by the digests of their keys and by their names; made once for each configuration. */
export class CustomerTable {
  private readonly byKey = new Map<string, FleetCustomer>();
  private readonly byName = new Map<string, FleetCustomer>();

  /**
   * @param customers the customers
   */
  constructor(customers: readonly FleetCustomer[]) {
    for (const customer of customers) {
      this.byName.set(customer.name, customer);
      customer.keys.forEach((digest) => this.byKey.set(digest, customer));
    }
  }

  /**
   * The customer that holds a key.
   *
   * @param digest the key's digest
   */
  holderOf(digest: string): FleetCustomer | undefined {
    return this.byKey.get(digest);
  }

  /**
   * A customer by its name.
   *
   * @param name the name
   */
  named(name: string): FleetCustomer | undefined {
    return this.byName.get(name);
  }
}
