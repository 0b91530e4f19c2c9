/** Protocol-neutral form of the calls to a process, and the codec interface that a platform implements. */
import type {IncomingHttpHeaders} from 'node:http';
import type {VmId, ZoneId} from 'stallpaddle';
import type {
  EngineReport,
  EntryView,
  RemoveEngine,
  RetireAnswer,
  StoredConfig,
} from 'stallpaddle-fleet';
import type {ReadResult, SubmittedItem} from 'stallpaddle-jobs';
import type {RelayWire} from 'stallpaddle-relay';

import type {SuspectLists} from './NodeSuspectsHandler';

/** A request as received. */
export interface RawRequest {
  readonly body: Buffer;
  readonly headers: IncomingHttpHeaders;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
}

/** A response as sent. */
export interface RawResponse {
  readonly body?: string | Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
  readonly status: number;
}

/** A call that could not be decoded. */
export interface MalformedCall {
  readonly kind: 'bad';
  readonly message: string;
}

/** A call of an engine or the operator. */
export type ControlCall =
  | MalformedCall
  | {readonly config: StoredConfig; readonly kind: 'putConfig'}
  | RemoveEngine
  | {readonly kind: 'listSuspects'}
  | {readonly kind: 'readConfig'}
  | {readonly digest: string; readonly kind: 'releaseSuspect'}
  | {readonly kind: 'reportEngine'; readonly report: EngineReport}
  | {readonly kind: 'retireState'; readonly name: VmId}
  | {readonly kind: 'retireStore'; readonly name: VmId}
  | {readonly kind: 'unknown'};

/** Answer to a control call. */
export type ControlReply =
  | {readonly beatsTo: string | null; readonly kind: 'reported'}
  | {readonly config: StoredConfig; readonly kind: 'config'}
  | {readonly kind: 'done'}
  | {readonly kind: 'notFound'}
  | {readonly kind: 'refused'; readonly message: string}
  | {readonly kind: 'retire'; readonly state: RetireAnswer}
  | ({readonly kind: 'suspects'} & SuspectLists)
  | {readonly kind: 'unavailable'; readonly message: string};

/** A caller's call on an existing job. */
export type JobCall =
  | {readonly item: string; readonly job: string; readonly kind: 'readBody'}
  | {
      readonly from: number;
      readonly job: string;
      readonly kind: 'readResults';
      readonly waitMs: number;
    }
  | {readonly job: string; readonly kind: 'endJob'};

/** A job submission, without its host and path. */
export interface JobSubmission {
  readonly id: string;
  readonly items: readonly SubmittedItem[];
}

/** A caller's request for the addresses of entry VMs. */
export interface AddressQuestion {
  /** Availability zone of the caller; null when it names none. */
  readonly zone: null | ZoneId;
}

/** Translates between a platform's HTTP API and the calls of this module; contains no decisions. */
export interface NodeWire {
  readonly encodeAddresses: (entries: readonly EntryView[]) => RawResponse;
  readonly encodeControl: (reply: ControlReply) => RawResponse;
  readonly encodeResults: (
    total: number,
    next: number,
    results: readonly ReadResult[],
  ) => RawResponse;
  /** True for a readiness check. */
  readonly isReadyQuestion: (call: Omit<RawRequest, 'body'>) => boolean;
  /** A request for the addresses of entry VMs; null for any other request. */
  readonly readAddressQuestion: (call: Omit<RawRequest, 'body'>) => AddressQuestion | null;
  readonly readControl: (call: RawRequest) => ControlCall;
  /** The caller's key, undecoded; null for none. */
  readonly readKey: (headers: IncomingHttpHeaders) => string | null;
  /** Null for a request that is to be routed. */
  readonly readJobCall: (call: Omit<RawRequest, 'body'>) => JobCall | MalformedCall | null;
  readonly readSubmission: (call: RawRequest) => MalformedCall | JobSubmission;
  readonly relay: RelayWire;
}
