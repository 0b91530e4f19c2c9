/**
 * What a soak says to the fleet and hears from it, in the words of whatever interface the fleet speaks. A soak knows no
 * words of its own.
 */
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

import type {SoakResult, SoakRoute} from './SoakTypes';

/** A call over HTTP. */
export interface SoakCall {
  readonly body?: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly method: string;
  readonly path: string;
}

/** What an engine says of itself. */
export interface EngineReport {
  readonly address: string;
  readonly isLeaving: boolean;
  readonly name: string;
  readonly sequence: number;
  readonly slots: number;
  /** Time of its start, in Unix milliseconds. */
  readonly startedAt: number;
  readonly zone: string;
}

/** A request as an engine reads it. */
export interface EngineRequest {
  /** The engine that it is meant for; null when it doesn't say. */
  readonly engine: null | string;
  readonly id: string;
  readonly resumeAfter: number;
}

/** See the module's comment. */
export interface SoakWire {
  /** Asks which VMs to use. */
  readonly addresses: SoakCall;
  readonly readAddresses: (body: string) => readonly string[];
  /** Asks whether a VM takes callers. */
  readonly ready: SoakCall;
  /** A whole configuration with all routes of a soak. */
  readonly configure: (version: number) => SoakCall;
  readonly readConfiguration: SoakCall;
  readonly readVersion: (body: string) => number;
  /** An attempt under a name of its own; attempts with the same content are the same request. */
  readonly ask: (id: string, route: SoakRoute, deadlineMs: number, content: string) => SoakCall;
  /** Whether a request may run once only, by the path at which an engine gets it. */
  readonly runsOnce: (path: string) => boolean;
  readonly submit: (job: string, items: readonly string[]) => SoakCall;
  readonly readJob: (job: string, from: number) => SoakCall;
  readonly readResults: (body: string) => {
    readonly results: readonly SoakResult[];
    readonly total: number;
  };
  readonly endJob: (job: string) => SoakCall;
  /** An engine's report, or its word that it leaves. */
  readonly report: (engine: EngineReport) => SoakCall;
  readonly farewell: (engine: EngineReport) => SoakCall;
  readonly readEngineRequest: (headers: IncomingHttpHeaders) => EngineRequest | null;
  readonly engineHeaders: (id: string) => OutgoingHttpHeaders;
  /** Headers of an engine's word that it has not run a request. */
  readonly declineHeaders: (id: string) => OutgoingHttpHeaders;
  /** Path at which an engine tells what it holds. */
  readonly occupancyPath: string;
  readonly occupancy: (running: readonly string[]) => string;
}
