/**
 * What one process knows of requests during whose runs engines ended: by the news, and by what it has seen itself and the
 * news don't tell yet.
 */
import type {Clock, LogFields, MonotonicMs} from 'stallpaddle';

import {errorMessage} from 'stallpaddle';
import {
  type EngineView,
  FIRST_QUARANTINE_MS,
  type NoteEngineEnd,
  QUARANTINE_LEVEL,
  type ReleaseRequest,
  type SuspectView,
} from 'stallpaddle-fleet';

import type {RelayWire} from './RelayWire';

import {BEGIN_MS, MOST_BEGIN_EVENTS} from './RelayConstants';
import {hasEnded} from './RelayProbe';

/** What it needs of its process. */
export interface RelaySuspectsOptions {
  readonly clock: Clock;
  /** Writes one line for a finding on a request or item. */
  readonly decide: (id: string, fields: LogFields) => void;
  /** Engines as they are known now. */
  readonly engines: () => readonly EngineView[];
  /** Records a finding for all processes; rejects when it may not have been recorded. */
  readonly record: (finding: NoteEngineEnd | ReleaseRequest) => Promise<unknown>;
  /** Suspects by the news. */
  readonly told: () => readonly SuspectView[];
  readonly wire: RelayWire;
}

/** A run that broke off. */
export interface BrokenRun {
  readonly digest: string;
  readonly engine: EngineView;
  /** Name of the attempt or item, for the log. */
  readonly id: string;
  /** Level at which the request stood when the run began. */
  readonly known: number;
}

/** What this process has seen itself. */
interface OwnLevel {
  readonly level: number;
  /** Until then it counts: the news tell of it soon after it was recorded. */
  until: MonotonicMs;
}

/** Time for which an own finding counts once it is recorded, in milliseconds: longer than news take to come back. */
const NEWS_MS = 2_000;

/** Tries to record a finding; each lasts half a minute while there is no leader. */
const RECORD_TRIES = 20;

/** How far a run has come. */
export interface RunBegin {
  /** Events that it has brought. */
  readonly events: number;
  /** When the first of them, or of an answer's bytes, came; undefined before it. */
  readonly firstAt: MonotonicMs | undefined;
}

/**
 * Whether a run has only begun, so that the end of its engine speaks against its request.
 *
 * @param run how far it has come
 * @param now the present moment
 */
export function hasOnlyBegun({events, firstAt}: RunBegin, now: MonotonicMs): boolean {
  return events <= MOST_BEGIN_EVENTS && (firstAt === undefined || now - firstAt <= BEGIN_MS);
}

/** See the module's comment. */
export class RelaySuspects {
  private index: ReadonlyMap<string, SuspectView> = new Map();
  private indexed: readonly SuspectView[] = [];
  private readonly own = new Map<string, OwnLevel>();

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: RelaySuspectsOptions) {}

  /** Whether nobody is suspected, so that no request needs a digest. */
  get isEmpty(): boolean {
    return this.own.size === 0 && this.options.told().length === 0;
  }

  /**
   * Level at which a request stands; {@link QUARANTINE_LEVEL} holds it off the engines.
   *
   * @param digest the request
   */
  levelOf(digest: string): number {
    return Math.max(this.told(digest)?.level ?? 0, this.ownLevel(digest));
  }

  /**
   * Time after which a request that is held may run again, in milliseconds.
   *
   * @param digest the request
   */
  holdMs(digest: string): number {
    return this.told(digest)?.holdMs || FIRST_QUARANTINE_MS;
  }

  /**
   * Looks whether the engine of a run that broke off has ended, and holds it against the run's request.
   *
   * @param run the run
   * @returns whether it has ended; then it counts here, and others are told besides
   */
  async noteBreak(run: BrokenRun): Promise<boolean> {
    const {clock, decide, wire} = this.options;
    const {digest, engine, id, known} = run;
    if (this.isLeaving(engine) || !(await hasEnded(wire, engine))) {
      return false;
    }
    const before = this.levelOf(digest);
    const level = known >= before ? before + 1 : before;
    const held = level >= QUARANTINE_LEVEL;
    decide(id, {digest, engine: engine.id, held, known, level, startedAtMs: engine.startedAtMs});
    const own: OwnLevel = {level, until: Infinity};
    this.own.set(digest, own);
    const {id: name, startedAtMs} = engine;
    void this.record({digest, engine: name, kind: 'noteEngineEnd', known, startedAtMs}).then(() => {
      own.until = clock.monotonicMs() + NEWS_MS;
      setTimeout(() => this.forget(digest, own), NEWS_MS).unref();
    });
    return true;
  }

  /**
   * Notes that an engine has run a suspect past its begin, or to an end.
   *
   * @param digest the request
   */
  noteServed(digest: string): void {
    this.own.delete(digest);
    void this.record({by: 'engine', digest, kind: 'releaseRequest'});
  }

  /** Whether an engine said itself that it would end; then no request has ended it. */
  private isLeaving({id, startedAtMs}: EngineView): boolean {
    const now = this.options.engines().find((engine) => engine.id === id);
    return now === undefined || (now.startedAtMs === startedAtMs && now.draining);
  }

  /** Records a finding, again while nobody takes it: the group may be without a leader for as long as a VM is repaired. */
  private async record(finding: NoteEngineEnd | ReleaseRequest): Promise<void> {
    for (let tries = 0; tries < RECORD_TRIES; tries++) {
      try {
        await this.options.record(finding);
        return;
      } catch (err) {
        const {digest, kind} = finding;
        this.options.decide('', {digest, finding: kind, notRecorded: errorMessage(err), tries});
      }
    }
  }

  private forget(digest: string, own: OwnLevel): void {
    if (this.own.get(digest) === own) {
      this.own.delete(digest);
    }
  }

  private ownLevel(digest: string): number {
    const own = this.own.get(digest);
    return own !== undefined && this.options.clock.monotonicMs() < own.until ? own.level : 0;
  }

  private told(digest: string): SuspectView | undefined {
    const told = this.options.told();
    if (told !== this.indexed) {
      this.indexed = told;
      this.index = new Map(told.map((suspect) => [suspect.digest, suspect]));
    }
    return this.index.get(digest);
  }
}
