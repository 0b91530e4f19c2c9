/**
 * Selects which shared parts of prompts are quarantined: the fewest causes that explain the exits of engines. Pure functions.
 */
import type {GroupMs} from 'stallpaddle-replication';

import type {
  FleetSuspectPart,
  FleetSuspectParts,
  PartExit,
  SuspectPartDetails,
  SuspectPartView,
} from './FleetSuspectParts';

import {partTrialDelayMs} from './FleetSuspectParts';
import {type FleetSuspect, type FleetSuspects, QUARANTINE_LEVEL} from './FleetSuspects';

/**
 * Level and number of unexplained exits from which a part is quarantined that engines have run before. Many requests may
 * share such a part, so that a mistake refuses all of them.
 */
const SERVED_QUARANTINE_LEVEL = 4;

/** A possible cause, with the exits that no selected cause explains yet. */
type Candidate =
  | {
      readonly exits: readonly PartExit[];
      readonly kind: 'part';
      readonly level: number;
      readonly name: string;
      readonly served: boolean;
    }
  /** A request that crashed engines again and again; its own quarantine covers it. */
  | {readonly exits: readonly PartExit[]; readonly kind: 'request'; readonly name: string};

function partCandidate({exits, level, part, served}: FleetSuspectPart): Candidate {
  return {exits, kind: 'part', level, name: part, served};
}

function requestCandidate({digest, ended}: FleetSuspect): Candidate {
  const exits = ended.map((incarnation) => ({incarnation, requests: [digest]}));
  return {exits, kind: 'request', name: digest};
}

/** Whether a part explains more than one request that returns, which is itself the likelier cause of its exits. */
function isPlausible({exits, kind}: Candidate): boolean {
  const [first, ...others] = exits;
  if (first === undefined || others.length === 0) {
    return false;
  }
  const isSame = (request: string): boolean =>
    others.every(({requests}) => requests.includes(request));
  return kind === 'request' || !first.requests.some(isSame);
}

function exitsKey({exits}: Candidate): string {
  return exits
    .map(({incarnation}) => incarnation)
    .sort()
    .join(' ');
}

/** Whether the evidence is enough to quarantine a selected cause; otherwise it only explains exits. */
function isQuarantined(candidate: Candidate): boolean {
  const {exits, kind} = candidate;
  const needed = wasServed(candidate) ? SERVED_QUARANTINE_LEVEL : QUARANTINE_LEVEL;
  return kind === 'part' && candidate.level >= needed && exits.length >= needed;
}

function wasServed(candidate: Candidate): boolean {
  return candidate.kind === 'part' && candidate.served;
}

/**
 * The likeliest cause: one that engines have never run, then the one with most exits, then a request before a part, then by
 * name.
 */
function likeliest(candidates: readonly Candidate[]): Candidate | undefined {
  const [best] = [...candidates].sort(
    (a, b) =>
      Number(wasServed(a)) - Number(wasServed(b)) ||
      b.exits.length - a.exits.length ||
      Number(a.kind === 'part') - Number(b.kind === 'part') ||
      (a.name < b.name ? -1 : 1),
  );
  return best;
}

/** Candidates that are as likely as the best one: parts which always occurred together. */
function inseparableFrom(best: Candidate, candidates: readonly Candidate[]): readonly Candidate[] {
  const key = exitsKey(best);
  return best.kind === 'request'
    ? [best]
    : candidates.filter(
        (other) =>
          other.kind === 'part' && wasServed(other) === wasServed(best) && exitsKey(other) === key,
      );
}

/**
 * Selects the quarantined parts, greedily: the likeliest cause of unexplained exits first. Parts that always occurred together
 * form one group. Suspects with too little evidence to be quarantined explain exits as well.
 *
 * @param parts suspect parts
 * @param requests suspect requests, whose exits need no part to explain them
 * @returns the groups
 */
export function quarantinedGroups(
  parts: FleetSuspectParts,
  requests: FleetSuspects,
): readonly (readonly string[])[] {
  const groups: (readonly string[])[] = [];
  let candidates = [
    ...[...parts.values()].map(partCandidate),
    ...[...requests.values()].map(requestCandidate),
  ].filter(isPlausible);
  for (;;) {
    const best = likeliest(candidates);
    if (best === undefined) {
      return groups;
    }
    const group = inseparableFrom(best, candidates);
    if (group.every(isQuarantined)) {
      groups.push(group.map(({name}) => name).sort());
    }
    const explained = new Set(best.exits.map(({incarnation}) => incarnation));
    candidates = candidates
      .filter((candidate) => !group.includes(candidate))
      .map((candidate) => ({
        ...candidate,
        exits: candidate.exits.filter(({incarnation}) => !explained.has(incarnation)),
      }))
      .filter(isPlausible);
  }
}

/**
 * The form of the suspect parts that is published to all processes.
 *
 * @param parts suspect parts
 * @param requests suspect requests
 */
export function suspectPartViews(
  parts: FleetSuspectParts,
  requests: FleetSuspects,
): readonly SuspectPartView[] {
  const groups = new Map(
    quarantinedGroups(parts, requests).flatMap((group) => group.map((part) => [part, group[0]!])),
  );
  const suspects = [...parts.values()].filter(({level}) => level > 0);
  return suspects.map((suspect) => ({
    group: groups.get(suspect.part) ?? null,
    level: suspect.level,
    part: suspect.part,
    trialDelayMs: partTrialDelayMs(suspect),
    trials: suspect.trials,
  }));
}

/**
 * The form of the suspect parts that is shown to an operator.
 *
 * @param parts suspect parts
 * @param requests suspect requests
 * @param now the group's clock
 */
export function suspectPartDetails(
  parts: FleetSuspectParts,
  requests: FleetSuspects,
  now: GroupMs,
): readonly SuspectPartDetails[] {
  return suspectPartViews(parts, requests).map((view) => {
    const {exits, until} = parts.get(view.part)!;
    const ended = exits.map(({incarnation}) => incarnation);
    return {...view, ended, leftMs: Math.max(0, until - now)};
  });
}
