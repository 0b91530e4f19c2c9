/**
 * Evidence that one request crashes engines.
 */
import type {EngineView} from 'stallpaddle-fleet';

import {QUARANTINE_LEVEL} from 'stallpaddle-fleet';

import type {RelayContext, RelayRequest} from './RelayTypes';

import {requestDigest} from './RelayDigest';
import {isStarting, type RunProgress} from './RelaySuspects';

/** The part of the relay's dependencies that is used here. */
type Dependencies = Pick<RelayContext, 'clock' | 'decide' | 'suspects'>;

const NO_PROGRESS: RunProgress = {events: 0, firstAt: undefined};

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

  /** Records that a run starts. */
  noteStart(): void {
    this.progress = NO_PROGRESS;
    this.startLevel = this.level;
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
    }
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
    if (!isStarting(this.progress, clock.monotonicMs())) {
      return;
    }
    const {startLevel: known} = this;
    const isFirst = !this.wasInterrupted && known === 0;
    this.wasInterrupted = true;
    this.exits = this.exits.then((exits) =>
      this.checkEngine(engine, Math.max(known, exits), exits),
    );
    if (!isFirst) {
      await this.exits;
    }
  }

  /**
   * Checks one engine. Each run counts as started after the engines of the earlier runs had exited, even if that was
   * not yet known.
   */
  private async checkEngine(engine: EngineView, known: number, exits: number): Promise<number> {
    const {requestId: id, sharedParts} = this.req.metadata;
    const run = {digest: this.digest, engine, id, known, sharedParts};
    return (await this.dependencies.suspects.noteInterruption(run)) ? exits + 1 : exits;
  }
}
