/**
 * Tracks requests that may crash engines, by digest. Callers retry such a request at any VM, and each crash interrupts
 * all other requests of that engine, which are retried too. One exit therefore only makes a request a suspect; a second
 * exit, in an attempt that started when the first was known, quarantines it for some time. Pure functions.
 */
import type {EngineId} from 'stallpaddle';
import type {GroupMs} from 'stallpaddle-replication';

import type {KnownPart} from './FleetSuspectParts';

/** Records that an engine exited while it was starting a request. */
export interface NoteEngineEnd {
  /** Identifies the request across its attempts. */
  readonly digest: string;
  readonly engine: EngineId;
  readonly kind: 'noteEngineEnd';
  /** Level of the request that the sender knew when the attempt started. */
  readonly known: number;
  /** Parts of its prompt that other requests may share; absent in logs of earlier releases. */
  readonly parts?: readonly KnownPart[];
  /** The engine's incarnation that exited. */
  readonly startedAtMs: number;
}

/** Clears a suspect: an engine ran it past its start, so it doesn't crash every engine, or an operator released it. */
export interface ReleaseRequest {
  readonly by: 'engine' | 'operator';
  readonly digest: string;
  readonly kind: 'releaseRequest';
}

/** A suspect as stored in the replicated state. */
export interface FleetSuspect {
  readonly digest: string;
  /** The latest engine incarnations that exited, so that an exit reported by two VMs counts once. */
  readonly ended: readonly string[];
  /** Number of times it was quarantined; each time doubles the duration. */
  readonly holds: number;
  /**
   * Distinct levels that senders knew when their attempts started. Their number is a lower bound of consecutive exits
   * that doesn't depend on the order in which exits are reported.
   */
  readonly knowns: readonly number[];
  /** Number of consecutive exits; quarantined from {@link QUARANTINE_LEVEL} on. */
  readonly level: number;
  /** When the level is lowered, by the group's clock. */
  readonly until: GroupMs;
}

/** A suspect as published to all processes. */
export interface SuspectView {
  readonly digest: string;
  /** Total duration of its quarantine, in milliseconds; 0 while not quarantined. */
  readonly holdMs: number;
  readonly level: number;
}

/** A suspect as shown to an operator. */
export interface SuspectDetails extends SuspectView {
  /** The latest engine incarnations that exited. */
  readonly ended: readonly string[];
  /** Time until its level is lowered, in milliseconds. */
  readonly leftMs: number;
}

/** Suspects by digest, the least recently changed first. */
export type FleetSuspects = ReadonlyMap<string, FleetSuspect>;

/**
 * Level from which a request is quarantined: a third attempt risks another engine for at most one response. Innocent
 * requests that were interrupted by two consecutive exits are quarantined too: with one crashing request every 20 s, in a
 * model of 400,000 requests (`npm run blame`), 44 beside 349 causes at 6 engines, 1 beside 37 at 68, none at 740.
 */
export const QUARANTINE_LEVEL = 2;

/** Time for which one exit counts, in milliseconds; callers retry within seconds. */
export const SUSPECT_TTL_MS = 60_000;
/**
 * Duration of the first quarantine, in milliseconds; longer than callers keep retrying. Afterwards the request is on
 * trial for as long again, in which one more exit quarantines it for twice the time.
 */
export const FIRST_QUARANTINE_MS = 600_000;
/** Upper bound of the doubled duration, in milliseconds. */
export const MAX_QUARANTINE_MS = 86_400_000;
/** Bounds the replicated state. */
const MAX_SUSPECTS = 4_096;
/** Exits kept for each suspect to detect repeated reports. */
const MAX_EXITS_KEPT = 8;

function quarantineMs(holds: number): number {
  return Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** (holds - 1));
}

/**
 * Name of the engine incarnation that exited.
 *
 * @param end the exit
 */
export function incarnationName({
  engine,
  startedAtMs,
}: Pick<NoteEngineEnd, 'engine' | 'startedAtMs'>): string {
  return `${engine}@${startedAtMs}`;
}

/** Evicts one suspect beyond the limit: the oldest that is not quarantined, else the oldest. */
function evictBeyondLimit(suspects: FleetSuspects): FleetSuspects {
  if (suspects.size <= MAX_SUSPECTS) {
    return suspects;
  }
  const [oldest] = suspects.keys();
  const evicted =
    [...suspects.values()].find(({level}) => level < QUARANTINE_LEVEL)?.digest ?? oldest!;
  const kept = new Map(suspects);
  kept.delete(evicted);
  return kept;
}

/**
 * Raises a level by one exit. The level rises only for attempts whose sender knew of the earlier exits, and doesn't depend on
 * the order in which exits are reported.
 *
 * @param before the level, and the distinct levels that senders knew
 * @param known the level that the sender knew when the attempt started
 */
export function levelAfterExit(
  before: Pick<FleetSuspect, 'knowns' | 'level'>,
  known: number,
): Pick<FleetSuspect, 'knowns' | 'level'> {
  const knowns = [...new Set([...before.knowns, known])];
  // Reports may arrive out of order, which the number of distinct levels covers, or get lost, which the sender's known
  // level covers.
  const levelByKnown = known >= before.level ? before.level + 1 : before.level;
  return {knowns, level: Math.max(levelByKnown, knowns.length)};
}

/**
 * Counts an engine's exit against a request. The level rises only for attempts whose sender knew of the earlier exits,
 * so engines that exit at the same moment quarantine nothing. The order of the reports doesn't change the level.
 *
 * @param suspects suspects before
 * @param end the exit
 * @param now the group's clock
 */
export function afterEngineEnd(
  suspects: FleetSuspects,
  end: NoteEngineEnd,
  now: GroupMs,
): FleetSuspects {
  const {digest, known} = end;
  const before = suspects.get(digest);
  const incarnation = incarnationName(end);
  if (before?.ended.includes(incarnation) === true) {
    return suspects;
  }
  const {knowns: knownsBefore = [], level: levelBefore = 0} = before ?? {};
  const {knowns, level} = levelAfterExit({knowns: knownsBefore, level: levelBefore}, known);
  const isNewQuarantine = level >= QUARANTINE_LEVEL && levelBefore < QUARANTINE_LEVEL;
  const holds = (before?.holds ?? 0) + (isNewQuarantine ? 1 : 0);
  const ttlMs = level >= QUARANTINE_LEVEL ? quarantineMs(holds) : SUSPECT_TTL_MS;
  const ended = [...(before?.ended ?? []), incarnation].slice(-MAX_EXITS_KEPT);
  const until = Math.max(before?.until ?? 0, now + ttlMs);
  const next = new Map(suspects);
  next.delete(digest);
  next.set(digest, {digest, ended, holds, knowns, level, until});
  return evictBeyondLimit(next);
}

/** A suspect after its time has expired: a quarantined one is on trial, any other is dropped. */
function afterExpiry(suspect: FleetSuspect): FleetSuspect | undefined {
  const {holds, level, until} = suspect;
  return level >= QUARANTINE_LEVEL
    ? {...suspect, knowns: [0], level: QUARANTINE_LEVEL - 1, until: until + quarantineMs(holds)}
    : undefined;
}

/**
 * Expires suspects.
 *
 * @param suspects suspects before
 * @param now the group's clock
 */
export function afterTick(suspects: FleetSuspects, now: GroupMs): FleetSuspects {
  const isExpired = ({until}: FleetSuspect): boolean => now >= until;
  if (![...suspects.values()].some(isExpired)) {
    return suspects;
  }
  const next = [...suspects.values()].flatMap((suspect) => {
    const later = isExpired(suspect) ? afterExpiry(suspect) : suspect;
    return later === undefined ? [] : [[later.digest, later] as const];
  });
  return new Map(next);
}

/**
 * Removes a released suspect.
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
 * The form of a suspect that is published to all processes.
 *
 * @param suspect the suspect
 */
export function suspectView({digest, holds, level}: FleetSuspect): SuspectView {
  return {digest, holdMs: level >= QUARANTINE_LEVEL ? quarantineMs(holds) : 0, level};
}

/**
 * The form of a suspect that is shown to an operator.
 *
 * @param suspect the suspect
 * @param now the group's clock
 */
export function suspectDetails(suspect: FleetSuspect, now: GroupMs): SuspectDetails {
  const {ended, until} = suspect;
  return {...suspectView(suspect), ended, leftMs: Math.max(0, until - now)};
}
