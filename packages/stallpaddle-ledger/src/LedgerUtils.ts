/**
 * Small helpers of the ledger.
 */
import type {CustomerId} from 'stallpaddle';

import {hash32} from 'stallpaddle';

import type {LedgerRefusal} from './LedgerTypes';

import {LEDGER_BUCKETS} from './LedgerConstants';

/**
 * Builds a refusal.
 *
 * @param code stable reason
 * @param message one sentence for a person
 */
export function refusal(code: LedgerRefusal['code'], message: string): LedgerRefusal {
  return {code, kind: 'refused', message};
}

/**
 * Name under which a customer's key is kept; two customers' equal keys never meet.
 *
 * @param customer who sent the key
 * @param key as sent
 */
export function customerKey(customer: CustomerId, key: string): string {
  return `${customer}\u0000${key}`;
}

/**
 * The shard that holds a customer's files, jobs and calls. All of a customer's are in one shard, so
 * that a key is compared in one place.
 *
 * @param customer the customer
 * @param shards number of shards
 */
export function shardOfCustomer(customer: CustomerId, shards: number): number {
  const bucket = hash32(customer) % LEDGER_BUCKETS;
  return Math.floor((bucket * shards) / LEDGER_BUCKETS);
}
