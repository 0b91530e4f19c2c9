/**
 * What makes two requests the same, whatever their attempts are called: method, host, path with query, caller and the whole
 * body. Header lines say more of an attempt than of a request, and are left out but for the caller's own.
 */
import {createHash} from 'node:crypto';

/** A request, as far as it makes a difference. */
export interface DigestInput {
  readonly body: Uint8Array;
  /** What tells callers apart who send the same; empty where nothing does. */
  readonly caller: string;
  readonly host: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
}

/** Digits that are kept: 132 bits, so that nobody finds another request with the same digest. */
const DIGITS = 22;

/**
 * A request's digest. Made only for suspects and while there are any: 15 µs for 15 KB, 3.6 ms for 4 MB.
 *
 * @param input the request
 */
export function requestDigest({body, caller, host, method, path}: DigestInput): string {
  // As JSON, so that no part can run over into the next.
  const head = JSON.stringify([method, host.toLowerCase(), path, caller]);
  const hash = createHash('sha256').update(`${head}\n`).update(body);
  return hash.digest('base64url').slice(0, DIGITS);
}
