/**
 * Calls from outside as the processes understand them. An adapter translates the words of a platform
 * into these and back; it decides nothing.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {VmId} from 'stallpaddle';
import type {
  EngineReport,
  EntryView,
  RemoveEngine,
  RetireAnswer,
  StoredConfig,
  SuspectDetails,
} from 'stallpaddle-fleet';
import type {ReadResult, SubmittedItem} from 'stallpaddle-jobs';
import type {RelayWire} from 'stallpaddle-relay';

/** A call as it came. */
export interface RawRequest {
  readonly body: Buffer;
  readonly headers: IncomingHttpHeaders;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
}

/** An answer as it goes out. */
export interface RawResponse {
  readonly body?: string | Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
  readonly status: number;
}

/** A call that could not be read. */
export interface MalformedCall {
  readonly kind: 'bad';
  readonly message: string;
}

/** A call to a process that serves engines and the operator. */
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
  | {readonly kind: 'suspects'; readonly suspects: readonly SuspectDetails[]}
  | {readonly kind: 'unavailable'; readonly message: string};

/** A call of a caller that isn't a request for an engine. */
export type JobCall =
  | {readonly item: string; readonly job: string; readonly kind: 'readBody'}
  | {
      readonly from: number;
      readonly job: string;
      readonly kind: 'readResults';
      readonly waitMs: number;
    }
  | {readonly job: string; readonly kind: 'endJob'};

/** A submission, without the place that it was sent to. */
export interface JobSubmission {
  readonly id: string;
  readonly items: readonly SubmittedItem[];
}

/** See the module's comment. */
export interface NodeWire {
  readonly encodeAddresses: (entries: readonly EntryView[]) => RawResponse;
  readonly encodeControl: (reply: ControlReply) => RawResponse;
  readonly encodeResults: (
    total: number,
    next: number,
    results: readonly ReadResult[],
  ) => RawResponse;
  /** True for the question which VMs a caller may use. */
  readonly isAddressQuestion: (call: Omit<RawRequest, 'body'>) => boolean;
  /** True for the question whether the VM takes callers. */
  readonly isReadyQuestion: (call: Omit<RawRequest, 'body'>) => boolean;
  readonly readControl: (call: RawRequest) => ControlCall;
  /** The key that a caller shows, undecoded; null when it shows none. */
  readonly readKey: (headers: IncomingHttpHeaders) => string | null;
  /** Null for a request that a route must choose the way of. */
  readonly readJobCall: (call: Omit<RawRequest, 'body'>) => JobCall | null;
  readonly readSubmission: (call: RawRequest) => MalformedCall | JobSubmission;
  readonly relay: RelayWire;
}
