/**
 * Suspicion levels of requests that may crash engines.
 */
import type {Clock, LogFields, MonotonicMs} from 'stallpaddle';

import {delay, errorMessage} from 'stallpaddle';
import {
  type EngineView,
  FIRST_QUARANTINE_MS,
  type FleetAnswer,
  type KnownPart,
  type NoteEngineEnd,
  QUARANTINE_LEVEL,
  type ReleaseParts,
  type ReleaseRequest,
  type SuspectPartView,
  type SuspectView,
  type TryParts,
} from 'stallpaddle-fleet';

import type {RelayWire} from './RelayWire';

import {MAX_STARTING_EVENTS, STARTING_MS} from './RelayConstants';
import {hasExited} from './RelayProbe';
import {RelaySuspectParts} from './RelaySuspectParts';

/** What a process records for all others. */
type Finding = NoteEngineEnd | ReleaseParts | ReleaseRequest;

/** Dependencies of {@link RelaySuspects}. */
export interface RelaySuspectsOptions {
  readonly clock: Clock;
  /** Logs a finding on a request or item. */
  readonly decide: (id: string, fields: LogFields) => void;
  /** Engines of the current fleet view. */
  readonly engines: () => readonly EngineView[];
  /** Records a finding for all processes; rejects when it may not have been recorded. */
  readonly record: (finding: Finding) => Promise<unknown>;
  /** Waits for a fleet status that is at least as recent as the call. */
  readonly refresh: () => Promise<unknown>;
  /** Suspects of the current fleet status. */
  readonly reported: () => readonly SuspectView[];
  /** Suspect parts of the current fleet status. */
  readonly reportedParts: () => readonly SuspectPartView[];
  /** Asks the control group for a trial; rejects when it has no leader. */
  readonly requestTrial: (request: TryParts) => Promise<FleetAnswer>;
  readonly wire: RelayWire;
}

/** A run whose connection was interrupted. */
export interface InterruptedRun {
  readonly digest: string;
  readonly engine: EngineView;
  /** Id of the attempt or item, for the log. */
  readonly id: string;
  /** Suspicion level of the request when the run started. */
  readonly known: number;
  /** Parts of its prompt that other requests may share, with their levels when the run started. */
  readonly parts: readonly KnownPart[];
}

/** Suspicion level that this process has found itself. */
interface LocalLevel {
  readonly level: number;
  /** The level is used until then; by that time the fleet status includes the recorded finding. */
  until: MonotonicMs;
}

/**
 * Time for which a local finding is used after it was recorded, in milliseconds: longer than the fleet status takes
 * to include it.
 */
const RECORDED_VALID_MS = 2_000;

/**
 * Longest time that a run with suspect parts waits until the fleet status includes its engine's exit, in milliseconds: the
 * exit may quarantine them, and the next run would crash another engine. Longer than a record takes on busy VMs, shorter than
 * the time after which callers give a stream up.
 */
const MAX_SETTLE_MS = 1_500;

/** Maximum number of attempts to record a finding; an attempt may last half a minute while there is no leader. */
const MAX_RECORD_ATTEMPTS = 20;

/** Progress of a run. */
export interface RunProgress {
  /** Number of events received. */
  readonly events: number;
  /** When the first event, or the first byte of a response, arrived; undefined before. */
  readonly firstAt: MonotonicMs | undefined;
}

/**
 * Whether a run is still starting, so that an exit of its engine counts as evidence against its request.
 *
 * @param run progress of the run
 * @param now current time
 */
export function isStarting({events, firstAt}: RunProgress, now: MonotonicMs): boolean {
  return events <= MAX_STARTING_EVENTS && (firstAt === undefined || now - firstAt <= STARTING_MS);
}

/**
 * Suspicion levels of requests: from the fleet status, and from findings of this process that the fleet status
 * doesn't include yet.
 */
export class RelaySuspects {
  private reportedByDigest: ReadonlyMap<string, SuspectView> = new Map();
  private indexedSuspects: readonly SuspectView[] = [];
  private readonly localLevels = new Map<string, LocalLevel>();
  /** Shared parts of prompts that may crash engines. */
  readonly parts: RelaySuspectParts;

  /**
   * @param options dependencies
   */
  constructor(private readonly options: RelaySuspectsOptions) {
    const {clock, reportedParts: reported, requestTrial} = options;
    const release = (finding: ReleaseParts): Promise<void> => this.record(finding);
    this.parts = new RelaySuspectParts({clock, release, reported, requestTrial});
  }

  /** Whether there are no suspects, so that no digests need to be computed. */
  get isEmpty(): boolean {
    return this.localLevels.size === 0 && this.options.reported().length === 0;
  }

  /**
   * Suspicion level of a request; it is quarantined from {@link QUARANTINE_LEVEL} on.
   *
   * @param digest the request's digest
   */
  levelOf(digest: string): number {
    return Math.max(this.reported(digest)?.level ?? 0, this.localLevel(digest));
  }

  /**
   * Time for which a request stays quarantined, in milliseconds.
   *
   * @param digest the request's digest
   */
  holdMs(digest: string): number {
    return this.reported(digest)?.holdMs || FIRST_QUARANTINE_MS;
  }

  /**
   * Checks whether an engine has exited, other than by a planned end.
   *
   * @param engine the engine, as it was when the request was sent
   */
  async hasExited(engine: EngineView): Promise<boolean> {
    return !this.isDraining(engine) && hasExited(this.options.wire, engine);
  }

  /**
   * Checks whether the engine of an interrupted run has exited, and if so raises the suspicion level of the run's
   * request: here at once, and for all processes by a record.
   *
   * @param run the run
   * @returns whether the engine has exited
   */
  async noteInterruption(run: InterruptedRun): Promise<boolean> {
    const {clock, decide} = this.options;
    const {digest, engine, id, known, parts} = run;
    if (!(await this.hasExited(engine))) {
      return false;
    }
    const before = this.levelOf(digest);
    const level = known >= before ? before + 1 : before;
    const held = level >= QUARANTINE_LEVEL;
    const {id: name, startedAtMs} = engine;
    decide(id, {
      digest,
      engine: name,
      held,
      known,
      level,
      parts: parts.map(({part}) => part).join(','),
      partsKnown: parts.map((part) => part.known).join(','),
      startedAtMs,
    });
    const local: LocalLevel = {level, until: Infinity};
    this.localLevels.set(digest, local);
    const end: NoteEngineEnd = {
      digest,
      engine: name,
      kind: 'noteEngineEnd',
      known,
      parts,
      startedAtMs,
    };
    const recorded = this.record(end).then(() => {
      local.until = clock.monotonicMs() + RECORDED_VALID_MS;
      setTimeout(() => this.forget(digest, local), RECORDED_VALID_MS).unref();
    });
    if (parts.some((part) => part.known > 0)) {
      const settled = recorded.then(() => this.options.refresh());
      await Promise.race([settled, delay(MAX_SETTLE_MS)]);
    }
    return true;
  }

  /**
   * Records that an engine has run a suspect past its start or to its end, which clears it.
   *
   * @param digest the request's digest
   */
  noteServed(digest: string): void {
    this.localLevels.delete(digest);
    void this.record({by: 'engine', digest, kind: 'releaseRequest'});
  }

  /** Whether the engine was draining or removed, so that no request caused its exit. */
  private isDraining({id, startedAtMs}: EngineView): boolean {
    const now = this.options.engines().find((engine) => engine.id === id);
    return now === undefined || (now.startedAtMs === startedAtMs && now.draining);
  }

  /** Records a finding, with retries: the group may have no leader until a VM is repaired. */
  private async record(finding: Finding): Promise<void> {
    for (let tries = 0; tries < MAX_RECORD_ATTEMPTS; tries++) {
      try {
        await this.options.record(finding);
        return;
      } catch (err) {
        const subject =
          'digest' in finding ? {digest: finding.digest} : {parts: finding.parts.join()};
        const fields = {finding: finding.kind, notRecorded: errorMessage(err), tries};
        this.options.decide('', {...subject, ...fields});
      }
    }
  }

  private forget(digest: string, local: LocalLevel): void {
    if (this.localLevels.get(digest) === local) {
      this.localLevels.delete(digest);
    }
  }

  private localLevel(digest: string): number {
    const local = this.localLevels.get(digest);
    return local !== undefined && this.options.clock.monotonicMs() < local.until ? local.level : 0;
  }

  private reported(digest: string): SuspectView | undefined {
    const reported = this.options.reported();
    if (reported !== this.indexedSuspects) {
      this.indexedSuspects = reported;
      this.reportedByDigest = new Map(reported.map((suspect) => [suspect.digest, suspect]));
    }
    return this.reportedByDigest.get(digest);
  }
}
