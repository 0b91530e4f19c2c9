/**
 * Leases on chunks: grants, reports and expiry. An item's first final status is kept.
 */
import {invariant} from 'stallpaddle';

import type {LedgerDraft} from './LedgerDraft';
import type {
  ChunkReport,
  ChunkState,
  FileChunk,
  ItemEnd,
  LeasedChunk,
  LeaseToken,
  LedgerAnswer,
  LedgerCommand,
  LedgerJob,
  LedgerState,
} from './LedgerTypes';

import {expiryNow} from './LedgerClock';
import {MAX_ITEM_LOSSES} from './LedgerConstants';
import {$placeBlob, $putJob, addCount, completeWhenDone} from './LedgerDraft';
import {
  addLoss,
  copyItems,
  isFinal,
  itemLosses,
  itemStatus,
  openCount,
  setStatus,
} from './LedgerItems';
import {pickJob} from './LedgerOrder';

type Command<Type> = Extract<LedgerCommand, {type: Type}>;
type LeasedState = Extract<ChunkState, {kind: 'leased'}>;

/** Stride between chunks in the positions of `lineless`; a stored format. */
export const LINELESS_CHUNK_STRIDE = 256;

function fileChunk(draft: LedgerDraft, job: LedgerJob, chunk: number): FileChunk {
  const found = draft.files.get(job.fileId)?.chunks.get(chunk);
  invariant(found !== undefined, 'job %s has no chunk %s', job.id, chunk);
  return found;
}

function nextQueued(job: LedgerJob): number {
  let chunk = job.cursor;
  while (job.chunks.get(chunk)?.kind !== 'queued') {
    invariant(chunk < job.chunks.size, 'job %s has no queued chunk', job.id);
    chunk++;
  }
  return chunk;
}

function $grantChunk(draft: LedgerDraft, job: LedgerJob, command: Command<'lease'>): LeasedChunk {
  const chunk = nextQueued(job);
  const state = job.chunks.get(chunk)!;
  invariant(state.kind === 'queued', 'chunk %s of %s is not queued', chunk, job.id);
  const {items: count, ref} = fileChunk(draft, job, chunk);
  const token = draft.nextToken++;
  const leased: ChunkState = {items: state.items, kind: 'leased', token};
  $putJob(draft, {
    ...job,
    chunks: job.chunks.set(chunk, leased),
    cursor: chunk + 1,
    queuedChunks: job.queuedChunks - 1,
  });
  const until = expiryNow(draft, command.now) + command.leaseMs;
  draft.leases = draft.leases.set(token, {chunk, jobId: job.id, until, vm: command.vm});
  const open = Array.from({length: count}, (_, item) => item).filter(
    (item) => !isFinal(itemStatus(state.items, item)),
  );
  const {customer} = job;
  draft.served = draft.served.set(customer, (draft.served.get(customer) ?? 0) + open.length);
  return {
    chunk,
    customer,
    endpoint: job.endpoint,
    input: ref,
    items: open.map((item) => ({item, losses: itemLosses(state.items, item)})),
    jobId: job.id,
    model: job.model,
    repeatable: job.repeatable,
    token,
  };
}

/**
 * Grants leases on queued chunks until the requested number of items is reached.
 *
 * @param draft draft of the running command
 * @param command the requesting VM, its models and the number of items
 */
export function $lease(draft: LedgerDraft, command: Command<'lease'>): LedgerAnswer {
  const chunks: LeasedChunk[] = [];
  let remaining = command.maxItems;
  while (remaining > 0) {
    const job = pickJob(draft, command.models, command.now);
    if (job === undefined) {
      break;
    }
    const granted = $grantChunk(draft, job, command);
    chunks.push(granted);
    remaining -= granted.items.length;
  }
  return {chunks, kind: 'leased'};
}

/** Finds the chunk that a token holds; undefined when the lease is no longer valid. */
function findHeldChunk(
  draft: LedgerDraft,
  token: LeaseToken,
): {readonly chunk: number; readonly job: LedgerJob; readonly state: LeasedState} | undefined {
  const lease = draft.leases.get(token);
  const job = lease === undefined ? undefined : draft.jobs.get(lease.jobId);
  const state = job?.chunks.get(lease!.chunk);
  if (job?.status !== 'running' || state?.kind !== 'leased' || state.token !== token) {
    return undefined;
  }
  return {chunk: lease!.chunk, job, state};
}

/** Ends a chunk's lease and queues the chunk again unless all its items are final. */
function $returnChunk(
  draft: LedgerDraft,
  job: LedgerJob,
  chunk: number,
  token: LeaseToken,
  items: Uint8Array | null,
  now: number,
): void {
  draft.leases = draft.leases.remove(token);
  const open = openCount(items, fileChunk(draft, job, chunk).items);
  const next: ChunkState = open === 0 ? {kind: 'ended'} : {items, kind: 'queued'};
  const changed: LedgerJob = {
    ...job,
    chunks: job.chunks.set(chunk, next),
    cursor: open === 0 ? job.cursor : Math.min(job.cursor, chunk),
    queuedChunks: job.queuedChunks + (open === 0 ? 0 : 1),
  };
  $putJob(draft, completeWhenDone(changed, now));
}

/** Ends started items as `mayHaveRun`: once their lease has ended, whether they ran is unknown. */
function endStarted(job: LedgerJob, chunk: number, items: Uint8Array): LedgerJob {
  let next = job;
  for (let item = 0; item < items.length; item++) {
    if (itemStatus(items, item) === 'started') {
      setStatus(items, item, 'mayHaveRun');
      const lineless = next.lineless.push(chunk * LINELESS_CHUNK_STRIDE + item);
      next = {...next, counts: addCount(next.counts, 'mayHaveRun', 1), lineless};
    }
  }
  return next;
}

interface ResultLines {
  readonly errors: string[];
  readonly outputs: string[];
}

/** Records a loss or return of an item. Returns the item's final status, or undefined when it stays open. */
function applyItemReport(
  items: Uint8Array,
  report: ChunkReport['items'][number],
  job: LedgerJob,
): ItemEnd | undefined {
  if (report.kind === 'returned') {
    setStatus(items, report.item, 'open');
    return undefined;
  }
  if (report.kind !== 'lost') {
    return report.kind;
  }
  if (!job.repeatable && itemStatus(items, report.item) === 'started') {
    return 'mayHaveRun';
  }
  return addLoss(items, report.item) >= MAX_ITEM_LOSSES ? 'failed' : undefined;
}

function $applyItemReports(
  draft: LedgerDraft,
  job: LedgerJob,
  report: ChunkReport,
  items: Uint8Array,
): {readonly job: LedgerJob; readonly lines: ResultLines} {
  const lines: ResultLines = {errors: [], outputs: []};
  let {counts} = job;
  for (const entry of report.items) {
    if (!(entry.item in items) || isFinal(itemStatus(items, entry.item))) {
      draft.counters = {...draft.counters, doubledResults: draft.counters.doubledResults + 1};
      continue;
    }
    const end = applyItemReport(items, entry, job);
    if (end !== undefined) {
      setStatus(items, entry.item, end);
      counts = addCount(counts, end, 1);
      (end === 'done' ? lines.outputs : lines.errors).push(entry.line);
    }
  }
  return {job: {...job, counts}, lines};
}

function $storeLines(draft: LedgerDraft, job: LedgerJob, lines: ResultLines): LedgerJob {
  const store = (group: readonly string[], known: LedgerJob['outputs']): LedgerJob['outputs'] =>
    group.length === 0
      ? known
      : known.push($placeBlob(draft, Buffer.from(`${group.join('\n')}\n`)));
  return {
    ...job,
    errors: store(lines.errors, job.errors),
    outputs: store(lines.outputs, job.outputs),
  };
}

function $applyChunkReport(draft: LedgerDraft, report: ChunkReport, now: number): boolean {
  const held = findHeldChunk(draft, report.token);
  if (held === undefined || held.job.id !== report.jobId || held.chunk !== report.chunk) {
    const lateResults = draft.counters.lateResults + report.items.length;
    draft.counters = {...draft.counters, lateResults};
    return false;
  }
  const count = fileChunk(draft, held.job, held.chunk).items;
  const items = copyItems(held.state.items, count);
  const applied = $applyItemReports(draft, held.job, report, items);
  const job = $storeLines(draft, applied.job, applied.lines);
  if (report.release) {
    $returnChunk(draft, endStarted(job, held.chunk, items), held.chunk, report.token, items, now);
  } else if (openCount(items, count) === 0) {
    $returnChunk(draft, job, held.chunk, report.token, items, now);
  } else {
    const state: ChunkState = {...held.state, items};
    $putJob(draft, {...job, chunks: job.chunks.set(held.chunk, state)});
  }
  return true;
}

/**
 * Applies a VM's results, releases and lease renewals.
 *
 * @param draft draft of the running command
 * @param command the VM's report
 */
export function $report(draft: LedgerDraft, command: Command<'report'>): LedgerAnswer {
  const revoked: LeaseToken[] = [];
  for (const report of command.reports) {
    if (!$applyChunkReport(draft, report, command.now)) {
      revoked.push(report.token);
    }
  }
  for (const token of command.renew) {
    const lease = draft.leases.get(token);
    if (lease === undefined || lease.vm !== command.vm) {
      revoked.push(token);
      continue;
    }
    const until = Math.max(lease.until, expiryNow(draft, command.now) + command.leaseMs);
    draft.leases = draft.leases.set(token, {...lease, until});
  }
  return {kind: 'reported', revoked};
}

/**
 * Records that items of a non-repeatable job are about to be sent to an engine.
 *
 * @param draft draft of the running command
 * @param command lease and items
 * @returns the items that may be sent; none when the lease is no longer valid
 */
export function $startItems(draft: LedgerDraft, command: Command<'startItems'>): LedgerAnswer {
  const held = findHeldChunk(draft, command.token);
  if (held === undefined) {
    return {items: [], kind: 'started'};
  }
  const count = fileChunk(draft, held.job, held.chunk).items;
  const items = copyItems(held.state.items, count);
  // Items that are already started are included: only the lease holder asks, so this is a resent command.
  const started = command.items.filter(
    (item) => item in items && !isFinal(itemStatus(items, item)),
  );
  started.forEach((item) => setStatus(items, item, 'started'));
  const state: ChunkState = {...held.state, items};
  $putJob(draft, {...held.job, chunks: held.job.chunks.set(held.chunk, state)});
  return {items: started, kind: 'started'};
}

/**
 * Whether any lease has expired, so that an `expire` command is needed.
 *
 * @param state the shard
 * @param aheadMs time since the last command, in milliseconds
 */
export function hasExpiredLeases(state: LedgerState, aheadMs: number): boolean {
  const at = state.clockMs + aheadMs;
  return state.leases.some((lease) => lease.until <= at);
}

/**
 * Ends leases that were not renewed in time and queues their chunks again.
 *
 * @param draft draft of the running command
 * @param now time of the command
 */
export function $expireLeases(draft: LedgerDraft, now: number): void {
  const at = expiryNow(draft, now);
  for (const [token, lease] of draft.leases) {
    if (lease.until > at) {
      continue;
    }
    const held = findHeldChunk(draft, token);
    if (held === undefined) {
      draft.leases = draft.leases.remove(token);
      continue;
    }
    const expiredLeases = draft.counters.expiredLeases + 1;
    draft.counters = {...draft.counters, expiredLeases};
    const items = copyItems(held.state.items, fileChunk(draft, held.job, held.chunk).items);
    $returnChunk(draft, endStarted(held.job, held.chunk, items), held.chunk, token, items, now);
  }
}

/**
 * Removes all leases of a job.
 *
 * @param draft draft of the running command
 * @param job a job that is about to end
 */
export function $revokeLeases(draft: LedgerDraft, job: LedgerJob): void {
  for (const state of job.chunks) {
    if (state.kind === 'leased') {
      draft.leases = draft.leases.remove(state.token);
    }
  }
}
