/**
 * Software versions of engines. Engines of several versions may serve a service side by side, in no order, and a stream
 * or an item goes on only at the version that began it. Pure functions.
 */
import type {ReplicaId} from 'stallpaddle';
import type {GroupMs} from 'stallpaddle-replication';

import {isMajority} from 'stallpaddle-replication';

import type {FleetConfig, FleetEngine, FleetRoute} from './FleetTypes';
import type {EngineView, FleetStatus, FleetView} from './FleetView';

import {UNKNOWN_SOFTWARE} from './FleetTypes';

/** Software that began a stream or an item. */
export type EngineSoftware = Pick<FleetEngine, 'service' | 'softwareVersion'>;

/** Software whose last engine has left, by {@link softwareKey}, with the end of the time in which its streams may return. */
export type FormerSoftware = ReadonlyMap<string, GroupMs>;

/** Shortest time for which the software that began a stream is remembered, in milliseconds. */
const MIN_STREAM_LIFE_MS = 30_000;
/** A caller may take a stream up again shortly before its first attempt's time limit, and then gets as much time again. */
const LIMITS_PER_STREAM = 2;

/**
 * Name of a service's software version in lists of the fleet status.
 *
 * @param software the software
 */
export function softwareKey({service, softwareVersion}: EngineSoftware): string {
  return JSON.stringify([service, softwareVersion]);
}

function softwareOf(key: string): EngineSoftware {
  const [service, softwareVersion] = JSON.parse(key) as [string, string];
  return {service, softwareVersion};
}

function isResumable({kind, resumable}: FleetRoute): boolean {
  return kind === 'streaming' && resumable;
}

/**
 * Time from the first event of a stream after which no caller takes it up again, in milliseconds.
 *
 * @param config the configuration; null before the first
 */
export function streamLifeMs(config: null | Pick<FleetConfig, 'routes'>): number {
  const limits = (config?.routes ?? []).filter(isResumable).map(({timeoutMs}) => timeoutMs);
  return Math.max(MIN_STREAM_LIFE_MS, LIMITS_PER_STREAM * Math.max(0, ...limits));
}

function keysOf(engines: Iterable<FleetEngine>): ReadonlySet<string> {
  return new Set([...engines].map(softwareKey));
}

/**
 * Former software after a change of the engines.
 *
 * @param former former software before
 * @param before the engines before
 * @param after the engines after
 * @param until end of the time in which streams of software that leaves now may return
 */
export function afterEngineChange(
  former: FormerSoftware,
  before: Iterable<FleetEngine>,
  after: Iterable<FleetEngine>,
  until: GroupMs,
): FormerSoftware {
  const present = keysOf(after);
  const known = [...before].filter(({softwareVersion}) => softwareVersion !== UNKNOWN_SOFTWARE);
  const gone = [...keysOf(known)].filter((key) => !present.has(key));
  const kept = [...former].filter(([key]) => !present.has(key));
  return gone.length === 0 && kept.length === former.size
    ? former
    : new Map([...kept, ...gone.map((key) => [key, until] as const)]);
}

/**
 * Former software without entries whose time is over.
 *
 * @param former former software before
 * @param now the group's clock
 */
export function afterExpiry(former: FormerSoftware, now: GroupMs): FormerSoftware {
  const kept = [...former].filter(([, until]) => until > now);
  return kept.length === former.size ? former : new Map(kept);
}

/**
 * Whether an engine may get a stream or an item: any engine may begin it, only one of the same software version may go on.
 *
 * @param engine the engine
 * @param softwareVersion the version that began it; undefined before the first event
 */
export function mayContinue(
  engine: Pick<FleetEngine, 'softwareVersion'>,
  softwareVersion: string | undefined,
): boolean {
  return softwareVersion === undefined || engine.softwareVersion === softwareVersion;
}

/** Software versions by service. */
export type SoftwareByService = ReadonlyMap<string, ReadonlySet<string>>;

function byService(all: Iterable<EngineSoftware>): SoftwareByService {
  const versions = new Map<string, Set<string>>();
  for (const {service, softwareVersion} of all) {
    const known = versions.get(service) ?? new Set<string>();
    versions.set(service, known.add(softwareVersion));
  }
  return versions;
}

/**
 * Software versions of the engines that take requests.
 *
 * @param engines all engines
 */
export function servedSoftware(engines: readonly EngineView[]): SoftwareByService {
  return byService(engines.filter(({draining, silent}) => !draining && !silent));
}

/**
 * Software versions that may have begun streams which can still come back.
 *
 * @param status the fleet status
 */
export function recentSoftware({
  engines,
  formerSoftware,
}: Pick<FleetStatus, 'engines' | 'formerSoftware'>): SoftwareByService {
  return byService([...engines, ...formerSoftware.map(softwareOf)]);
}

/** What one replica of the control group knows of software. */
export interface SoftwareReading {
  readonly replica: ReplicaId;
  /** By {@link softwareKey}; includes registrations that may not be committed. */
  readonly software: readonly string[];
  /** Voters of the group, by this replica's log. */
  readonly voters: readonly ReplicaId[];
}

/**
 * Software versions that may have begun streams which can still come back, read without a leader. Each registration that
 * engines got requests by was committed by a majority, so every majority holds it. Memberships change by one voter at a time,
 * so those that follow each other share a voter of any two majorities.
 *
 * @param readings what replicas have answered
 * @returns undefined if no majority has answered
 */
export function provenSoftware(
  readings: readonly SoftwareReading[],
): SoftwareByService | undefined {
  const answered = new Set(readings.map(({replica}) => replica));
  const isProven = readings.every(({voters}) =>
    isMajority({learners: [], voters}, (voter) => answered.has(voter)),
  );
  return readings.length > 0 && isProven
    ? byService(readings.flatMap(({software}) => software).map(softwareOf))
    : undefined;
}

/**
 * Software versions that may have begun a stream of a route.
 *
 * @param route the route
 * @param recent versions by service
 */
export function versionsOfRoute(
  {split}: Pick<FleetRoute, 'split'>,
  recent: SoftwareByService,
): ReadonlySet<string> {
  return new Set(split.flatMap(({service}) => [...(recent.get(service) ?? [])]));
}

/**
 * Whether the version that began a stream does not follow from its route: a service, or the services of a route, have
 * several versions.
 *
 * @param view the fleet view
 */
export function hasMixedSoftware({config, news}: Pick<FleetView, 'config' | 'news'>): boolean {
  const recent = recentSoftware(news);
  return (
    [...recent.values()].some(({size}) => size > 1) ||
    (config?.routes ?? []).some(
      (route) => isResumable(route) && versionsOfRoute(route, recent).size > 1,
    )
  );
}
