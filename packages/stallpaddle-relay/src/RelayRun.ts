import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EngineId, MonotonicMs, Verdict} from 'stallpaddle';
import type {EngineView} from 'stallpaddle-fleet';

import {delay, joinVerdicts, RefusalError} from 'stallpaddle';

/**
 * Brings one online request to an engine and its answer back, with further attempts where nothing can
 * run twice by them.
 */
import type {RelayContext, RelayEnd, RelayRequest} from './RelayTypes';

import {sendRefusal} from './RelayAnswers';
import {
  LATE_WAIT_MS,
  LOOK_AGAIN_MS,
  MAX_DECLINES,
  QUEUED_AT_LAST,
  QUEUED_IN_TIME,
  RETRY_AFTER_MS,
  SERVER_ERROR,
  SILENT_FIRST_MS,
  SILENT_STREAM_MS,
} from './RelayConstants';
import {type EngineCall, type EngineCallStart, startEngineCall} from './RelayEngineCall';
import {passedHeaders} from './RelayHeaders';
import {RelayPass} from './RelayPass';
import {drawService, isSound, placeRequest} from './RelayPlacement';
import {RelaySilence} from './RelaySilence';

type Answer = Extract<EngineCallStart, {kind: 'answer'}>;

/** The engine's word that it did not run the request. */
const UNAVAILABLE = 503;
/** First status that is no success; events come with a success only. */
const REDIRECTION = 300;

/** See the module's comment. */
export class RelayRun {
  private call: EngineCall | undefined;
  private declines = 0;
  private end: RelayEnd | undefined;
  private firstMs: number | undefined;
  /** Whether the engine under way had a free slot when the request was sent. */
  private hadRoom = false;
  /** Whether the engine under way has sent anything. */
  private heard = false;
  /** Whether the engine under way was left only because another one had room. */
  private leftQueue = false;
  private readonly pass: RelayPass;
  private reason: string | undefined;
  /** When the request was sent, or its engine last heard. */
  private lastAt: MonotonicMs = 0;
  private readonly sentTo = new Set<EngineId>();
  private readonly silence: RelaySilence;
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
    this.pass = new RelayPass({
      isOver: () => this.end !== undefined,
      lastEvent: req.facts.resumeAfter,
      onHead: () => {
        this.firstMs = Math.round(this.waitedMs);
      },
      onHeard: () => this.onHeard(),
      res,
    });
    this.silence = new RelaySilence({
      giveUp: () => this.giveUp(),
      mayMove: () => this.mayMove,
    });
  }

  private get repeatable(): boolean {
    const {kind, resumable} = this.req.route;
    return kind === 'repeatable' || (kind === 'streaming' && resumable);
  }

  private get waitedMs(): number {
    return this.context.clock.monotonicMs() - this.req.arrivedAt;
  }

  private get remainingMs(): number {
    const {arrivedAt, facts, route} = this.req;
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
    const {facts, route} = this.req;
    this.context.decide('ended', facts.requestId, {
      end: this.end,
      engines: [...this.sentTo].join(','),
      firstMs: this.firstMs,
      kind: route.kind,
      ms: Math.round(this.waitedMs),
      reason: this.reason,
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
    }
  }

  private refuse(message: string): void {
    if (this.end !== undefined) {
      return;
    }
    this.reason = message;
    this.finish(this.res.headersSent ? 'broken' : 'refused');
    if (this.res.headersSent) {
      // Without its last chunk the answer can't be taken for a whole one.
      this.res.destroy();
    } else if (this.verdict === 'notRun') {
      const details = {retryAfterMs: RETRY_AFTER_MS};
      sendRefusal(this.res, new RefusalError('unavailable', 'notRun', message, details));
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

  private place(): EngineView | undefined {
    const {clock, engines, experience, online, random, zone} = this.context;
    const service = drawService(this.req.route, random);
    if (service === undefined) {
      return undefined;
    }
    return placeRequest({
      engines: engines(),
      experienceOf: (id) => experience.of(id),
      isSuspect: (id) => online.isSuspect(id),
      now: clock.monotonicMs(),
      onlineAt: (id) => online.at(id),
      random,
      service,
      tried: this.sentTo,
      zone,
    });
  }

  private async attempt(): Promise<void> {
    const {maxAttempts} = this.req.route;
    if (this.verdict !== 'notRun' && this.sentTo.size - this.declines >= maxAttempts) {
      this.refuse('All engines that the request may be sent to have failed.');
      return;
    }
    const engine = this.place();
    if (engine === undefined) {
      // A stream that has begun is worth a wait; a request that has not is better refused at once.
      if (this.res.headersSent) {
        this.sentTo.clear();
        await delay(LOOK_AGAIN_MS);
      } else {
        this.refuse('No engine of the service can take the request.');
      }
      return;
    }
    const online = this.context.online.at(engine.id);
    if (this.res.headersSent || online < engine.slots * (1 + this.queuedPart())) {
      await this.send(engine);
    } else if (this.waitedMs < LATE_WAIT_MS) {
      await delay(LOOK_AGAIN_MS);
    } else {
      this.refuse('All engines of the service are full.');
    }
  }

  /**
   * How far beyond its slots an engine may be sent this request, as a part of its slots. A request that can
   * be in time goes before those that can't: these wait for a free slot, and queue only at last.
   */
  private queuedPart(): number {
    const {objectiveMs} = this.req.route;
    if (this.waitedMs >= LATE_WAIT_MS) {
      return QUEUED_AT_LAST;
    }
    const isInTime =
      this.req.spentMs + this.waitedMs + this.context.pace.firstEvent.meanMs < objectiveMs;
    return isInTime || objectiveMs === 0 ? QUEUED_IN_TIME : 0;
  }

  private async send(engine: EngineView): Promise<void> {
    const {decide, experience, online, pace, viewAgeMs, wire} = this.context;
    const {body, facts, method, path, rawHeaders} = this.req;
    const resumeAfter = this.pass.lastEvent;
    this.sentTo.add(engine.id);
    decide(this.res.headersSent ? 'resumed' : 'placed', facts.requestId, {
      attempt: this.sentTo.size,
      engine: engine.id,
      online: online.at(engine.id),
      resumeAfter: resumeAfter ?? undefined,
      spentMs: Math.round(this.req.spentMs),
      viewAgeMs: Math.round(viewAgeMs()),
      waitedMs: Math.round(this.waitedMs),
    });
    this.hadRoom = online.at(engine.id) < engine.slots;
    const end = online.registerRequest(engine.id);
    try {
      const headers = wire.engineHeaders({
        deadlineMs: Math.max(1, Math.floor(this.remainingMs)),
        engine: engine.id,
        requestId: facts.requestId,
        resumeAfter,
      });
      this.call = startEngineCall(wire, pace, {
        address: engine.address,
        body,
        headers: passedHeaders(rawHeaders, headers),
        method,
        path,
        requestId: facts.requestId,
      });
      this.waitForFirst();
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
      if (this.end === undefined && !this.leftQueue) {
        experience.note(engine.id, false);
      }
    }
  }

  /** Whether another engine that works well has a free slot, and the request may be sent there. */
  private get mayMove(): boolean {
    const {clock, experience, online} = this.context;
    if (this.sentTo.size - this.declines >= this.req.route.maxAttempts) {
      return false;
    }
    const engine = this.place();
    return (
      engine !== undefined &&
      isSound(engine, experience.of(engine.id), clock.monotonicMs()) &&
      !online.isSuspect(engine.id) &&
      online.at(engine.id) < engine.slots
    );
  }

  private giveUp(): void {
    this.leftQueue = !this.heard && !this.hadRoom;
    this.context.decide('silent', this.req.facts.requestId, {
      hadRoom: this.hadRoom,
      ms: Math.round(this.context.clock.monotonicMs() - this.lastAt),
      resumeAfter: this.pass.lastEvent ?? undefined,
    });
    this.call?.close();
  }

  /** Only a stream that can go on elsewhere is given up for silence. */
  private waitForFirst(): void {
    this.heard = false;
    this.leftQueue = false;
    this.lastAt = this.context.clock.monotonicMs();
    if (this.req.route.resumable) {
      const usual = this.context.pace.firstEvent;
      this.silence.wait({usual, worstMs: SILENT_FIRST_MS});
    }
  }

  private onHeard(): void {
    const {clock, pace} = this.context;
    const now = clock.monotonicMs();
    if (this.heard) {
      pace.gap.note(now - this.lastAt);
    } else if (this.hadRoom) {
      pace.firstEvent.note(now - this.lastAt);
    }
    this.heard = true;
    this.lastAt = now;
    if (this.req.route.resumable) {
      this.silence.wait({usual: pace.gap, worstMs: SILENT_STREAM_MS});
    }
  }

  private async onStart(engine: EngineView, start: EngineCallStart): Promise<void> {
    switch (start.kind) {
      case 'notRun':
        this.declines++;
        this.context.decide('declined', this.req.facts.requestId, {
          engine: engine.id,
          reason: start.reason,
        });
        if (this.declines >= MAX_DECLINES) {
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
      this.context.experience.note(engine.id, true);
      this.res.end();
      this.finish('served');
      return;
    }
    if (!this.repeatable || (!isStream && this.res.headersSent)) {
      this.refuse('The engine broke its answer off.');
    }
  }

  /** The engine's own failure: another engine may do better, if the request may run again. */
  private async onServerFailure(status: number, res: IncomingMessage): Promise<void> {
    const attemptsLeft = this.sentTo.size - this.declines < this.req.route.maxAttempts;
    this.verdict = 'ran';
    if (this.res.headersSent || (this.repeatable && attemptsLeft)) {
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
