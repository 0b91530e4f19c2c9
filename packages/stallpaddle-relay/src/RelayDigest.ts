/**
 * Digests that identify equal requests, independent of attempt ids: method, host, path with query, caller and the
 * complete body. Headers mostly describe the attempt and are left out, except for the one that identifies the caller.
 */
import {createHash} from 'node:crypto';

/** The parts of a request that identify it. */
export interface DigestInput {
  readonly body: Uint8Array;
  /** Value that distinguishes callers that send the same request; empty if there is none. */
  readonly caller: string;
  readonly host: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
}

/** Number of base64url digits that are kept: 132 bits, so that no other request with the same digest can be found. */
const DIGEST_LENGTH = 22;

/**
 * Computes the digest of a request. Called only while there are suspects, since it hashes the whole body: 15 µs for 15 KB,
 * 3.6 ms for 4 MB.
 *
 * @param input the parts of the request
 */
export function requestDigest({body, caller, host, method, path}: DigestInput): string {
  // JSON keeps the parts separate, so that no two inputs yield the same text.
  const head = JSON.stringify([method, host.toLowerCase(), path, caller]);
  const hash = createHash('sha256').update(`${head}\n`).update(body);
  return hash.digest('base64url').slice(0, DIGEST_LENGTH);
}
