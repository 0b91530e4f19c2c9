/**
 * Customers and their keys. Keys are compared by digest, so that only the processes that store the operator's text hold
 * the keys themselves.
 */
import {createHash} from 'node:crypto';

import type {FleetConfig, FleetCustomer, StoredConfig} from './FleetTypes';

/** Base64url digits kept of a key's digest: 132 bits, which rules out finding a second key with the same digest. */
const DIGEST_LENGTH = 22;

/**
 * Digest of a customer's key.
 *
 * @param key the key
 */
export function keyDigest(key: string): string {
  return createHash('sha256').update(key).digest('base64url').slice(0, DIGEST_LENGTH);
}

/**
 * Removes the operator's text, which contains the keys, from a configuration.
 *
 * @param config the configuration
 */
export function withoutSource({source: _source, ...config}: StoredConfig): FleetConfig {
  return config;
}

function* usedKeys(customers: readonly FleetCustomer[]): Generator<readonly [string, number]> {
  for (const [index, {keys}] of customers.entries()) {
    for (const key of keys) {
      yield [key, index];
    }
  }
}

/** Engines get the name in a header, which can't hold control characters and loses blanks at its ends. */
function findNameFault(name: string): null | string {
  if (name === '') {
    return 'it has no name';
  }
  return name.trim() !== name || /[\0-\x1f\x7f]/.test(name)
    ? 'its name begins or ends with a blank, or has control characters'
    : null;
}

/**
 * Finds the first customer with an invalid or duplicate name, a duplicate key or an invalid limit.
 *
 * @param customers the customers
 * @returns its index and a description of the fault
 */
export function findCustomerFault(
  customers: readonly FleetCustomer[],
): null | {readonly index: number; readonly message: string} {
  const names = new Set<string>();
  for (const [index, {burst, name, ratePerSecond}] of customers.entries()) {
    const nameFault = findNameFault(name);
    if (nameFault !== null) {
      return {index, message: nameFault};
    }
    if (names.has(name)) {
      return {index, message: 'another one has the same name'};
    }
    if (!(ratePerSecond >= 0 && burst >= 0)) {
      return {index, message: 'its rate and its burst must be numbers of at least 0'};
    }
    names.add(name);
  }
  const keys = new Set<string>();
  for (const [key, index] of usedKeys(customers)) {
    if (keys.has(key)) {
      return {index, message: 'one of its keys is used twice'};
    }
    keys.add(key);
  }
  return null;
}

/** Looks up customers by key digest and by name; built once for each configuration. */
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
   * Returns the customer that holds a key.
   *
   * @param digest the key's digest
   */
  holderOf(digest: string): FleetCustomer | undefined {
    return this.byKey.get(digest);
  }

  /**
   * Returns the customer of a name.
   *
   * @param name the name
   */
  named(name: string): FleetCustomer | undefined {
    return this.byName.get(name);
  }
}
