/** State machine of batch jobs. */
import type {MachineResult, PlacedBlob, ReplicaMachine} from 'stallpaddle-replication';

import {Map as ImmutableMap, List} from 'immutable';
import {decodeValue, encodeValue, unreachable} from 'stallpaddle';
import {type BlobRef, placeBlob} from 'stallpaddle-storage';

import type {
  ItemEnd,
  ItemProgress,
  Job,
  JobId,
  JobItem,
  JobName,
  JobsAnswer,
  JobsChange,
  JobsCommand,
  JobsState,
  ProgressPart,
  Submission,
} from './JobsTypes';

import {findJob, jobIdOf, waitingKey} from './JobsNames';

const EMPTY_JOBS: JobsState = {
  blobEnd: 0,
  clockMs: 0,
  jobs: ImmutableMap(),
  open: ImmutableMap(),
  waitingTokens: ImmutableMap(),
};

const DONE: JobsAnswer = {kind: 'done'};

/** State under construction while a command is applied, and the bulk data that the command stores. */
interface Draft {
  readonly blobs: PlacedBlob[];
  state: JobsState;
}

function $place(draft: Draft, payload: Uint8Array): BlobRef {
  const {end, ref} = placeBlob(draft.state.blobEnd, payload.length);
  draft.blobs.push({payload, ref});
  draft.state = {...draft.state, blobEnd: end};
  return ref;
}

function $addWaiting(
  draft: Draft,
  {customer, route}: Pick<Job, 'customer' | 'route'>,
  tokens: number,
): void {
  const {waitingTokens} = draft.state;
  const key = waitingKey(route, customer);
  const total = (waitingTokens.get(key) ?? 0) + tokens;
  draft.state = {
    ...draft.state,
    waitingTokens: total > 0 ? waitingTokens.set(key, total) : waitingTokens.remove(key),
  };
}

function tokensOf(items: readonly {readonly tokens: number}[]): number {
  return items.reduce((sum, {tokens}) => sum + tokens, 0);
}

function openItems(job: Job): readonly JobItem[] {
  return job.items.filter(({outcome}) => outcome === null);
}

function $submit(draft: Draft, submission: Submission, maxWaitingTokens: number): JobsAnswer {
  const {clockMs, waitingTokens} = draft.state;
  const {customer, host, path, route} = submission;
  const name = {customer, job: submission.id};
  if (findJob(draft.state, name) !== undefined) {
    return {kind: 'accepted', repeated: true};
  }
  const tokens = tokensOf(submission.items);
  const id = jobIdOf(name);
  const waiting = waitingTokens.get(waitingKey(route, customer)) ?? 0;
  if (maxWaitingTokens > 0 && waiting + tokens > maxWaitingTokens) {
    return {kind: 'overQuota', waitingTokens: waiting};
  }
  const items = submission.items.map((item): JobItem => ({
    ...item,
    body: $place(draft, item.body),
    failures: 0,
    outcome: null,
    progress: null,
  }));
  const job: Job = {
    acceptedAt: clockMs,
    ...(customer === undefined ? {} : {customer}),
    ended: false,
    host,
    id,
    items,
    path,
    results: List(),
    route,
  };
  $addWaiting(draft, job, tokens);
  draft.state = {...draft.state, jobs: draft.state.jobs.set(id, job)};
  if (items.length > 0) {
    draft.state = {...draft.state, open: draft.state.open.set(id, true)};
  }
  return {kind: 'accepted', repeated: false};
}

function $replaceJob(draft: Draft, job: Job): void {
  const isOpen = !job.ended && openItems(job).length > 0;
  const {jobs, open} = draft.state;
  draft.state = {
    ...draft.state,
    jobs: jobs.set(job.id, job),
    open: isOpen ? open : open.remove(job.id),
  };
}

/**
 * Recorded output that a part or an end continues: none if the item has restarted since.
 *
 * @returns undefined for a part or an end from before a restart
 */
function continuedProgress(
  {progress}: JobItem,
  {restarts = 0}: Pick<ProgressPart, 'restarts'>,
): Pick<ItemProgress, 'events' | 'parts'> | undefined {
  const recorded = progress?.restarts ?? 0;
  if (restarts < recorded) {
    return undefined;
  }
  return restarts === recorded && progress !== null ? progress : {events: 0, parts: []};
}

/**
 * Parts of a completed item's output: the recorded ones and the rest from its end. The end may repeat events that a
 * progress record of unknown outcome has already stored; these are skipped.
 */
function $placeOutput(
  draft: Draft,
  {after, data}: ItemEnd,
  {events, parts}: Pick<ItemProgress, 'events' | 'parts'>,
): BlobRef[] {
  const rest = data.slice(events - after);
  return rest.length === 0 ? [...parts] : [...parts, $place(draft, Buffer.from(rest.join('\n')))];
}

/** Ends an item; only the first end counts. */
function $endItem(draft: Draft, end: ItemEnd): void {
  const {after, item, job: id, outcome} = end;
  const job = draft.state.jobs.get(id);
  const known = job?.items[item];
  if (job === undefined || known === undefined || known.outcome !== null || job.ended) {
    return;
  }
  const progress = continuedProgress(known, end);
  // Without a record of all earlier events the output would have a gap.
  if (outcome === 'completed' && (progress === undefined || after > progress.events)) {
    return;
  }
  const texts =
    outcome === 'completed' && progress !== undefined ? $placeOutput(draft, end, progress) : [];
  const items = job.items.map((other, at) =>
    at === item ? {...known, outcome, progress: null} : other,
  );
  $addWaiting(draft, job, -known.tokens);
  $replaceJob(draft, {...job, items, results: job.results.push({item, outcome, texts})});
}

function $countFailure(draft: Draft, id: JobId, item: number): void {
  const job = draft.state.jobs.get(id);
  const known = job?.items[item];
  if (job !== undefined && known !== undefined) {
    const failed = {...known, failures: known.failures + 1};
    const items = job.items.map((other, at) => (at === item ? failed : other));
    $replaceJob(draft, {...job, items});
  }
}

function $saveProgress(draft: Draft, part: ProgressPart): void {
  const job = draft.state.jobs.get(part.job);
  const known = job?.items[part.item];
  if (job === undefined || job.ended || known === undefined || known.outcome !== null) {
    return;
  }
  const continued = continuedProgress(known, part);
  if (continued === undefined || part.after !== continued.events) {
    return;
  }
  const {events, lastEvent, restarts, softwareVersion} = part;
  const progress = {
    events: continued.events + events,
    lastEvent,
    parts: [...continued.parts, $place(draft, part.text)],
    ...(restarts === undefined ? {} : {restarts}),
    ...(softwareVersion === undefined ? {} : {softwareVersion}),
  };
  const items = job.items.map((other, at) => (at === part.item ? {...known, progress} : other));
  $replaceJob(draft, {...job, items});
}

function $endJob(draft: Draft, name: JobName): JobsAnswer {
  const job = findJob(draft.state, name);
  if (job === undefined) {
    return {kind: 'unknownJob'};
  }
  if (!job.ended) {
    $addWaiting(draft, job, -tokensOf(openItems(job)));
    $replaceJob(draft, {...job, ended: true});
  }
  return DONE;
}

function $change(draft: Draft, change: JobsChange): JobsAnswer {
  switch (change.kind) {
    case 'countFailure':
      $countFailure(draft, change.job, change.item);
      return DONE;
    case 'endItems':
      change.ends.forEach((end) => $endItem(draft, end));
      return DONE;
    case 'endJob':
      return $endJob(draft, change);
    case 'saveProgress':
      change.parts.forEach((part) => $saveProgress(draft, part));
      return DONE;
    case 'submit':
      return $submit(draft, change.submission, change.maxWaitingTokens);
    case 'tick':
      return DONE;
    default:
      return unreachable(change);
  }
}

/**
 * Applies a command.
 *
 * @param state the current state
 * @param command the command
 * @param elapsedMs time since the previous command, in milliseconds
 */
export function updateJobs(
  state: JobsState,
  {change}: JobsCommand,
  elapsedMs: number,
): MachineResult<JobsState> {
  const draft: Draft = {blobs: [], state: {...state, clockMs: state.clockMs + elapsedMs}};
  const result = $change(draft, change);
  return {blobs: draft.blobs, result, state: draft.state};
}

interface EncodedJobs {
  readonly blobEnd: number;
  readonly clockMs: number;
  readonly jobs: readonly (Omit<Job, 'results'> & {readonly results: readonly unknown[]})[];
  readonly open: readonly JobId[];
  readonly waitingTokens: readonly (readonly [string, number])[];
}

/**
 * Replicated state machine of batch jobs. Bodies and texts are stored in the segment files, at offsets that depend only
 * on the sequence of commands. All commands are idempotent except `countFailure`.
 */
export const jobsMachine: ReplicaMachine<JobsState> = {
  apply: (state, command, elapsedMs) =>
    updateJobs(state, decodeValue<JobsCommand>(command), elapsedMs),
  blobEnd: ({blobEnd}) => blobEnd,
  decode: (bytes) => {
    const encoded = decodeValue<EncodedJobs>(bytes);
    const jobs = encoded.jobs.map((job) => ({...job, results: List(job.results)}) as Job);
    return {
      blobEnd: encoded.blobEnd,
      clockMs: encoded.clockMs,
      jobs: ImmutableMap(jobs.map((job) => [job.id, job])),
      open: ImmutableMap(encoded.open.map((id) => [id, true as const])),
      waitingTokens: ImmutableMap(encoded.waitingTokens),
    };
  },
  encode: ({blobEnd, clockMs, jobs, open, waitingTokens}) => {
    const encoded: EncodedJobs = {
      blobEnd,
      clockMs,
      jobs: [...jobs.values()].map((job) => ({...job, results: job.results.toArray()})),
      open: [...open.keys()],
      waitingTokens: [...waitingTokens],
    };
    return encodeValue(encoded);
  },
  initial: () => EMPTY_JOBS,
};
