/**
 * Serving of one online request.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {LogFields, Verdict} from 'stallpaddle';
import type {EngineView} from 'stallpaddle-fleet';

import {delay, joinVerdicts, MAX_TIMER_MS} from 'stallpaddle';

import type {RelayContext, RelayEnd, RelayRequest} from './RelayTypes';

import {
  DECLINED_PAUSE_MS,
  RECHECK_INTERVAL_MS,
  RETRY_AFTER_MS,
  SERVER_ERROR,
} from './RelayConstants';
import {RelayCrashEvidence} from './RelayCrashEvidence';
import {
  type EngineCall,
  type EngineCallStart,
  isFramedResponse,
  startEngineCall,
} from './RelayEngineCall';
import {makeEngineRequest} from './RelayEngineRequest';
import {RelayEngineSelector} from './RelayEngineSelector';
import {RelayForwarder} from './RelayForwarder';
import {endWithRefusal, endWithTimeOut} from './RelayRefusals';
import {RelayStallDetector} from './RelayStallDetector';
import {RelayStreamBinding} from './RelayStreamBinding';
import {REJECTION_MESSAGES, RelayTurn} from './RelayTurn';

type EngineResponse = Extract<EngineCallStart, {kind: 'answer'}>;

/** Status by which an engine states that it did not run the request. */
const UNAVAILABLE = 503;
/** First status that is no success; only successful responses are event streams. */
const REDIRECTION = 300;

/**
 * Serves one online request: sends it to an engine and forwards the response, with further attempts where the request
 * can't run twice or may be repeated.
 */
export class RelayRun {
  /** Whether the last attempt was interrupted by the engine, not by this side. */
  private wasInterrupted = false;
  private call: EngineCall | undefined;
  private readonly selector: RelayEngineSelector;
  private end: RelayEnd | undefined;
  private firstMs: number | undefined;
  private readonly forwarder: RelayForwarder;
  private reason: string | undefined;
  private readonly stallDetector: RelayStallDetector;
  private readonly streamBinding: RelayStreamBinding;
  private readonly crashEvidence: RelayCrashEvidence;
  /** Undefined where the feature `admission` is off. */
  private readonly turn: RelayTurn | undefined;
  private verdict: Verdict = 'notRun';

  /**
   * @param context dependencies of the relay
   * @param req the request
   * @param res the caller's response
   */
  constructor(
    private readonly context: RelayContext,
    private readonly req: RelayRequest,
    private readonly res: ServerResponse,
  ) {
    this.crashEvidence = new RelayCrashEvidence(context, req);
    this.turn = context.isOn('admission') ? new RelayTurn(context, req) : undefined;
    this.selector = new RelayEngineSelector(context, req, () => this.crashEvidence.suspectDigest);
    this.streamBinding = new RelayStreamBinding(context, req, this.selector);
    this.forwarder = new RelayForwarder({
      held: context.held,
      isOver: () => this.end !== undefined,
      lastEventId: req.metadata.resumeAfter,
      onBackpressure: () => this.stallDetector.noteBackpressure(),
      onChunk: (events) => {
        this.crashEvidence.noteData(events);
        // Bytes that complete no event don't show that the engine is at work.
        if (events > 0) {
          this.stallDetector.noteData(events);
        }
      },
      onHead: () => {
        this.firstMs = Math.round(this.waitedMs);
        this.streamBinding.noteFirstEvent();
      },
      res,
    });
    this.stallDetector = new RelayStallDetector({
      abandon: (fields) => this.abandonAttempt(fields),
      canMove: () => this.selector.canMove,
      clock: context.clock,
      fleetLoad: context.fleetLoad,
      isResumable: req.route.resumable,
      latencies: context.latencies,
      speeds: context.speeds,
    });
  }

  /** Whether no engine has run the request or will run it. */
  get neverRan(): boolean {
    return this.verdict === 'notRun';
  }

  private get isRepeatable(): boolean {
    const {kind, resumable} = this.req.route;
    return kind === 'repeatable' || (kind === 'streaming' && resumable);
  }

  private get waitedMs(): number {
    return this.context.clock.monotonicMs() - this.req.arrivedAt;
  }

  private get remainingMs(): number {
    const {arrivedAt, metadata, route} = this.req;
    const allowed = Math.min(route.timeoutMs, metadata.deadlineMs ?? Infinity);
    return arrivedAt + allowed - this.context.clock.monotonicMs();
  }

  /**
   * Serves the request until it ends.
   *
   * @returns how it ended
   */
  async run(): Promise<RelayEnd> {
    const {res} = this;
    const onClose = (): void => {
      if (!res.writableFinished) {
        this.finish('left');
      }
    };
    res.on('close', onClose);
    const timeoutMs = Math.min(MAX_TIMER_MS, Math.max(0, this.remainingMs));
    const timer = setTimeout(() => this.timeOut(), timeoutMs);
    try {
      this.refuseIfLost(await this.streamBinding.bindReturn());
      while (this.end === undefined) {
        await this.attempt();
      }
    } finally {
      clearTimeout(timer);
      this.turn?.leave('left');
      res.off('close', onClose);
    }
    this.logEnd();
    return this.end;
  }

  private logEnd(): void {
    const {caller, metadata, route} = this.req;
    this.context.decide('ended', metadata.requestId, {
      attempted: this.selector.attemptedNames,
      customer: caller.kind === 'customer' ? caller.name : undefined,
      end: this.end,
      engines: this.selector.engineNames,
      firstMs: this.firstMs,
      kind: route.kind,
      ms: Math.round(this.waitedMs),
      // Only for runs that an engine interrupted: every request would add these bytes to the log otherwise.
      parts: this.wasInterrupted ? metadata.sharedParts.join(',') : undefined,
      reason: this.reason,
      request: this.crashEvidence.computedDigest,
      route: route.name,
      verdict: this.verdict,
    });
  }

  private finish(end: RelayEnd): void {
    if (this.end === undefined) {
      this.end = end;
      this.turn?.leave('left');
      if (this.call !== undefined) {
        // An attempt that is aborted may have run.
        this.verdict = joinVerdicts(this.verdict, 'mayHaveRun');
        this.call.close();
      }
      if (end === 'serverFailure') {
        this.crashEvidence.noteServed();
      }
    }
  }

  private refuse(message: string, knownRetryAfterMs?: number): void {
    if (this.end !== undefined) {
      return;
    }
    this.reason = message;
    this.finish(this.res.headersSent ? 'broken' : 'refused');
    endWithRefusal(this.res, this.verdict, message, () => {
      return knownRetryAfterMs ?? this.turn?.retryAfterMs ?? RETRY_AFTER_MS;
    });
  }

  /** Refuses a stream that can't go on, if a reason is given. */
  private refuseIfLost(reason: string | undefined): void {
    if (reason !== undefined) {
      this.refuse(reason);
    }
  }

  private timeOut(): void {
    if (this.end !== undefined) {
      return;
    }
    this.finish('timedOut');
    endWithTimeOut(this.res, this.verdict);
  }

  /** Whether a request that may have run may be sent again. */
  private get mayRetry(): boolean {
    return this.selector.hasAttemptLeft || (this.isRepeatable && this.selector.hasSendLeft);
  }

  private async attempt(): Promise<void> {
    if (this.verdict !== 'notRun' && !this.mayRetry) {
      this.refuse('All engines that the request may be sent to have failed.');
      return;
    }
    if (this.res.headersSent) {
      this.refuseIfLost(await this.streamBinding.checkBegin(this.forwarder.lastEventId));
    }
    if (this.end !== undefined) {
      return;
    }
    const quarantineMs =
      this.crashEvidence.quarantineMs() ?? (await this.crashEvidence.partsQuarantineMs());
    if (this.end !== undefined) {
      return;
    }
    if (quarantineMs !== undefined) {
      // Another run would probably crash another engine and interrupt all requests there.
      this.refuse(
        'The request is quarantined because engines exited when they started it, or others with a part of its prompt.',
        quarantineMs,
      );
      return;
    }
    if (this.turn !== undefined && !this.res.headersSent) {
      await this.attemptInTurn(this.turn);
      return;
    }
    const engine = this.selector.next();
    if (engine === undefined) {
      await this.onNoEngine();
      return;
    }
    if (this.res.headersSent || this.selector.maySend(engine, this.waitedMs)) {
      await this.send(engine);
    } else if (!this.selector.hasWaitedLimit(this.waitedMs)) {
      await delay(RECHECK_INTERVAL_MS);
    } else {
      this.refuse('All engines of the service are full.');
    }
  }

  /** Sends the request if it is its turn and an engine can take it; otherwise waits for a turn or rejects it. */
  private async attemptInTurn(turn: RelayTurn): Promise<void> {
    if (turn.mayTry) {
      const engine = this.selector.isDeclined ? undefined : this.selector.next(turn.service);
      if (engine === undefined) {
        turn.giveUp();
        const mayGoOn = turn.isCallersReturn && this.selector.allowDeclined();
        await (mayGoOn ? delay(DECLINED_PAUSE_MS) : this.onNoEngine());
        return;
      }
      if (this.selector.maySend(engine, this.waitedMs, turn.mayQueue)) {
        await this.send(engine);
        return;
      }
    }
    const rejection = await turn.wait();
    if (rejection !== undefined) {
      this.refuse(REJECTION_MESSAGES[rejection.reason], rejection.retryAfterMs);
    }
  }

  /**
   * Waits for an engine if the response has started and the route allows a further attempt, or if engines were unreachable and
   * the objective can still be met; otherwise refuses the request. A stream whose software version has left can't go on, so it doesn't wait.
   */
  private async onNoEngine(): Promise<void> {
    this.refuseIfLost(this.streamBinding.checkServed(this.forwarder.lastEventId));
    if (this.end !== undefined) {
      return;
    }
    if (this.res.headersSent && this.selector.hasAttemptLeft) {
      this.selector.allowAllEngines();
    } else if (this.verdict === 'notRun' && this.selector.mayWaitForEngine(this.waitedMs)) {
      this.selector.allowUnreached();
    } else {
      this.refuse('No engine of the service can take the request.');
      return;
    }
    await delay(RECHECK_INTERVAL_MS);
  }

  private async send(engine: EngineView): Promise<void> {
    const {decide, engineHealth, latencies, online, viewAgeMs, wire} = this.context;
    const {metadata} = this.req;
    const resumeAfter = this.forwarder.lastEventId;
    this.turn?.noteSent();
    this.crashEvidence.noteStart();
    this.wasInterrupted = false;
    this.selector.noteSent(engine.id);
    decide(this.res.headersSent ? 'resumed' : 'placed', metadata.requestId, {
      attempt: this.selector.attempts,
      engine: engine.id,
      firstAttempt: metadata.firstAttempt ?? undefined,
      online: online.requestsAt(engine.id),
      resumeAfter: resumeAfter ?? undefined,
      softwareVersion: engine.softwareVersion,
      spentMs: Math.round(this.req.spentMs),
      viewAgeMs: Math.round(viewAgeMs()),
      waitedMs: Math.round(this.waitedMs),
    });
    const hadFreeSlot = this.selector.hasFreeSlot(engine);
    const end = online.registerRequest(engine.id);
    let wasRun = true;
    try {
      const request = makeEngineRequest(wire, this.req, engine, {
        deadlineMs: Math.max(1, Math.floor(this.remainingMs)),
        resumeAfter,
      });
      this.call = startEngineCall(wire, latencies, request);
      this.stallDetector.start(hadFreeSlot, engine);
      const start = await this.call.started;
      if (start.kind === 'notRun') {
        this.call = undefined;
        wasRun = false;
      }
      if (this.end === undefined) {
        await this.onStart(engine, start);
      }
    } finally {
      this.stallDetector.stop();
      this.call?.close();
      this.call = undefined;
      end();
      this.turn?.noteFreed(wasRun, this.end === 'left' || this.end === 'timedOut');
      if (this.end === undefined && !this.stallDetector.stalledInQueue) {
        engineHealth.recordAttempt(engine, false);
      }
    }
    // The engine of a stalled suspect may be about to exit, and the next one would exit, too.
    const mayHaveCrashed = this.stallDetector.isStalled && this.crashEvidence.wasSuspect;
    if (this.wasInterrupted || mayHaveCrashed) {
      const checked = this.crashEvidence.noteInterruption(engine);
      // A request that has ended doesn't wait for the check whether the engine has exited.
      await (this.end === undefined ? checked : undefined);
    }
  }

  private abandonAttempt(fields: LogFields): void {
    const resumeAfter = this.forwarder.lastEventId ?? undefined;
    this.context.decide('silent', this.req.metadata.requestId, {...fields, resumeAfter});
    this.call?.close();
  }

  private async onStart(engine: EngineView, start: EngineCallStart): Promise<void> {
    switch (start.kind) {
      case 'notRun':
        this.selector.noteNotRun(start.reason);
        this.context.decide('declined', this.req.metadata.requestId, {
          engine: engine.id,
          error: start.error,
          reason: start.reason,
        });
        if (this.selector.isDeclined && this.turn?.isCallersReturn !== true) {
          this.refuse('The engines are full or unreachable.');
        }
        return;
      case 'mayHaveRun':
        this.onFailure(start.reason);
        return;
      case 'answer':
        await this.onResponse(engine, start);
        return;
    }
  }

  /** Handles an attempt that failed after the request was sent. */
  private onFailure(reason: string): void {
    this.verdict = joinVerdicts(this.verdict, 'mayHaveRun');
    this.wasInterrupted = !this.stallDetector.isStalled;
    if (!this.isRepeatable) {
      this.refuse(`The engine failed: ${reason}.`);
    }
  }

  private async onResponse(engine: EngineView, {res}: EngineResponse): Promise<void> {
    const status = res.statusCode ?? SERVER_ERROR;
    const isStream = (res.headers['content-type'] ?? '').startsWith('text/event-stream');
    const isForwardedByEvents = isStream && status < REDIRECTION;
    // Only events can follow those that the caller has.
    if (status >= SERVER_ERROR || (this.res.headersSent && !isForwardedByEvents)) {
      await this.onFailedResponse(status, res);
      return;
    }
    this.verdict = 'ran';
    this.streamBinding.noteForwarding(isForwardedByEvents ? engine : undefined);
    if (this.streamBinding.mustConfirm && !(await this.confirmEngine())) {
      return;
    }
    const read = isForwardedByEvents
      ? this.forwarder.forwardStream(res)
      : this.forwarder.forwardResponse(res);
    const end = await read;
    if (this.end !== undefined) {
      return;
    }
    // Events that were not read when the call was closed are discarded, and the rest still looks whole.
    if (end === 'whole' && this.call?.isClosed !== true) {
      this.context.engineHealth.recordAttempt(engine, true);
      this.res.end();
      this.crashEvidence.noteComplete(engine, {
        isFramed: isFramedResponse(res),
        isSuccess: status < REDIRECTION,
      });
      this.finish('served');
      return;
    }
    this.wasInterrupted = !this.stallDetector.isStalled;
    if (!this.isRepeatable || (!isStream && this.res.headersSent)) {
      this.refuse('The engine interrupted its response.');
    }
  }

  /** Confirms the engine of a response that continues a stream; false also when the request has ended meanwhile. */
  private async confirmEngine(): Promise<boolean> {
    this.stallDetector.pause();
    const isConfirmed = await this.streamBinding.confirmForwarding();
    if (this.end !== undefined) {
      return false;
    }
    this.stallDetector.resume();
    return isConfirmed;
  }

  /**
   * Handles a 5xx response, or one that can't continue a stream: the request goes to another engine if it may run again,
   * otherwise the response is forwarded.
   */
  private async onFailedResponse(status: number, res: IncomingMessage): Promise<void> {
    this.verdict = 'ran';
    this.context.decide('failed', this.req.metadata.requestId, {
      resumeAfter: this.forwarder.lastEventId ?? undefined,
      status,
    });
    if (this.res.headersSent || (this.isRepeatable && this.selector.hasAttemptLeft)) {
      return;
    }
    if (status === UNAVAILABLE) {
      // A forwarded 503 would state that the request did not run.
      this.refuse('The engine failed.');
      return;
    }
    if ((await this.forwarder.forwardResponse(res)) === 'whole' && this.end === undefined) {
      this.res.end();
      this.finish('serverFailure');
    } else {
      this.refuse('The engine failed and interrupted its response.');
    }
  }
}
