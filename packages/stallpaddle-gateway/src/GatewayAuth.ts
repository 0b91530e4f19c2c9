/**
 * Who sends a request: keys are kept as SHA-256 hashes only.
 */
import type {IncomingMessage} from 'node:http';
import type {CustomerId} from 'stallpaddle';
import type {CustomerConfig} from 'stallpaddle-control';

import {createHash, timingSafeEqual} from 'node:crypto';
import {refuse} from 'stallpaddle';

import type {GatewayContext} from './GatewayContext';

/** A customer that sent a key. */
export interface CustomerCaller {
  readonly customer: CustomerId;
  readonly record: CustomerConfig;
}

const BEARER = 'Bearer ';

/**
 * SHA-256 in hexadecimal.
 *
 * @param content text or bytes
 */
export function sha256(content: Uint8Array | string): string {
  return createHash('sha256').update(content).digest('hex');
}

function sameHash(a: string, b: string): boolean {
  return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));
}

function keyHashOf(req: IncomingMessage): string {
  const header = req.headers.authorization ?? '';
  if (!header.startsWith(BEARER) || header.length === BEARER.length) {
    throw refuse('unauthorized', 'send a key as Authorization: Bearer KEY');
  }
  return sha256(header.slice(BEARER.length));
}

/** Finds customers by the hash of their key; the index is built once per configuration. */
export class GatewayAuth {
  private indexed: unknown;
  private readonly byHash = new Map<string, CustomerCaller>();

  /**
   * @param context the VM
   */
  constructor(private readonly context: GatewayContext) {}

  /**
   * The customer that sent a request.
   *
   * @param req the request
   * @throws {RefusalError} `unauthorized` without a customer's key
   */
  customerOf(req: IncomingMessage): CustomerCaller {
    const hash = keyHashOf(req);
    this.index();
    const caller = this.byHash.get(hash);
    if (caller === undefined || !sameHash(caller.record.keyHash, hash)) {
      throw refuse('unauthorized', "the key is no customer's");
    }
    return caller;
  }

  /**
   * The operator that sent a request.
   *
   * @param req the request
   * @throws {RefusalError} `unauthorized` without a key, `forbidden` with a customer's
   */
  operatorOf(req: IncomingMessage): string {
    const hash = keyHashOf(req);
    // Every operator is compared, so that the time tells nothing of which one matched.
    const matches = [...this.context.operatorKeys].filter(([, known]) => sameHash(known, hash));
    const [match] = matches;
    if (match !== undefined) {
      return match[0];
    }
    this.index();
    throw this.byHash.has(hash)
      ? refuse('forbidden', "this needs an operator's key")
      : refuse('unauthorized', "the key is no operator's");
  }

  private index(): void {
    const {customers} = this.context.config();
    if (this.indexed === customers) {
      return;
    }
    this.byHash.clear();
    for (const [customer, record] of customers) {
      this.byHash.set(record.keyHash, {customer, record});
    }
    this.indexed = customers;
  }
}
