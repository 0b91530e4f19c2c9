/**
 * What the system needs of a backend server. Narrow, so that other engines can be put behind it.
 */
import type {Verdict} from 'stallpaddle';
import type {EngineLoad, WorkClass} from 'stallpaddle-routing';

/** A request on its way to a backend server. */
export interface BackendRequest {
  /** Binds the answer to this attempt; never used twice. */
  readonly attemptId: string;
  readonly body: Uint8Array;
  readonly contentType: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly repeatable: boolean;
  /** Time that the caller still waits, in milliseconds. */
  readonly timeoutMs: number;
  readonly work: WorkClass;
}

/** An answer whose head has arrived. */
export interface BackendResponse {
  /** Ends with an error when the answer breaks off. */
  readonly body: AsyncIterable<Uint8Array>;
  readonly contentType: string;
  readonly status: number;
}

/** Outcome of an order. */
export type OrderOutcome =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'oldFencing'}
  | {readonly kind: 'unknown'; readonly reason: string};

/** What an engine says of itself. */
export interface EngineStatus {
  readonly load: EngineLoad;
  readonly loading: readonly string[];
}

/** A backend server. */
export interface EngineAdapter {
  /**
   * Sends a request.
   *
   * @throws {BackendError} when no whole head arrives
   */
  readonly generate: (req: BackendRequest, signal: AbortSignal) => Promise<BackendResponse>;
  /** Orders the engine to hold exactly these weights. */
  readonly order: (target: readonly string[], fencing: number) => Promise<OrderOutcome>;
  /** Asks for load and weights. */
  readonly status: (timeoutMs: number) => Promise<EngineStatus>;
}

/** A request that got no whole answer from a backend server. */
export class BackendError extends Error {
  override readonly name = 'BackendError';

  /**
   * @param verdict whether the backend server may have run it
   * @param message one sentence for a person
   * @param retryAfterMs when the backend server asked to come back
   */
  constructor(
    readonly verdict: Verdict,
    message: string,
    readonly retryAfterMs?: number,
  ) {
    super(message);
  }
}
