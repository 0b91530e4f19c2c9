/**
 * Tracks parts of prompts that may crash engines. Requests that share such a part may differ in everything else, and each
 * crash implicates every part of every request that was starting on the engine. Which part is the cause follows from
 * several exits together: a part that some engine runs past its start is no cause, and a part whose exits another part
 * explains needs no quarantine. Parts that engines have run before come last: they explain only what no other part does.
 * Pure functions.
 */
import type {GroupMs} from 'stallpaddle-replication';

import {
  FIRST_QUARANTINE_MS,
  incarnationName,
  levelAfterExit,
  MAX_QUARANTINE_MS,
  type NoteEngineEnd,
  QUARANTINE_LEVEL,
  SUSPECT_TTL_MS,
} from './FleetSuspects';

/** A shared part of a prompt, as a sender knew it when its run started. */
export interface KnownPart {
  /** Suspicion level. */
  readonly known: number;
  readonly part: string;
  /** Whether engines have run requests of the sender with this part past their start lately. */
  readonly served: boolean;
}

/** Clears parts: an engine ran a request with them past its start, or an operator released them. */
export interface ReleaseParts {
  readonly by: 'engine' | 'operator';
  readonly kind: 'releaseParts';
  readonly parts: readonly string[];
}

/** Asks for the one request of the whole fleet that may next be run with quarantined parts. */
export interface TryParts {
  readonly kind: 'tryParts';
  readonly parts: readonly string[];
  /** Number of earlier trials that the sender knows of; of several senders, only the first gets the trial. */
  readonly trials: number;
}

/** An engine that exited while it was starting requests with the part. */
export interface PartExit {
  readonly incarnation: string;
  /** Digests of the requests. */
  readonly requests: readonly string[];
}

/** A suspect part as stored in the replicated state. */
export interface FleetSuspectPart {
  /** The latest exits, one for each engine incarnation. */
  readonly exits: readonly PartExit[];
  /** Distinct levels that senders knew when their runs started; see `FleetSuspect`. */
  readonly knowns: readonly number[];
  /** Number of consecutive exits; 0 for a part that is only remembered as served. */
  readonly level: number;
  readonly part: string;
  /** Whether any sender has seen an engine run it past its start before. */
  readonly served: boolean;
  /** Time of the latest exit or trial, by the group's clock; the delay of the next trial starts there. */
  readonly since: GroupMs;
  /** Number of trials since it became a suspect. */
  readonly trials: number;
  /** Number of those after which an engine exited; one that ended otherwise shows nothing. */
  readonly failedTrials: number;
  /** When it is dropped, by the group's clock. */
  readonly until: GroupMs;
}

/** A suspect part as published to all processes. */
export interface SuspectPartView {
  /**
   * Name of the quarantined group that the part belongs to; null while it is not quarantined. A request is held if it has all
   * parts of a group: as long as they always occurred together, only a request without some of them tells them apart.
   */
  readonly group: null | string;
  readonly level: number;
  readonly part: string;
  /** Delay of the next trial after the latest one or after the quarantine, in milliseconds. */
  readonly trialDelayMs: number;
  readonly trials: number;
}

/** A suspect part as shown to an operator. */
export interface SuspectPartDetails extends SuspectPartView {
  /** The latest engine incarnations that exited. */
  readonly ended: readonly string[];
  /** Time until it is dropped, in milliseconds. */
  readonly leftMs: number;
}

/** Suspect parts by id, the least recently changed first. */
export type FleetSuspectParts = ReadonlyMap<string, FleetSuspectPart>;

/** Bounds the replicated state. */
const MAX_PARTS = 4_096;
/** Exits kept for each part. */
const MAX_EXITS_KEPT = 16;
/** Requests kept for each exit. */
const MAX_REQUESTS_KEPT = 8;

/**
 * Delays before the first trials, in milliseconds; later ones take as long as the quarantine of a request. Each trial of a
 * part that does crash engines interrupts all requests of one more engine.
 */
const FIRST_TRIAL_DELAYS_MS = [10_000, 60_000] as const;
/** The same for a part that engines have run before: many requests may share it, and it is rarely the cause. */
const SERVED_TRIAL_DELAYS_MS = [1_000, ...FIRST_TRIAL_DELAYS_MS] as const;
/** Time for which a part that was cleared counts as one that engines have run, in milliseconds. */
const SERVED_MS = 600_000;

/**
 * Delay of the next trial of quarantined parts, in milliseconds. A part that is quarantined by mistake is cleared by its
 * first trial; one that crashes engines crashes one more with each.
 *
 * @param suspect whether engines have run the part before, and number of trials after which an engine exited
 */
export function partTrialDelayMs({
  failedTrials,
  served,
}: Pick<FleetSuspectPart, 'failedTrials' | 'served'>): number {
  const first = served ? SERVED_TRIAL_DELAYS_MS : FIRST_TRIAL_DELAYS_MS;
  const later = failedTrials - first.length;
  return first[failedTrials] ?? Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** later);
}

/** A quarantined part outlasts its next trial, and is dropped when nobody asks for that. */
function lifeMs(suspect: Pick<FleetSuspectPart, 'failedTrials' | 'level' | 'served'>): number {
  return suspect.level >= QUARANTINE_LEVEL
    ? partTrialDelayMs(suspect) + FIRST_QUARANTINE_MS
    : SUSPECT_TTL_MS;
}

function evictBeyondLimit(suspects: FleetSuspectParts): FleetSuspectParts {
  if (suspects.size <= MAX_PARTS) {
    return suspects;
  }
  const all = [...suspects.values()];
  const evicted = all.find(({level}) => level < QUARANTINE_LEVEL) ?? all[0]!;
  const kept = new Map(suspects);
  kept.delete(evicted.part);
  return kept;
}

function withPart(suspects: FleetSuspectParts, suspect: FleetSuspectPart): FleetSuspectParts {
  const next = new Map(suspects);
  // Deleting first moves the part to the end of the insertion order.
  next.delete(suspect.part);
  return evictBeyondLimit(next.set(suspect.part, suspect));
}

/** Adds a request to an exit that another one has reported. */
function withRequest(suspect: FleetSuspectPart, incarnation: string, request: string) {
  const exits = suspect.exits.map((exit) =>
    exit.incarnation === incarnation && !exit.requests.includes(request)
      ? {...exit, requests: [...exit.requests, request].slice(0, MAX_REQUESTS_KEPT)}
      : exit,
  );
  return {...suspect, exits};
}

/** A suspect that no exit has been counted against yet. */
function newSuspect(part: string): FleetSuspectPart {
  const counts = {failedTrials: 0, level: 0, since: 0, trials: 0, until: 0};
  return {...counts, exits: [], knowns: [], part, served: false};
}

function afterExitWith(
  suspects: FleetSuspectParts,
  {known, part, served}: KnownPart,
  {digest, ...end}: NoteEngineEnd,
  now: GroupMs,
): FleetSuspectParts {
  const incarnation = incarnationName(end);
  const before = suspects.get(part) ?? newSuspect(part);
  if (before.exits.some((exit) => exit.incarnation === incarnation)) {
    return new Map(suspects).set(part, withRequest(before, incarnation, digest));
  }
  const {failedTrials, trials} = before;
  const next = {
    ...before,
    ...levelAfterExit(before, known),
    exits: [...before.exits, {incarnation, requests: [digest]}].slice(-MAX_EXITS_KEPT),
    failedTrials: Math.min(trials, failedTrials + 1),
    served: served || before.served,
    since: now,
  };
  return withPart(suspects, {...next, until: Math.max(before.until, now + lifeMs(next))});
}

/**
 * Counts an engine's exit against the shared parts of a request that the engine was starting.
 *
 * @param suspects suspect parts before
 * @param end the exit
 * @param now the group's clock
 */
export function afterPartsEnd(
  suspects: FleetSuspectParts,
  end: NoteEngineEnd,
  now: GroupMs,
): FleetSuspectParts {
  return (end.parts ?? []).reduce((next, known) => afterExitWith(next, known, end, now), suspects);
}

/**
 * Clears released parts. Those that an engine has run are remembered as such for some time.
 *
 * @param suspects suspect parts before
 * @param release the parts
 * @param now the group's clock
 */
export function afterPartsRelease(
  suspects: FleetSuspectParts,
  {by, parts}: ReleaseParts,
  now: GroupMs,
): FleetSuspectParts {
  if (!parts.some((part) => suspects.has(part))) {
    return suspects;
  }
  const next = new Map(suspects);
  for (const part of parts) {
    const wasKnown = next.delete(part);
    if (wasKnown && by === 'engine') {
      next.set(part, {...newSuspect(part), served: true, until: now + SERVED_MS});
    }
  }
  return next;
}

/**
 * Grants a trial of quarantined parts.
 *
 * @param suspects suspect parts before
 * @param request the parts, and the trials that the sender knows of
 * @param now the group's clock
 * @returns undefined if the trial is denied: it is not due yet, another sender got it, or the parts have changed
 */
export function afterPartsTrial(
  suspects: FleetSuspectParts,
  {parts, trials}: TryParts,
  now: GroupMs,
): FleetSuspectParts | undefined {
  const tried = parts.flatMap((part) => suspects.get(part) ?? []);
  const known = Math.max(...tried.map((suspect) => suspect.trials));
  const since = Math.max(...tried.map((suspect) => suspect.since));
  const isQuarantined = tried.every(({level}) => level >= QUARANTINE_LEVEL);
  const isDue = now >= since + Math.max(...tried.map(partTrialDelayMs));
  if (tried.length !== parts.length || !isQuarantined || known !== trials || !isDue) {
    return undefined;
  }
  return tried.reduce((next, suspect) => {
    const after = {...suspect, since: now, trials: trials + 1};
    return withPart(next, {...after, until: now + lifeMs(after)});
  }, suspects);
}

/**
 * Drops suspect parts whose time has expired.
 *
 * @param suspects suspect parts before
 * @param now the group's clock
 */
export function afterPartsTick(suspects: FleetSuspectParts, now: GroupMs): FleetSuspectParts {
  const kept = [...suspects].filter(([, {until}]) => now < until);
  return kept.length === suspects.size ? suspects : new Map(kept);
}
