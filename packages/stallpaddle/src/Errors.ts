/**
 * Typed errors shared between packages.
 */
import {joinVerdicts, type Verdict} from './Verdict';

/** Machine-readable reason for a refusal; stable across releases. */
export type ErrorCode =
  | 'alreadyFinal'
  | 'badRequest'
  | 'bodyTooLarge'
  | 'conflict'
  | 'deadlineExceeded'
  | 'engineFailed'
  | 'forbidden'
  | 'internal'
  | 'keyReused'
  | 'leaving'
  | 'modelNotFound'
  | 'notFound'
  | 'notLeader'
  | 'overloaded'
  | 'rateLimited'
  | 'stale'
  | 'unauthorized'
  | 'unavailable';

const HTTP_STATUS: Readonly<Record<ErrorCode, number>> = {
  alreadyFinal: 409,
  badRequest: 400,
  bodyTooLarge: 413,
  conflict: 409,
  deadlineExceeded: 504,
  engineFailed: 502,
  forbidden: 403,
  internal: 500,
  keyReused: 422,
  leaving: 503,
  modelNotFound: 404,
  notFound: 404,
  notLeader: 503,
  overloaded: 503,
  rateLimited: 429,
  stale: 503,
  unauthorized: 401,
  unavailable: 503,
};

/** Optional details that a caller can act on. */
export interface RefusalDetails {
  /** Invalid line of the input, from 1. */
  readonly line?: number;
  /** Invalid setting or field, such as `roles.0`. */
  readonly path?: string;
  /** Time after which to retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Error of a request that got no response from a backend server, or an incomplete one. */
export class RefusalError extends Error {
  override readonly name = 'RefusalError';

  /**
   * @param code stable reason
   * @param verdict whether the request may have run
   * @param message human-readable sentence
   * @param details optional details for the caller
   */
  constructor(
    readonly code: ErrorCode,
    readonly verdict: Verdict,
    message: string,
    readonly details: RefusalDetails = {},
  ) {
    super(message);
  }

  /**
   * Returns the same refusal with the verdict of earlier attempts included.
   *
   * @param earlier joint verdict of the earlier attempts
   */
  after(earlier: Verdict): RefusalError {
    const verdict = joinVerdicts(earlier, this.verdict);
    return new RefusalError(this.code, verdict, this.message, this.details);
  }

  /** HTTP status of the code. */
  get status(): number {
    return HTTP_STATUS[this.code];
  }
}

/**
 * Creates a refusal of a request that reached no backend server.
 *
 * @param code stable reason
 * @param message human-readable sentence
 * @param details optional details for the caller
 */
export function refuse(
  code: ErrorCode,
  message: string,
  details: RefusalDetails = {},
): RefusalError {
  return new RefusalError(code, 'notRun', message, details);
}

/**
 * Returns the message of any thrown value.
 *
 * @param err the caught value
 */
export function errorMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
