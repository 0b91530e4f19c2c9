/**
 * Brings one online request to an engine and its answer back, with further attempts where nothing can
 * run twice by them.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {LogFields, Verdict} from 'stallpaddle';
import type {EngineView} from 'stallpaddle-fleet';

import {delay, joinVerdicts, RefusalError} from 'stallpaddle';

import type {RelayContext, RelayEnd, RelayRequest} from './RelayTypes';

import {sendRefusal} from './RelayAnswers';
import {RelayEngineSelector} from './RelayEngineSelector';
import {LOOK_AGAIN_MS, RETRY_AFTER_MS, SERVER_ERROR} from './RelayConstants';
import {type EngineCall, type EngineCallStart, startEngineCall} from './RelayEngineCall';
import {forwardedHeaders} from './RelayHeaders';
import {RelayForwarder} from './RelayForwarder';
import {RelayStallDetector} from './RelayStallDetector';
import {RelayCrashEvidence} from './RelayCrashEvidence';

type Answer = Extract<EngineCallStart, {kind: 'answer'}>;

/** The engine's word that it did not run the request. */
const UNAVAILABLE = 503;
/** First status that is no success; events come with a success only. */
const REDIRECTION = 300;

/** See the module's comment. */
export class RelayRun {
  /** Whether the engine asked last broke off, and not this side. */
  private broke = false;
  private call: EngineCall | undefined;
  private readonly choice: RelayEngineSelector;
  private end: RelayEnd | undefined;
  private firstMs: number | undefined;
  private readonly pass: RelayForwarder;
  private reason: string | undefined;
  private readonly silence: RelayStallDetector;
  private readonly suspicion: RelayCrashEvidence;
  private verdict: Verdict = 'notRun';

  /**
   * @param context what the relay needs of its process
   * @param req the request
   * @param res the caller's response
   */
  constructor(
    private readonly context: RelayContext,
    private readonly req: RelayRequest,
    private readonly res: ServerResponse,
  ) {
    this.suspicion = new RelayCrashEvidence(context, req);
    this.choice = new RelayEngineSelector(context, req, () => this.suspicion.suspect);
    this.pass = new RelayForwarder({
      isOver: () => this.end !== undefined,
      lastEvent: req.metadata.resumeAfter,
      onHead: () => {
        this.firstMs = Math.round(this.waitedMs);
      },
      onHeard: (events) => {
        this.suspicion.noteHeard(events);
        this.silence.hear();
      },
      res,
    });
    this.silence = new RelayStallDetector({
      clock: context.clock,
      giveUp: (fields) => this.giveUp(fields),
      isResumable: req.route.resumable,
      mayMove: () => this.choice.mayMove,
      pace: context.latencies,
    });
  }

  /** Whether no engine has run the request, nor will. */
  get neverRan(): boolean {
    return this.verdict === 'notRun';
  }

  private get repeatable(): boolean {
    const {kind, resumable} = this.req.route;
    return kind === 'repeatable' || (kind === 'streaming' && resumable);
  }

  private get waitedMs(): number {
    return this.context.clock.monotonicMs() - this.req.arrivedAt;
  }

  private get remainingMs(): number {
    const {arrivedAt, metadata: facts, route} = this.req;
    const allowed = Math.min(route.timeoutMs, facts.deadlineMs ?? Infinity);
    return arrivedAt + allowed - this.context.clock.monotonicMs();
  }

  /**
   * Serves the request to its end.
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
    const timer = setTimeout(() => this.timeOut(), Math.max(0, this.remainingMs));
    try {
      while (this.end === undefined) {
        await this.attempt();
      }
    } finally {
      clearTimeout(timer);
      res.off('close', onClose);
    }
    this.logEnd();
    return this.end;
  }

  private logEnd(): void {
    const {caller, metadata: facts, route} = this.req;
    this.context.decide('ended', facts.requestId, {
      customer: caller.kind === 'customer' ? caller.name : undefined,
      end: this.end,
      engines: this.choice.names,
      firstMs: this.firstMs,
      kind: route.kind,
      ms: Math.round(this.waitedMs),
      reason: this.reason,
      request: this.suspicion.digestKnown,
      route: route.name,
      verdict: this.verdict,
    });
  }

  private finish(end: RelayEnd): void {
    if (this.end === undefined) {
      this.end = end;
      if (this.call !== undefined) {
        // An attempt that is cut off may have run.
        this.verdict = joinVerdicts(this.verdict, 'mayHaveRun');
        this.call.close();
      }
      if (end === 'served' || end === 'serverFailure') {
        this.suspicion.noteServed();
      }
    }
  }

  private refuse(message: string, retryAfterMs = RETRY_AFTER_MS): void {
    if (this.end !== undefined) {
      return;
    }
    this.reason = message;
    this.finish(this.res.headersSent ? 'broken' : 'refused');
    if (this.res.headersSent) {
      // Without its last chunk the answer can't be taken for a whole one.
      this.res.destroy();
    } else if (this.verdict === 'notRun') {
      sendRefusal(this.res, new RefusalError('unavailable', 'notRun', message, {retryAfterMs}));
    } else {
      sendRefusal(this.res, new RefusalError('engineFailed', this.verdict, message));
    }
  }

  private timeOut(): void {
    if (this.end !== undefined) {
      return;
    }
    this.finish('timedOut');
    if (this.res.headersSent) {
      this.res.destroy();
      return;
    }
    const code = this.verdict === 'notRun' ? 'unavailable' : 'deadlineExceeded';
    sendRefusal(this.res, new RefusalError(code, this.verdict, 'The request’s time is over.'));
  }

  /** Whether what may have run may be sent once more. */
  private get mayGoOn(): boolean {
    return this.choice.hasAttemptLeft || (this.repeatable && this.choice.hasSendLeft);
  }

  private async attempt(): Promise<void> {
    if (this.verdict !== 'notRun' && !this.mayGoOn) {
      this.refuse('All engines that the request may be sent to have failed.');
      return;
    }
    const heldMs = this.suspicion.heldMs();
    if (heldMs !== undefined) {
      // One more run would most likely end another engine, with all that runs there.
      this.refuse('Engines ended when they began to run this request.', heldMs);
      return;
    }
    const engine = this.choice.next();
    if (engine === undefined) {
      await this.onNoEngine();
      return;
    }
    if (this.res.headersSent || this.choice.mayQueue(engine, this.waitedMs)) {
      await this.send(engine);
    } else if (!this.choice.hasWaited(this.waitedMs)) {
      await delay(LOOK_AGAIN_MS);
    } else {
      this.refuse('All engines of the service are full.');
    }
  }

  /** A stream that has begun is worth a wait, and so is a request that can still be in time. */
  private async onNoEngine(): Promise<void> {
    if (this.res.headersSent) {
      this.choice.forget();
    } else if (this.verdict === 'notRun' && this.choice.mayWaitForEngine(this.waitedMs)) {
      this.choice.forgetUnreached();
    } else {
      this.refuse('No engine of the service can take the request.');
      return;
    }
    await delay(LOOK_AGAIN_MS);
  }

  private async send(engine: EngineView): Promise<void> {
    const {decide, engineHealth: experience, online, latencies: pace, viewAgeMs, wire} = this.context;
    const {body, caller, metadata: facts, method, path, rawHeaders} = this.req;
    const resumeAfter = this.pass.lastEvent;
    this.suspicion.noteRun();
    this.broke = false;
    this.choice.noteSent(engine.id);
    decide(this.res.headersSent ? 'resumed' : 'placed', facts.requestId, {
      attempt: this.choice.attempts,
      engine: engine.id,
      online: online.requestsAt(engine.id),
      resumeAfter: resumeAfter ?? undefined,
      spentMs: Math.round(this.req.spentMs),
      viewAgeMs: Math.round(viewAgeMs()),
      waitedMs: Math.round(this.waitedMs),
    });
    const hadRoom = this.choice.hasRoom(engine);
    const end = online.registerRequest(engine.id);
    try {
      const headers = wire.engineHeaders({
        customer: caller.kind === 'customer' ? caller.name : undefined,
        deadlineMs: Math.max(1, Math.floor(this.remainingMs)),
        engine: engine.id,
        requestId: facts.requestId,
        resumeAfter,
      });
      this.call = startEngineCall(wire, pace, {
        address: engine.address,
        body,
        headers: forwardedHeaders(
          rawHeaders,
          headers,
          caller.kind === 'untold' ? [] : wire.callerHeaders,
        ),
        method,
        path,
        requestId: facts.requestId,
      });
      this.silence.start(hadRoom);
      const start = await this.call.started;
      if (start.kind === 'notRun') {
        this.call = undefined;
      }
      if (this.end === undefined) {
        await this.onStart(engine, start);
      }
    } finally {
      this.silence.stop();
      this.call?.close();
      this.call = undefined;
      end();
      if (this.end === undefined && !this.silence.leftQueue) {
        experience.recordAttempt(engine, false);
      }
    }
    if (this.broke) {
      await this.onBreak(engine);
    }
  }

  /** The caller of a request that has ended has its answer; no look holds it up. */
  private async onBreak(engine: EngineView): Promise<void> {
    const looked = this.suspicion.noteBreak(engine);
    if (this.end === undefined) {
      await looked;
    }
  }

  private giveUp(fields: LogFields): void {
    const resumeAfter = this.pass.lastEvent ?? undefined;
    this.context.decide('silent', this.req.metadata.requestId, {...fields, resumeAfter});
    this.call?.close();
  }

  private async onStart(engine: EngineView, start: EngineCallStart): Promise<void> {
    switch (start.kind) {
      case 'notRun':
        this.choice.noteNotRun(start.reason);
        this.context.decide('declined', this.req.metadata.requestId, {
          engine: engine.id,
          reason: start.reason,
        });
        if (this.choice.isDeclined) {
          this.refuse('The engines are full or can’t be reached.');
        }
        return;
      case 'mayHaveRun':
        this.onFailure(start.reason);
        return;
      case 'answer':
        await this.onAnswer(engine, start);
        return;
    }
  }

  /** An attempt failed after the request was sent. */
  private onFailure(reason: string): void {
    this.verdict = joinVerdicts(this.verdict, 'mayHaveRun');
    this.broke = !this.silence.hasLeft;
    if (!this.repeatable) {
      this.refuse(`The engine failed: ${reason}.`);
    }
  }

  private async onAnswer(engine: EngineView, {res}: Answer): Promise<void> {
    const status = res.statusCode ?? SERVER_ERROR;
    if (status >= SERVER_ERROR) {
      await this.onServerFailure(status, res);
      return;
    }
    this.verdict = 'ran';
    const isStream = (res.headers['content-type'] ?? '').startsWith('text/event-stream');
    const read =
      isStream && status < REDIRECTION ? this.pass.passStream(res) : this.pass.passWhole(res);
    const end = await read;
    if (this.end !== undefined) {
      return;
    }
    if (end === 'whole') {
      this.context.engineHealth.recordAttempt(engine, true);
      this.res.end();
      this.finish('served');
      return;
    }
    this.broke = !this.silence.hasLeft;
    if (!this.repeatable || (!isStream && this.res.headersSent)) {
      this.refuse('The engine broke its answer off.');
    }
  }

  /** The engine's own failure: another engine may do better, if the request may run again. */
  private async onServerFailure(status: number, res: IncomingMessage): Promise<void> {
    this.verdict = 'ran';
    if (this.res.headersSent || (this.repeatable && this.choice.hasAttemptLeft)) {
      return;
    }
    if (status === UNAVAILABLE) {
      // The status would promise that nothing ran.
      this.refuse('The engine failed.');
      return;
    }
    if ((await this.pass.passWhole(res)) === 'whole' && this.end === undefined) {
      this.res.end();
      this.finish('serverFailure');
    } else {
      this.refuse('The engine failed and broke its answer off.');
    }
  }
}
