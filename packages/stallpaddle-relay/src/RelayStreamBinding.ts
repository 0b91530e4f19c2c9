/**
 * Binding of a stream to the software version that began it.
 */
import type {EngineSoftware, EngineView} from 'stallpaddle-fleet';

import {delay} from 'stallpaddle';

import type {RelayEngineSelector} from './RelayEngineSelector';
import type {StreamRecord} from './RelayStreams';
import type {RelayContext, RelayRequest} from './RelayTypes';

import {RECHECK_INTERVAL_MS} from './RelayConstants';
import {isNamedByStart, type OtherStart, type StartCheck} from './RelayProbe';
import {UNCONFIRMED_SOFTWARE} from './RelayStreams';

/** Why a stream can't go on. */
type LossReason = 'noEngine' | 'unknownVersion';

const MESSAGES: Readonly<Record<LossReason, string>> = {
  noEngine: 'No engine has the software version that began the stream.',
  unknownVersion: 'The software version that began the stream is unknown.',
};

/** The part of the relay's dependencies that is used here. */
type Dependencies = Pick<RelayContext, 'decide' | 'engines' | 'starts' | 'streams'>;

/** Questions to an engine whose report doesn't list a request that it may run, and the pause between them, in milliseconds. */
const MAX_CONFIRMATIONS = 4;
const CONFIRMATION_PAUSE_MS = 250;
/** Longest time until the fleet status names a start that responds already, in milliseconds: longer than most elections. */
const MAX_REPORT_MS = 5_000;
/** Longest wait of an interrupted stream for the software that began it, in milliseconds. */
const MAX_BEGIN_WAIT_MS = 1_000;

/** Keeps one stream at the software version that began it, within a response and over its caller's attempts. */
export class RelayStreamBinding {
  /** Engine whose response is being forwarded as a stream. */
  private engine: EngineView | undefined;
  /** Engine that brought the first event; undefined before it, and for a stream that was taken up again. */
  private firstEngine: EngineView | undefined;
  /** Software of that engine; pending until it is certain, undefined if it can't be known. */
  private firstSoftware: Promise<EngineSoftware | undefined> = Promise.resolve(undefined);
  /** Whether the response of that engine was interrupted, so that its report no longer lists the request. */
  private isInterrupted = false;

  /**
   * @param context dependencies of the relay
   * @param req the request
   * @param selector selects the engines of the request
   */
  constructor(
    private readonly context: Dependencies,
    private readonly req: RelayRequest,
    private readonly selector: RelayEngineSelector,
  ) {}

  /**
   * Binds a stream that its caller takes up again to the software that began it.
   *
   * @returns why it can't go on; undefined if it can, or is new
   */
  async bindReturn(): Promise<string | undefined> {
    const {metadata, route} = this.req;
    if (route.kind !== 'streaming' || metadata.resumeAfter === null) {
      return undefined;
    }
    const software = await this.context.streams.find(metadata.firstAttempt, route);
    if (software === undefined) {
      return this.describeLoss('unknownVersion', metadata.resumeAfter);
    }
    this.selector.bindTo(software);
    return undefined;
  }

  /**
   * Records whose response is forwarded next.
   *
   * @param engine the engine; undefined if the response is no stream of events
   */
  noteForwarding(engine: EngineView | undefined): void {
    this.engine = engine;
  }

  /**
   * Whether the engine must be confirmed before any of its events is forwarded: they continue a stream, and another start of
   * the engine may have another software version.
   */
  get mustConfirm(): boolean {
    const {engine, selector} = this;
    return engine !== undefined && selector.begunBy !== undefined && !isNamedByStart(engine);
  }

  /** Checks whether the engine whose response is forwarded next is the start that was selected. */
  async confirmForwarding(): Promise<boolean> {
    return this.engine !== undefined && (await this.confirm(this.engine)).kind === 'confirmed';
  }

  /** Binds a stream to the engine that brings its first event, before the caller gets the event. */
  noteFirstEvent(): void {
    const {engine} = this;
    if (engine === undefined || !this.req.route.resumable) {
      return;
    }
    const isReturn = this.selector.begunBy !== undefined;
    this.selector.bindTo(engine);
    if (isReturn || isNamedByStart(engine)) {
      this.context.streams.record(this.recordOf(engine));
      return;
    }
    this.firstEngine = engine;
    this.confirmFirst(engine);
  }

  /**
   * Checks before a stream goes on within its response whether it is certain which software began it.
   *
   * @param lastEventId last event that the caller has
   * @returns why the stream can't go on; undefined if it can
   */
  async checkBegin(lastEventId: null | string): Promise<string | undefined> {
    const {firstEngine} = this;
    this.isInterrupted = true;
    if (firstEngine === undefined || (await this.isFirstKnown())) {
      return undefined;
    }
    // The engine may have been too slow to respond before.
    this.confirmFirst(firstEngine);
    return (await this.isFirstKnown())
      ? undefined
      : this.describeLoss('unknownVersion', lastEventId);
  }

  /**
   * Checks whether any engine has the stream's software version.
   *
   * @param lastEventId last event that the caller has
   * @returns why the stream can't go on; undefined if it can, or has not begun
   */
  checkServed(lastEventId: null | string): string | undefined {
    return this.selector.isVersionServed ? undefined : this.describeLoss('noEngine', lastEventId);
  }

  private async isFirstKnown(): Promise<boolean> {
    const timeout = delay(MAX_BEGIN_WAIT_MS).then(() => undefined);
    return (await Promise.race([this.firstSoftware, timeout])) !== undefined;
  }

  /** Finds out which software brought the first event, and records the stream. */
  private confirmFirst(engine: EngineView): void {
    const check = this.confirm(engine);
    const first: Promise<EngineSoftware | undefined> = check.then(({kind}) =>
      kind === 'confirmed' ? engine : undefined,
    );
    // A caller that returns before another start is known must be rejected, at other VMs, too.
    const record = first.then((software = UNCONFIRMED_SOFTWARE) => this.recordOf(software));
    this.context.streams.recordLater(this.firstAttempt, record);
    this.firstSoftware = check.then((known) =>
      known.kind === 'other' ? this.awaitOtherStart(engine, known.start) : first,
    );
  }

  /** Waits until it is certain which other start of an engine responds, and which software it has, and records the stream. */
  private async awaitOtherStart(
    engine: EngineView,
    start: null | OtherStart,
  ): Promise<EngineSoftware | undefined> {
    const {requestId} = this.req.metadata;
    let runningStart = start;
    // The engine's report may be from before it began to run the request.
    for (let tries = 0; tries < MAX_CONFIRMATIONS && !this.isInterrupted; tries++) {
      if (runningStart === null || runningStart.running.includes(requestId)) {
        break;
      }
      await delay(CONFIRMATION_PAUSE_MS);
      const check = await this.confirm(engine);
      runningStart = check.kind === 'other' ? check.start : null;
    }
    const software =
      runningStart?.running.includes(requestId) === true
        ? await this.softwareOfStart(engine, runningStart)
        : undefined;
    if (software !== undefined) {
      this.selector.bindTo(software);
      this.context.streams.record(this.recordOf(software));
    }
    return software;
  }

  /** Software of a start that runs the request, once the fleet status names that start; undefined if it doesn't soon. */
  private async softwareOfStart(
    {id}: EngineView,
    {startedAtMs}: OtherStart,
  ): Promise<EngineSoftware | undefined> {
    const isStart = (other: EngineView): boolean =>
      other.id === id && other.startedAtMs === startedAtMs;
    for (let waitedMs = 0; waitedMs <= MAX_REPORT_MS; waitedMs += RECHECK_INTERVAL_MS) {
      const start = this.context.engines().find(isStart);
      if (start !== undefined) {
        return start;
      }
      await delay(RECHECK_INTERVAL_MS);
    }
    return undefined;
  }

  private get firstAttempt(): string {
    const {firstAttempt, requestId, resumeAfter} = this.req.metadata;
    return resumeAfter === null ? requestId : (firstAttempt ?? requestId);
  }

  private recordOf({service, softwareVersion}: EngineSoftware): StreamRecord {
    return {firstAttempt: this.firstAttempt, software: {service, softwareVersion}};
  }

  private async confirm(engine: EngineView): Promise<StartCheck> {
    const check = await this.context.starts.confirm(engine);
    if (check.kind !== 'confirmed') {
      const {id, softwareVersion, startedAtMs} = engine;
      const fields = {check: check.kind, engine: id, softwareVersion, startedAtMs};
      this.context.decide('unconfirmed', this.req.metadata.requestId, fields);
    }
    return check;
  }

  private describeLoss(reason: LossReason, lastEventId: null | string): string {
    const {metadata, route} = this.req;
    const {begunBy} = this.selector;
    this.context.decide('notResumed', metadata.requestId, {
      firstAttempt: metadata.firstAttempt ?? undefined,
      reason,
      resumeAfter: lastEventId ?? undefined,
      route: route.name,
      service: begunBy?.service,
      softwareVersion: begunBy?.softwareVersion,
    });
    return MESSAGES[reason];
  }
}
