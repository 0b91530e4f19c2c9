/**
 * A ledger shard as a pure, replicated state machine.
 */
import type {MachineResult, ReplicaMachine} from 'stallpaddle-replication';

import {Map as ImmutableMap, Set as ImmutableSet, List} from 'immutable';
import {decodeValue, encodeValue, unreachable} from 'stallpaddle';

import type {LedgerDraft} from './LedgerDraft';
import type {
  CallRecord,
  LedgerAnswer,
  LedgerCommand,
  LedgerFile,
  LedgerJob,
  LedgerState,
} from './LedgerTypes';

import {$dropCall, $dropOldCalls, $endCall, $startCall} from './LedgerCalls';
import {$advanceClock} from './LedgerClock';
import {UPLOAD_TIMEOUT_MS} from './LedgerConstants';
import {createDraft, finishDraft} from './LedgerDraft';
import {$appendFile, $dropExpiredUploads, $sealFile} from './LedgerFiles';
import {$cancelJob, $createJob} from './LedgerJobs';
import {$expireLeases, $lease, $report, $startItems} from './LedgerLeases';

/** State of an empty shard. */
export const EMPTY_LEDGER: LedgerState = {
  blobEnd: 0,
  calls: ImmutableMap<string, CallRecord>(),
  clockMs: 0,
  counters: {doubledResults: 0, expiredLeases: 0, lateResults: 0},
  files: ImmutableMap(),
  jobs: ImmutableMap(),
  keys: ImmutableMap(),
  leases: ImmutableMap(),
  nextToken: 1,
  runnable: ImmutableMap(),
  served: ImmutableMap(),
};

function $expire(draft: LedgerDraft, now: number): LedgerAnswer {
  $expireLeases(draft, now);
  $dropExpiredUploads(draft, now);
  $dropOldCalls(draft, now);
  return {kind: 'ok'};
}

function $applyCommand(draft: LedgerDraft, command: LedgerCommand): LedgerAnswer {
  switch (command.type) {
    case 'appendFile':
      return $appendFile(draft, command);
    case 'cancelJob':
      return $cancelJob(draft, command);
    case 'createJob':
      return $createJob(draft, command);
    case 'dropCall':
      return $dropCall(draft, command);
    case 'endCall':
      return $endCall(draft, command);
    case 'expire':
      return $expire(draft, command.now);
    case 'lease':
      return $lease(draft, command);
    case 'report':
      return $report(draft, command);
    case 'sealFile':
      return $sealFile(draft, command);
    case 'startCall':
      return $startCall(draft, command);
    case 'startItems':
      return $startItems(draft, command);
    default:
      return unreachable(command);
  }
}

/**
 * Applies one command.
 *
 * @param state current state
 * @param command the command
 * @param elapsedMs time since the previous command, in milliseconds
 */
export function updateLedger(
  state: LedgerState,
  command: LedgerCommand,
  elapsedMs: number,
): MachineResult<LedgerState> & {readonly result: LedgerAnswer} {
  const draft = createDraft(state);
  $advanceClock(draft, elapsedMs);
  const result = $applyCommand(draft, command);
  return {blobs: draft.placed, result, state: finishDraft(draft)};
}

interface EncodedLedger {
  readonly blobEnd: number;
  readonly calls: readonly (readonly [string, CallRecord])[];
  /** Missing in snapshots of releases without a shard clock. */
  readonly clockMs?: number;
  readonly counters: LedgerState['counters'];
  readonly files: readonly unknown[];
  readonly jobs: readonly unknown[];
  readonly keys: readonly (readonly [string, string])[];
  readonly leases: readonly (readonly [number, unknown])[];
  readonly nextToken: number;
  readonly served: readonly (readonly [string, number])[];
}

function encodeLedger(state: LedgerState): Uint8Array {
  const encoded: EncodedLedger = {
    blobEnd: state.blobEnd,
    calls: [...state.calls],
    clockMs: state.clockMs,
    counters: state.counters,
    files: [...state.files.values()].map((file) => ({...file, chunks: file.chunks.toArray()})),
    jobs: [...state.jobs.values()].map((job) => ({
      ...job,
      chunks: job.chunks.toArray(),
      errors: job.errors.toArray(),
      lineless: job.lineless.toArray(),
      outputs: job.outputs.toArray(),
    })),
    keys: [...state.keys],
    leases: [...state.leases],
    nextToken: state.nextToken,
    served: [...state.served],
  };
  return encodeValue(encoded);
}

type Plain<T> = {
  readonly [Key in keyof T]: T[Key] extends List<infer Item> ? readonly Item[] : T[Key];
};

/** Snapshots of releases without a shard clock hold no `openUntil`; it is derived from `createdAt`. */
type EncodedFile = Omit<Plain<LedgerFile>, 'openUntil'> & Partial<Pick<LedgerFile, 'openUntil'>>;

function decodeLedger(bytes: Uint8Array): LedgerState {
  const encoded = decodeValue<EncodedLedger>(bytes);
  const jobs = (encoded.jobs as readonly Plain<LedgerJob>[]).map((job): LedgerJob => ({
    ...job,
    chunks: List(job.chunks),
    errors: List(job.errors),
    lineless: List(job.lineless),
    outputs: List(job.outputs),
  }));
  const files = (encoded.files as readonly EncodedFile[]).map((file): LedgerFile => ({
    ...file,
    chunks: List(file.chunks),
    openUntil: file.openUntil ?? file.createdAt + UPLOAD_TIMEOUT_MS,
  }));
  const runnable = jobs
    .filter((job) => job.status === 'running' && job.queuedChunks > 0)
    .reduce(
      (index, job) => index.update(job.model, ImmutableSet<string>(), (known) => known.add(job.id)),
      ImmutableMap<string, ImmutableSet<string>>(),
    );
  return {
    blobEnd: encoded.blobEnd,
    calls: ImmutableMap(encoded.calls as [string, CallRecord][]),
    clockMs: encoded.clockMs ?? 0,
    counters: encoded.counters,
    files: ImmutableMap(files.map((file) => [file.id, file])),
    jobs: ImmutableMap(jobs.map((job) => [job.id, job])),
    keys: ImmutableMap(encoded.keys as [string, string][]),
    leases: ImmutableMap(encoded.leases as [number, never][]),
    nextToken: encoded.nextToken,
    runnable,
    served: ImmutableMap(encoded.served as [string, number][]),
  };
}

/** Adapts the shard to the replication interface, with its encoding of commands and snapshots. */
export const ledgerMachine: ReplicaMachine<LedgerState> = {
  apply: (state, command, elapsedMs) =>
    updateLedger(state, decodeValue<LedgerCommand>(command), elapsedMs),
  blobEnd: (state) => state.blobEnd,
  decode: decodeLedger,
  encode: encodeLedger,
  initial: () => EMPTY_LEDGER,
};
