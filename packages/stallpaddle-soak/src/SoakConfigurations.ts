/** Contents of the configurations of a soak, and a check of which of them each VM obeys. Pure. */
import type {SoakBounds} from './SoakTypes';

/** Services of a soak: the second one has engines of its own and serves only the routes below. */
export const SERVICES = ['soak', 'soak-other'] as const;

/** Name of a service. */
export type SoakService = (typeof SERVICES)[number];

/** Part of a configuration that differs from version to version. */
export interface SoakConfiguration {
  /** Numbers of the added routes: each is in force for two versions. */
  readonly added: readonly number[];
  /** Service of the route that moves with each version. */
  readonly movedTo: SoakService;
  readonly version: number;
}

/** Route whose presence or service depends on the configuration. */
export type ProbedRoute =
  {readonly kind: 'added'; readonly number: number} | {readonly kind: 'moved'};

/** What a VM did with a probe; responses that show nothing about the configuration are not recorded. */
export type ProbeOutcome =
  {readonly kind: 'noRoute'} | {readonly kind: 'served'; readonly service: SoakService};

/** Time after which a VM must not fall back behind a version that it has obeyed, in milliseconds. */
const REVERT_SLACK_MS = 250;

/**
 * Returns the content of a configuration.
 *
 * @param version its version
 */
export function configurationOf(version: number): SoakConfiguration {
  return {
    added: [version - 1, version],
    movedTo: SERVICES[version % SERVICES.length]!,
    version,
  };
}

/**
 * Whether a probe may have had its outcome under a version.
 *
 * @param version the version
 * @param route the probed route
 * @param outcome what the VM did
 */
export function isConsistent(version: number, route: ProbedRoute, outcome: ProbeOutcome): boolean {
  const {added, movedTo} = configurationOf(version);
  switch (route.kind) {
    case 'added':
      return added.includes(route.number) === (outcome.kind === 'served');
    case 'moved':
      return outcome.kind === 'served' && outcome.service === movedTo;
  }
}

/** A response to a probe. */
export interface ProbeResult {
  readonly at: number;
  readonly outcome: ProbeOutcome;
  readonly route: ProbedRoute;
  readonly sentAt: number;
  readonly vm: string;
}

interface TimedVersion {
  readonly at: number;
  readonly version: number;
}

function highest(versions: readonly TimedVersion[], before: number): number {
  return versions
    .filter(({at}) => at < before)
    .reduce((best, {version}) => Math.max(best, version), 0);
}

/** Checks that confirmed configurations are in force, and that no VM goes back to an earlier one. */
export class SoakConfigurationCheck {
  private readonly accepted: TimedVersion[] = [];
  /** Versions that a VM has obeyed since the start of its process. */
  private readonly obeyed = new Map<string, TimedVersion[]>();
  private lastSent = 0;

  constructor(private readonly bounds: Pick<SoakBounds, 'applyMs'>) {}

  /** Records that a version was sent, and may be in force from now on. */
  noteSent(version: number): void {
    this.lastSent = Math.max(this.lastSent, version);
  }

  /** Records that a version was confirmed. */
  noteAccepted(at: number, version: number): void {
    this.accepted.push({at, version});
  }

  /** Records that a VM's process has ended; null for all. */
  noteProcessEnd(vm: null | string): void {
    if (vm === null) {
      this.obeyed.clear();
    } else {
      this.obeyed.delete(vm);
    }
  }

  /** Newest version that was sent. */
  get newest(): number {
    return this.lastSent;
  }

  /**
   * Newest version that must be in force when a call is sent.
   *
   * @param sentAt time of the call
   */
  dueAt(sentAt: number): number {
    return highest(this.accepted, sentAt - this.bounds.applyMs);
  }

  /**
   * Checks a response to a probe.
   *
   * @param result the response
   * @param isTimely whether confirmed versions must have reached the VM in time
   * @returns what is wrong; undefined if nothing is
   */
  check({at, outcome, route, sentAt, vm}: ProbeResult, isTimely: boolean): string | undefined {
    const seen = this.obeyed.get(vm) ?? [];
    const due = isTimely ? this.dueAt(sentAt) : 0;
    const lowest = Math.max(due, highest(seen, sentAt - REVERT_SLACK_MS));
    const versions = Array.from({length: this.lastSent}, (_, from) => from + 1);
    const possible = versions.filter((version) => isConsistent(version, route, outcome));
    const [obeyed] = possible.filter((version) => version >= lowest);
    if (obeyed !== undefined) {
      this.obeyed.set(vm, [...seen, {at, version: obeyed}]);
      return undefined;
    }
    const what = `${route.kind === 'added' ? `added route ${route.number}` : 'moved route'}`;
    const how = outcome.kind === 'served' ? `served by ${outcome.service}` : 'not found';
    return `${vm}, ${what}: ${how}, as in versions ${possible.slice(-3).join(' ')}; due is ${due}, obeyed was ${lowest}`;
  }
}
