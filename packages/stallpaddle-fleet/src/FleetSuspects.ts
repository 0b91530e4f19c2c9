/**
 * Requests during whose runs engines ended, by their digests. A request may end every engine that begins to run it, and
 * come again at any VM; whoever only knows its attempts brings it to one engine after the other, and each takes all else
 * that runs there along. What stands beside it is cut off too, and comes again as well. So one end makes a request a suspect
 * and no more; a second end, in a run that began when the first was known, holds it off the engines for some time. Pure.
 */
import type {EngineId} from 'stallpaddle';
import type {GroupMs} from 'stallpaddle-replication';

/** An engine has ended while it began to run a request. */
export interface NoteEngineEnd {
  /** The request, whatever attempt it was. */
  readonly digest: string;
  readonly engine: EngineId;
  readonly kind: 'noteEngineEnd';
  /** Level at which the request stood for its sender when the run began. */
  readonly known: number;
  /** Which of the engine's starts has ended. */
  readonly startedAtMs: number;
}

/** An engine has run a suspect past its begin, so that it doesn't end every engine; or an operator lets it go. */
export interface ReleaseRequest {
  readonly by: 'engine' | 'operator';
  readonly digest: string;
  readonly kind: 'releaseRequest';
}

/** A suspect as the group keeps it. */
export interface FleetSuspect {
  readonly digest: string;
  /** Starts of engines that have ended, the last ones; an end that two VMs tell of is one. */
  readonly ended: readonly string[];
  /** How often it was held so far: each time twice as long. */
  readonly holds: number;
  /** What senders knew when the runs began, each once: as many ends came one after the other, in whatever order they are told. */
  readonly knowns: readonly number[];
  /** Ends one after the other; {@link QUARANTINE_LEVEL} holds it off the engines. */
  readonly level: number;
  /** When the level is lowered, by the group's clock. */
  readonly until: GroupMs;
}

/** A suspect as all processes are told of it. */
export interface SuspectView {
  readonly digest: string;
  /** How long it is held in all, in milliseconds; 0 while it is not. */
  readonly holdMs: number;
  readonly level: number;
}

/** A suspect as an operator sees it. */
export interface SuspectDetails extends SuspectView {
  /** Starts of engines that have ended, the last ones. */
  readonly ended: readonly string[];
  /** Time until its level is lowered, in milliseconds. */
  readonly leftMs: number;
}

/** All suspects, those that were changed last behind the others. */
export type FleetSuspects = ReadonlyMap<string, FleetSuspect>;

/**
 * Level from which on a request is held off the engines. A third run costs an engine for seconds with up to all its slots, and
 * brings one answer at best. The price is who only stood beside two ends: with one request that ends engines every 20 s (a model
 * of 400,000 requests, `npm run blame`) 44 such requests for 349 causes at 6 engines, 1 for 37 at 68, none at 740; with each
 * engine ending once a minute by itself 41, 3 and 3. They were cut off twice already.
 */
export const QUARANTINE_LEVEL = 2;

/** Time for which one end counts, in milliseconds: callers that come again do so within seconds. */
const SUSPECT_MS = 60_000;
/**
 * First time for which a request is held, in milliseconds: no caller waits so long, and whoever repairs the engines has had a
 * look. It is on trial for as long again: one more end holds it twice as long.
 */
export const FIRST_QUARANTINE_MS = 600_000;
/** Longest such time, in milliseconds: a day. */
const LONGEST_HOLD_MS = 86_400_000;
/** Suspects that are kept; each end makes a dozen at most, and 740 engines end 50 times a day. */
const MOST_SUSPECTS = 4_096;
/** Ends that are remembered of each, so that one that is told again counts once. */
const ENDS_KEPT = 8;

function holdMs(holds: number): number {
  return Math.min(LONGEST_HOLD_MS, FIRST_QUARANTINE_MS * 2 ** (holds - 1));
}

function startName({engine, startedAtMs}: NoteEngineEnd): string {
  return `${engine}@${startedAtMs}`;
}

/** The suspects within bounds: those with one end go first, the oldest before others. */
function bounded(suspects: FleetSuspects): FleetSuspects {
  if (suspects.size <= MOST_SUSPECTS) {
    return suspects;
  }
  const [oldest] = suspects.keys();
  const least =
    [...suspects.values()].find(({level}) => level < QUARANTINE_LEVEL)?.digest ?? oldest!;
  const kept = new Map(suspects);
  kept.delete(least);
  return kept;
}

/**
 * Suspects after an engine's end. The level rises only by runs whose sender knew of more ends than those before: engines that
 * end at one moment, by whatever cause, hold nobody; and words that overtake each other change nothing.
 *
 * @param suspects suspects before
 * @param end the end
 * @param now the group's clock
 */
export function afterEngineEnd(
  suspects: FleetSuspects,
  end: NoteEngineEnd,
  now: GroupMs,
): FleetSuspects {
  const {digest, known} = end;
  const before = suspects.get(digest);
  const start = startName(end);
  if (before?.ended.includes(start) === true) {
    return suspects;
  }
  const levelBefore = before?.level ?? 0;
  const knowns = [...new Set([...(before?.knowns ?? []), known])];
  // The word of an end may be late, then the others count it; or lost, then whoever knew of as many counts.
  const counted = known >= levelBefore ? levelBefore + 1 : levelBefore;
  const level = Math.max(counted, knowns.length);
  const isNewHold = level >= QUARANTINE_LEVEL && levelBefore < QUARANTINE_LEVEL;
  const holds = (before?.holds ?? 0) + (isNewHold ? 1 : 0);
  const lastsMs = level >= QUARANTINE_LEVEL ? holdMs(holds) : SUSPECT_MS;
  const ended = [...(before?.ended ?? []), start].slice(-ENDS_KEPT);
  const until = Math.max(before?.until ?? 0, now + lastsMs);
  const next = new Map(suspects);
  next.delete(digest);
  next.set(digest, {digest, ended, holds, knowns, level, until});
  return bounded(next);
}

/** A suspect once its time is over: one that was held is on trial, any other is forgotten. */
function afterTime(suspect: FleetSuspect): FleetSuspect | undefined {
  const {holds, level, until} = suspect;
  return level >= QUARANTINE_LEVEL
    ? {...suspect, knowns: [0], level: QUARANTINE_LEVEL - 1, until: until + holdMs(holds)}
    : undefined;
}

/**
 * Suspects whose time is not over.
 *
 * @param suspects suspects before
 * @param now the group's clock
 */
export function afterTick(suspects: FleetSuspects, now: GroupMs): FleetSuspects {
  const isOver = ({until}: FleetSuspect): boolean => now >= until;
  if (![...suspects.values()].some(isOver)) {
    return suspects;
  }
  const next = [...suspects.values()].flatMap((suspect) => {
    const later = isOver(suspect) ? afterTime(suspect) : suspect;
    return later === undefined ? [] : [[later.digest, later] as const];
  });
  return new Map(next);
}

/**
 * Suspects without one that an engine has run to an end.
 *
 * @param suspects suspects before
 * @param release the request
 */
export function afterRelease(suspects: FleetSuspects, {digest}: ReleaseRequest): FleetSuspects {
  if (!suspects.has(digest)) {
    return suspects;
  }
  const next = new Map(suspects);
  next.delete(digest);
  return next;
}

/**
 * What all processes are told of a suspect.
 *
 * @param suspect the suspect
 */
export function suspectView({digest, holds, level}: FleetSuspect): SuspectView {
  return {digest, holdMs: level >= QUARANTINE_LEVEL ? holdMs(holds) : 0, level};
}

/**
 * What an operator is told of a suspect.
 *
 * @param suspect the suspect
 * @param now the group's clock
 */
export function suspectDetails(suspect: FleetSuspect, now: GroupMs): SuspectDetails {
  const {ended, until} = suspect;
  return {...suspectView(suspect), ended, leftMs: Math.max(0, until - now)};
}
