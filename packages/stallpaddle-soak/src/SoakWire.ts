/** Wire format between a soak and the fleet; the soak itself is independent of it. */
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

import type {ProbedRoute, SoakConfiguration, SoakService} from './SoakConfigurations';
import type {TakenUpStream} from './SoakStreams';
import type {SoakResult, SoakRoute} from './SoakTypes';

/** An HTTP request. */
export interface SoakCall {
  readonly body?: string | Uint8Array;
  readonly headers?: OutgoingHttpHeaders;
  readonly method: string;
  readonly path: string;
}

/** Report of an engine about itself. */
export interface EngineReport {
  readonly address: string;
  readonly isLeaving: boolean;
  readonly name: string;
  readonly service: SoakService;
  readonly sequence: number;
  readonly slots: number;
  readonly softwareVersion: string;
  /** Time of the engine's start, in Unix milliseconds. */
  readonly startedAt: number;
  readonly zone: string;
}

/** A request as an engine reads it. */
export interface EngineRequest {
  /** Name of the engine that the request is meant for; null if it names none. */
  readonly engine: null | string;
  readonly id: string;
  readonly resumeAfter: number;
}

/** Encodes the requests of callers, engines and the operator, and decodes the responses. */
export interface SoakWire {
  /** Queries the addresses that callers should use. */
  readonly addresses: SoakCall;
  readonly readAddresses: (body: string) => readonly string[];
  /** Queries whether a VM accepts callers. */
  readonly ready: SoakCall;
  /** Submits a complete configuration with all routes of a soak. */
  readonly configure: (configuration: SoakConfiguration) => SoakCall;
  /** Invalid variants of a configuration, by what is wrong with them. */
  readonly invalid: (configuration: SoakConfiguration) => Readonly<Record<string, SoakCall>>;
  /** Sends a request on a route that depends on the configuration. */
  readonly probe: (id: string, route: ProbedRoute, deadlineMs: number) => SoakCall;
  readonly readConfiguration: SoakCall;
  readonly readVersion: (body: string) => number;
  /** Sends an attempt with its own id; attempts with the same content belong to the same request. */
  readonly ask: (
    id: string,
    route: SoakRoute,
    deadlineMs: number,
    content: string,
    resumes?: TakenUpStream,
  ) => SoakCall;
  /** Whether a request may run only once, given the path at which an engine receives it. */
  readonly runsOnce: (path: string) => boolean;
  readonly submit: (job: string, items: readonly string[]) => SoakCall;
  readonly readJob: (job: string, from: number) => SoakCall;
  readonly readResults: (body: string) => {
    readonly results: readonly SoakResult[];
    readonly total: number;
  };
  readonly endJob: (job: string) => SoakCall;
  /** Reports an engine, including whether it drains. */
  readonly report: (engine: EngineReport) => SoakCall;
  readonly farewell: (engine: EngineReport) => SoakCall;
  readonly readEngineRequest: (headers: IncomingHttpHeaders) => EngineRequest | null;
  readonly engineHeaders: (id: string) => OutgoingHttpHeaders;
  /** Headers of a response by which an engine declines a request without running it. */
  readonly declineHeaders: (id: string) => OutgoingHttpHeaders;
  /** Path of an engine's occupancy. */
  readonly occupancyPath: string;
  readonly occupancy: (running: readonly string[], startedAt: number) => string;
}
