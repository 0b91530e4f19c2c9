/**
 * What speaks for and against one request, over all runs of its attempt: how many engines ended when they began to run it,
 * and whether one has run it past its begin.
 */
import type {EngineView} from 'stallpaddle-fleet';

import {QUARANTINE_LEVEL} from 'stallpaddle-fleet';

import type {RelayContext, RelayRequest} from './RelayTypes';

import {requestDigest} from './RelayDigest';
import {hasOnlyBegun, type RunBegin} from './RelaySuspects';

/** What it needs of its process. */
type Needs = Pick<RelayContext, 'clock' | 'decide' | 'suspects'>;

const NOT_BEGUN: RunBegin = {events: 0, firstAt: undefined};

/** See the module's comment. */
export class RelaySuspicion {
  private begin = NOT_BEGUN;
  private digestMade: string | undefined;
  /** What was found of the engines that broke off so far: how many of them ended, one after the other. */
  private found = Promise.resolve(0);
  private hasBroken = false;
  /** Whether an engine has run the request past its begin in this attempt: then it doesn't end every engine. */
  private isCleared = false;
  /** Level at which the request stood when its present run began. */
  private known = 0;

  /**
   * @param needs what it needs of its process
   * @param req the request
   */
  constructor(
    private readonly needs: Needs,
    private readonly req: RelayRequest,
  ) {}

  /** The request, whatever this attempt is called; worked out only while there are suspects, or once an engine broke off. */
  private get digest(): string {
    const {body, caller, facts, host, method, path} = this.req;
    // A customer's request is the same with another of its keys.
    const sender = caller.kind === 'customer' ? caller.name : facts.caller;
    this.digestMade ??= requestDigest({body, caller: sender, host, method, path});
    return this.digestMade;
  }

  /** The request's digest where it was worked out, for the log. */
  get digestKnown(): string | undefined {
    return this.digestMade;
  }

  /** The digest of a suspect, null for any other request. */
  get suspect(): string | null {
    return this.level > 0 ? this.digest : null;
  }

  /** How many engines ended, one after the other, when they began to run the request. */
  private get level(): number {
    const {suspects} = this.needs;
    return suspects.isEmpty ? 0 : suspects.levelOf(this.digest);
  }

  /**
   * Time for which the request is held off the engines, in milliseconds; undefined when it is not. A stream that has gone on
   * past its begin is not, whatever became of others with its body: it would be broken off.
   */
  heldMs(): number | undefined {
    if (this.level < QUARANTINE_LEVEL) {
      return undefined;
    }
    if (this.isCleared) {
      this.noteServed();
      return undefined;
    }
    const {decide, suspects} = this.needs;
    const {digest, level} = this;
    const holdMs = suspects.holdMs(digest);
    decide('held', this.req.facts.requestId, {digest, holdMs, level});
    return holdMs;
  }

  /** A run begins. */
  noteRun(): void {
    this.begin = NOT_BEGUN;
    this.known = this.level;
  }

  /**
   * Bytes have come from the run's engine.
   *
   * @param events whole events among them
   */
  noteHeard(events: number): void {
    const {clock} = this.needs;
    const now = clock.monotonicMs();
    const {begin} = this;
    this.begin = {events: begin.events + events, firstAt: begin.firstAt ?? now};
    if (!this.isCleared && !hasOnlyBegun(this.begin, now)) {
      this.isCleared = true;
      this.noteServed();
    }
  }

  /** An engine has run the request past its begin, or to an end: others need not hold it any more. */
  noteServed(): void {
    if (this.level > 0) {
      this.needs.suspects.noteServed(this.digest);
    }
  }

  /**
   * The run's engine broke its answer off. Whether it has ended is looked at beside what follows; only a request that has met
   * this before waits for what is found, since its next run may end another engine.
   *
   * @param engine the engine
   */
  async noteBreak(engine: EngineView): Promise<void> {
    const {clock} = this.needs;
    if (!hasOnlyBegun(this.begin, clock.monotonicMs())) {
      return;
    }
    const {known} = this;
    const isFirst = !this.hasBroken && known === 0;
    this.hasBroken = true;
    this.found = this.found.then((ends) => this.look(engine, Math.max(known, ends), ends));
    if (!isFirst) {
      await this.found;
    }
  }

  /** Each run of this attempt began after the one before had broken off, whether or not its end was known by then. */
  private async look(engine: EngineView, known: number, ends: number): Promise<number> {
    const id = this.req.facts.requestId;
    const {digest} = this;
    return (await this.needs.suspects.noteBreak({digest, engine, id, known})) ? ends + 1 : ends;
  }
}
