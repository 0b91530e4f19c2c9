/**
 * Authentication by bearer keys, which are stored only as SHA-256 hashes.
 */
import type {IncomingMessage} from 'node:http';
import type {CustomerId} from 'stallpaddle';
import type {CustomerConfig} from 'stallpaddle-control';

import {createHash, timingSafeEqual} from 'node:crypto';
import {refuse} from 'stallpaddle';

import type {GatewayContext} from './GatewayContext';

/** A customer authenticated by its key. */
export interface CustomerCaller {
  readonly customer: CustomerId;
  readonly record: CustomerConfig;
}

const BEARER = 'Bearer ';

/**
 * Returns the SHA-256 hash in hexadecimal.
 *
 * @param content text or bytes
 */
export function sha256(content: Uint8Array | string): string {
  return createHash('sha256').update(content).digest('hex');
}

function equalHashes(a: string, b: string): boolean {
  return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));
}

function keyHashOf(req: IncomingMessage): string {
  const header = req.headers.authorization ?? '';
  if (!header.startsWith(BEARER) || header.length === BEARER.length) {
    throw refuse('unauthorized', 'missing key: send Authorization: Bearer KEY');
  }
  return sha256(header.slice(BEARER.length));
}

/** Identifies customers and operators by the hash of their key; each configuration gets a new customer index. */
export class GatewayAuth {
  private indexedCustomers: unknown;
  private readonly byHash = new Map<string, CustomerCaller>();

  /**
   * @param context state and services of the VM
   */
  constructor(private readonly context: GatewayContext) {}

  /**
   * Returns the customer that sent a request.
   *
   * @param req the request
   * @throws {RefusalError} `unauthorized` without a valid customer key
   */
  customerOf(req: IncomingMessage): CustomerCaller {
    const hash = keyHashOf(req);
    this.updateIndex();
    const caller = this.byHash.get(hash);
    if (caller === undefined || !equalHashes(caller.record.keyHash, hash)) {
      throw refuse('unauthorized', 'the key belongs to no customer');
    }
    return caller;
  }

  /**
   * Returns the name of the operator that sent a request.
   *
   * @param req the request
   * @throws {RefusalError} `unauthorized` without a valid key, `forbidden` with a customer's key
   */
  operatorOf(req: IncomingMessage): string {
    const hash = keyHashOf(req);
    // Compares every operator, so that the response time does not reveal which one matched.
    const matches = [...this.context.operatorKeys].filter(([, known]) => equalHashes(known, hash));
    const [match] = matches;
    if (match !== undefined) {
      return match[0];
    }
    this.updateIndex();
    throw this.byHash.has(hash)
      ? refuse('forbidden', "an operator's key is required")
      : refuse('unauthorized', 'the key belongs to no operator');
  }

  private updateIndex(): void {
    const {customers} = this.context.config();
    if (this.indexedCustomers === customers) {
      return;
    }
    this.byHash.clear();
    for (const [customer, record] of customers) {
      this.byHash.set(record.keyHash, {customer, record});
    }
    this.indexedCustomers = customers;
  }
}
