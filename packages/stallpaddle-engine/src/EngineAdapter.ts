/**
 * Interface to backend servers, kept small so that further kinds of engines are easy to add.
 */
import type {Verdict} from 'stallpaddle';
import type {EngineLoad, WorkClass} from 'stallpaddle-routing';

/** A request to a backend server. */
export interface BackendRequest {
  /** Unique id of this attempt. */
  readonly attemptId: string;
  readonly body: Uint8Array;
  readonly contentType: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly repeatable: boolean;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly timeoutMs: number;
  readonly work: WorkClass;
}

/** A response whose headers have arrived. */
export interface BackendResponse {
  /** Throws a {@link BackendError} when the response is truncated. */
  readonly body: AsyncIterable<Uint8Array>;
  readonly contentType: string;
  readonly status: number;
}

/** Outcome of an order to load weights. */
export type OrderOutcome =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'oldFencing'}
  | {readonly kind: 'unknown'; readonly reason: string};

/** Load and weights that an engine reports. */
export interface EngineStatus {
  readonly load: EngineLoad;
  readonly loading: readonly string[];
}

/** Client of one backend server. */
export interface EngineAdapter {
  /**
   * Sends a request.
   *
   * @throws {BackendError} when the server refuses the request or sends no complete headers
   */
  readonly generate: (req: BackendRequest, signal: AbortSignal) => Promise<BackendResponse>;
  /** Orders the engine to load the target weights and unload all others. */
  readonly order: (target: readonly string[], fencing: number) => Promise<OrderOutcome>;
  /** Fetches load and weights. */
  readonly status: (timeoutMs: number) => Promise<EngineStatus>;
}

/** A request without a complete response from a backend server. */
export class BackendError extends Error {
  override readonly name = 'BackendError';

  /**
   * @param verdict whether the backend server may have run it
   * @param message error message
   * @param retryAfterMs delay before a retry that the backend server asked for, in milliseconds
   */
  constructor(
    readonly verdict: Verdict,
    message: string,
    readonly retryAfterMs?: number,
  ) {
    super(message);
  }
}
