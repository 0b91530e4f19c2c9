/**
 * Typed errors that cross package borders.
 */
import {joinVerdicts, type Verdict} from './Verdict';

/** Machine-readable reason of a refusal; stable across releases. */
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

/** Optional facts that a caller can act on. */
export interface RefusalDetails {
  /** Line of the input at fault, from 1. */
  readonly line?: number;
  /** Setting or field at fault, such as `roles.0`. */
  readonly path?: string;
  /** When to come back, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

/** A request that ends without an answer from a backend server, or with a broken one. */
export class RefusalError extends Error {
  override readonly name = 'RefusalError';

  /**
   * @param code stable reason
   * @param verdict whether the request may have run
   * @param message one sentence for a person
   * @param details facts that a caller can act on
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
   * The same refusal after earlier attempts.
   *
   * @param earlier verdict of the attempts before
   */
  after(earlier: Verdict): RefusalError {
    const verdict = joinVerdicts(earlier, this.verdict);
    return new RefusalError(this.code, verdict, this.message, this.details);
  }

  /** HTTP status that stands for the code. */
  get status(): number {
    return HTTP_STATUS[this.code];
  }
}

/**
 * Builds a refusal of a request that no backend server saw.
 *
 * @param code stable reason
 * @param message one sentence for a person
 * @param details facts that a caller can act on
 */
export function refuse(
  code: ErrorCode,
  message: string,
  details: RefusalDetails = {},
): RefusalError {
  return new RefusalError(code, 'notRun', message, details);
}

/**
 * Text of anything that was thrown.
 *
 * @param err the caught value
 */
export function errorMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
