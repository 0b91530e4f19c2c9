/**
 * What the relay must know of the words that callers and engines use. An adapter supplies it; the
 * relay itself knows no header by name but those of HTTP.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {EngineId} from 'stallpaddle';

/** What a caller says of its request. */
export interface CallerMetadata {
  /** What tells callers apart who send the same, such as a key; empty where nothing does. */
  readonly caller: string;
  /** How long the caller will wait, in milliseconds, where it says so. */
  readonly deadlineMs: number | null;
  /** The caller's name for this attempt. */
  readonly requestId: string;
  /** Last event that the caller already has, when it takes up a stream again. */
  readonly resumeAfter: string | null;
}

/** What an engine must be told with a request. */
export interface EngineCallMetadata {
  /** The customer in whose name the request runs; left out for none. */
  readonly customer?: string | undefined;
  /** Time left, in milliseconds; null when the caller named none and the work has none. */
  readonly deadlineMs: number | null;
  /** The engine that is meant: another one at its address must not run the request. */
  readonly engine: EngineId;
  readonly requestId: string;
  /** Last event that has arrived, when a stream goes on at another engine. */
  readonly resumeAfter: string | null;
}

/** What the head of an engine's answer tells. */
export interface ResponseMetadata {
  /** The engine itself says that it did not run the request. */
  readonly notRun: boolean;
  /** The address now belongs to another engine, which did not run the request. */
  readonly otherEngine: boolean;
  /** Name of the request that the answer belongs to. */
  readonly requestId: string | null;
  /** Whether the answer carries the engine's signature. */
  readonly signed: boolean;
}

/** What an engine says of its load. */
export interface EngineOccupancy {
  /** Names of the requests that run there, where it names them. */
  readonly running: readonly string[];
  /** Requests that it holds, also those that wait. */
  readonly total: number;
}

/** A call to an engine that is no request of a caller. */
export interface EngineControlRequest {
  readonly body: string;
  readonly method: string;
  readonly path: string;
}

/** One header line. */
export type HeaderLine = readonly [name: string, value: string];

/** See the module's comment. */
export interface RelayWire {
  /** Names of header lines in which a caller says who it is; where the fleet knows customers, none of them goes to an engine. */
  readonly callerHeaders: readonly string[];
  /** Header lines that the relay sets in place of any that the caller sent under these names. */
  readonly engineHeaders: (facts: EngineCallMetadata) => readonly HeaderLine[];
  /** Where an engine says how many requests it holds. */
  readonly occupancyPath: string;
  readonly readResponse: (status: number, headers: IncomingHttpHeaders) => ResponseMetadata;
  /** Null when the request lacks what it must carry. */
  readonly readCaller: (headers: IncomingHttpHeaders) => CallerMetadata | null;
  /** What an engine holds, by its own word; null when it can't be read. */
  readonly readOccupancy: (text: string) => EngineOccupancy | null;
  /** What a stopped run has left at its engine, by the answer to the order that stopped it; null for nothing. */
  readonly readRetainedState: (text: string) => null | string;
  /** Lets an engine forget what a stopped run has left. */
  readonly releaseRetainedState: (remains: string) => EngineControlRequest;
  /**
   * Stops a run whose connection nobody can close.
   *
   * @param requestId the run's request
   * @param other address of another engine of the service, which is offered what the run has in memory
   */
  readonly stopRun: (requestId: string, other: string) => EngineControlRequest;
}
