/**
 * Refusals, customer keys and the mapping of customers to shards.
 */
import type {CustomerId} from 'stallpaddle';

import {hash32} from 'stallpaddle';

import type {LedgerRefusal} from './LedgerTypes';

import {LEDGER_BUCKETS} from './LedgerConstants';

/**
 * Builds a refusal.
 *
 * @param code stable, machine-readable reason
 * @param message human-readable reason
 */
export function refusal(code: LedgerRefusal['code'], message: string): LedgerRefusal {
  return {code, kind: 'refused', message};
}

/**
 * Map key for a customer's key; equal keys of two customers stay distinct.
 *
 * @param customer customer that sent the key
 * @param key key as sent
 */
export function customerKey(customer: CustomerId, key: string): string {
  return `${customer}\u0000${key}`;
}

/**
 * Index of the shard that holds a customer's files, jobs and calls. One shard holds all of them, so that a key can be
 * checked for reuse there.
 *
 * @param customer the customer
 * @param shards number of shards
 */
export function shardOfCustomer(customer: CustomerId, shards: number): number {
  const bucket = hash32(customer) % LEDGER_BUCKETS;
  return Math.floor((bucket * shards) / LEDGER_BUCKETS);
}
