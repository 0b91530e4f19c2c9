/**
 * Evidence that one request crashes engines.
 */
import type {EngineView, KnownPart} from 'stallpaddle-fleet';

import {QUARANTINE_LEVEL} from 'stallpaddle-fleet';

import type {PartsVerdict, QuarantinedGroup} from './RelaySuspectParts';
import type {RelayContext, RelayRequest} from './RelayTypes';

import {requestDigest} from './RelayDigest';
import {isStarting, type RunProgress} from './RelaySuspects';

/** The part of the relay's dependencies that is used here. */
type Dependencies = Pick<RelayContext, 'clock' | 'decide' | 'suspects'>;

const NO_PROGRESS: RunProgress = {events: 0, firstAt: undefined};
const ALLOWED: PartsVerdict = {kind: 'allowed'};

function isSameGroup(a: QuarantinedGroup, b: QuarantinedGroup): boolean {
  return a.parts.join() === b.parts.join();
}

/**
 * Collects evidence on whether one caller's request crashes engines, over all engines that it is sent to: how many
 * exited while they started it, and whether one ran it past its start.
 */
export class RelayCrashEvidence {
  private progress = NO_PROGRESS;
  private cachedDigest: string | undefined;
  /** Number of engines that were found to have exited so far; checks run one after the other. */
  private exits = Promise.resolve(0);
  private wasInterrupted = false;
  /** Whether an engine has run this request past its start, which shows that it doesn't crash every engine. */
  private isCleared = false;
  /** Suspicion level of the request when its current run started. */
  private startLevel = 0;
  /** The shared parts of its prompt, with their levels when the current run started. */
  private startParts: readonly KnownPart[] = [];
  /** Parts for whose trial the control group chose this request. */
  private triedParts: QuarantinedGroup | undefined;

  /**
   * @param dependencies the part of the relay's dependencies that is used here
   * @param req the request
   */
  constructor(
    private readonly dependencies: Dependencies,
    private readonly req: RelayRequest,
  ) {}

  /**
   * Digest of the request, the same for every attempt; computed only while there are suspects or after an engine's
   * connection broke.
   */
  private get digest(): string {
    const {body, caller, host, metadata, method, path} = this.req;
    // Requests of one customer are the same whichever of its keys they carry.
    const sender = caller.kind === 'customer' ? caller.name : metadata.caller;
    this.cachedDigest ??= requestDigest({body, caller: sender, host, method, path});
    return this.cachedDigest;
  }

  /** The request's digest if it was computed, for the log. */
  get computedDigest(): string | undefined {
    return this.cachedDigest;
  }

  /** The request's digest while it is a suspect, otherwise null. */
  get suspectDigest(): string | null {
    return this.level > 0 ? this.digest : null;
  }

  /** Suspicion level: number of successive engine exits while the request was starting. */
  private get level(): number {
    const {suspects} = this.dependencies;
    return suspects.isEmpty ? 0 : suspects.levelOf(this.digest);
  }

  /**
   * Time for which the request remains quarantined, in milliseconds; undefined when it is not. A request that has run
   * past its start is not quarantined, whatever others with the same digest did: its stream would be aborted.
   */
  quarantineMs(): number | undefined {
    if (this.level < QUARANTINE_LEVEL) {
      return undefined;
    }
    if (this.isCleared) {
      this.noteServed();
      return undefined;
    }
    const {decide, suspects} = this.dependencies;
    const {digest, level} = this;
    const holdMs = suspects.holdMs(digest);
    decide('held', this.req.metadata.requestId, {digest, holdMs, level});
    return holdMs;
  }

  /**
   * Time after which the caller may return if a quarantined part of the prompt holds the request, in milliseconds; undefined
   * when none does, or when this request is the trial of that part.
   */
  async partsQuarantineMs(): Promise<number | undefined> {
    const {decide, suspects} = this.dependencies;
    const {requestId, sharedParts} = this.req.metadata;
    const verdict = this.isCleared ? ALLOWED : suspects.parts.verdictOn(sharedParts);
    if (verdict.kind === 'allowed') {
      return undefined;
    }
    const {parts, trialDelayMs, trials} = verdict.group;
    const fields = {parts: parts.join(), trials};
    if (verdict.kind === 'trialDue' && (await suspects.parts.requestTrial(verdict.group))) {
      this.triedParts = verdict.group;
      decide('trial', requestId, fields);
    }
    if (this.triedParts !== undefined && isSameGroup(this.triedParts, verdict.group)) {
      return undefined;
    }
    const retryAfterMs = verdict.kind === 'held' ? verdict.retryAfterMs : trialDelayMs;
    decide('held', requestId, {...fields, retryAfterMs: Math.round(retryAfterMs)});
    return retryAfterMs;
  }

  /** Whether the request or a part of its prompt was suspect when the current run started, and no run has cleared it. */
  get wasSuspect(): boolean {
    return !this.isCleared && (this.startLevel > 0 || this.startParts.some(({known}) => known > 0));
  }

  /** Records that a run starts. */
  noteStart(): void {
    const {suspects} = this.dependencies;
    this.progress = NO_PROGRESS;
    this.startLevel = this.level;
    this.startParts = suspects.parts.describe(this.req.metadata.sharedParts);
  }

  /**
   * Records data from the run's engine.
   *
   * @param events number of events that the data completes
   */
  noteData(events: number): void {
    const {clock} = this.dependencies;
    const now = clock.monotonicMs();
    const {progress} = this;
    this.progress = {events: progress.events + events, firstAt: progress.firstAt ?? now};
    if (!this.isCleared && !isStarting(this.progress, now)) {
      this.isCleared = true;
      this.noteServed();
      this.notePartsServed();
    }
  }

  /**
   * Records that an engine has completed a response.
   *
   * @param engine the engine
   * @param response whether it is a success, and whether its framing shows where it ends
   */
  noteComplete(
    engine: EngineView,
    {isFramed, isSuccess}: {readonly isFramed: boolean; readonly isSuccess: boolean},
  ): void {
    const {clock} = this.dependencies;
    if (!isFramed && isStarting(this.progress, clock.monotonicMs())) {
      // The end of the connection may also be the engine's exit.
      if (this.req.metadata.sharedParts.length > 0 || this.level > 0) {
        void this.noteInterruption(engine);
      }
      return;
    }
    this.noteServed();
    if (isSuccess) {
      this.notePartsServed();
    }
  }

  private notePartsServed(): void {
    this.dependencies.suspects.parts.noteServed(this.req.metadata.sharedParts);
  }

  /** Records that an engine has run the request past its start or to its end, which clears it for all VMs. */
  noteServed(): void {
    if (this.level > 0) {
      this.dependencies.suspects.noteServed(this.digest);
    }
  }

  /**
   * Records that the run's engine interrupted its response, and checks whether the engine has exited. The first
   * interruption of a request that is no suspect is checked in the background; later ones are awaited, since the next
   * run might crash another engine.
   *
   * @param engine the engine
   */
  async noteInterruption(engine: EngineView): Promise<void> {
    const {clock} = this.dependencies;
    this.triedParts = undefined;
    if (!isStarting(this.progress, clock.monotonicMs())) {
      return;
    }
    const {startLevel: known} = this;
    // A request that has run past its start has shown that none of its parts crashes every engine.
    const parts = this.isCleared ? [] : this.startParts;
    const isFirst = !this.wasInterrupted && known === 0 && parts.every((part) => part.known === 0);
    this.wasInterrupted = true;
    this.exits = this.exits.then((exits) =>
      this.checkEngine(engine, Math.max(known, exits), parts, exits),
    );
    if (!isFirst) {
      await this.exits;
    }
  }

  /**
   * Checks one engine. Each run counts as started after the engines of the earlier runs had exited, even if that was
   * not yet known.
   */
  private async checkEngine(
    engine: EngineView,
    known: number,
    parts: readonly KnownPart[],
    exits: number,
  ): Promise<number> {
    const run = {digest: this.digest, engine, id: this.req.metadata.requestId, known, parts};
    return (await this.dependencies.suspects.noteInterruption(run)) ? exits + 1 : exits;
  }
}
