/**
 * Interface between the relay and the protocols of callers and engines. An adapter implements it; the relay itself
 * knows only the standard HTTP headers.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {EngineId} from 'stallpaddle';

/** Metadata of a caller's request. */
export interface CallerMetadata {
  /** Value that distinguishes callers that send the same request, such as a key; empty if there is none. */
  readonly caller: string;
  /** Time that the caller will wait, in milliseconds; null when it is not given. */
  readonly deadlineMs: number | null;
  /** Id of the attempt that brought the first event, when the caller resumes a stream; null when it is not given. */
  readonly firstAttempt: null | string;
  /** The caller's id for this attempt. */
  readonly requestId: string;
  /** Id of the last event that the caller already has, when it resumes a stream. */
  readonly resumeAfter: string | null;
  /** Ids of the parts of the prompt that other requests may share, in order; empty where a request names none. */
  readonly sharedParts: readonly string[];
}

/** Metadata that is sent to an engine with a request. */
export interface EngineCallMetadata {
  /** The customer on whose behalf the request runs; omitted for none. */
  readonly customer?: string | undefined;
  /** Remaining time in milliseconds; null when neither the caller nor the work has a deadline. */
  readonly deadlineMs: number | null;
  /** The intended engine: another one at its address must not run the request. */
  readonly engine: EngineId;
  readonly requestId: string;
  /** Id of the last event received, when a stream is resumed at another engine. */
  readonly resumeAfter: string | null;
}

/** Metadata in the head of an engine's response. */
export interface ResponseMetadata {
  /** The engine states that it did not run the request. */
  readonly notRun: boolean;
  /** The address now belongs to another engine, which did not run the request. */
  readonly otherEngine: boolean;
  /** Id of the request that the response belongs to. */
  readonly requestId: string | null;
  /** Whether the response carries the engine's signature. */
  readonly signed: boolean;
}

/** Load that an engine reports. */
export interface EngineOccupancy {
  /** Ids of the requests that run there, if the engine reports them. */
  readonly running: readonly string[];
  /** Start time of the engine's process, which identifies the start that reports; null where it doesn't name one. */
  readonly startedAtMs: null | number;
  /** Number of requests, including queued ones. */
  readonly total: number;
}

/** Control request to an engine. */
export interface EngineControlRequest {
  readonly body: string;
  readonly method: string;
  readonly path: string;
}

/** One HTTP header. */
export type HeaderLine = readonly [name: string, value: string];

/** Adapter that maps the relay's metadata to the headers and control requests of a protocol. */
export interface RelayWire {
  /**
   * Names of headers in which a caller identifies itself; never forwarded to an engine in a fleet that has customers.
   */
  readonly callerHeaders: readonly string[];
  /** Headers that the relay sets on a request to an engine, replacing any of the same name that the caller sent. */
  readonly engineHeaders: (metadata: EngineCallMetadata) => readonly HeaderLine[];
  /** Path at which an engine reports its occupancy. */
  readonly occupancyPath: string;
  /** Returns null when the request lacks required metadata. */
  readonly readCaller: (headers: IncomingHttpHeaders) => CallerMetadata | null;
  /** Parses an occupancy report; null when it is invalid. */
  readonly readOccupancy: (text: string) => EngineOccupancy | null;
  readonly readResponse: (status: number, headers: IncomingHttpHeaders) => ResponseMetadata;
  /** Reads from the response to a stop request which state the stopped run has left at its engine; null for none. */
  readonly readRetainedState: (text: string) => null | string;
  /** Reads which parts of a request's prompt other requests may share, for a request that is stored as an item. */
  readonly readSharedParts: (headers: IncomingHttpHeaders) => readonly string[];
  /** Control request that releases the state of a stopped run. */
  readonly releaseRetainedState: (state: string) => EngineControlRequest;
  /**
   * Control request that stops a run whose connection can't be closed.
   *
   * @param requestId id of the run's request
   * @param other address of another engine of the service, to which the run's state in memory is offered
   */
  readonly stopRun: (requestId: string, other: string) => EngineControlRequest;
}
