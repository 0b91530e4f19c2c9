/**
 * Binding of a stream to the software version that began it.
 */
import type {EngineView} from 'stallpaddle-fleet';

import type {RelayEngineSelector} from './RelayEngineSelector';
import type {StreamRecord} from './RelayStreams';
import type {RelayContext, RelayRequest} from './RelayTypes';

import {isNamedByStart} from './RelayProbe';
import {UNCONFIRMED_SOFTWARE} from './RelayStreams';

/** Why a stream can't go on. */
type LossReason = 'noEngine' | 'unknownVersion';

const MESSAGES: Readonly<Record<LossReason, string>> = {
  noEngine: 'No engine has the software version that began the stream.',
  unknownVersion: 'The software version that began the stream is unknown.',
};

/** The part of the relay's dependencies that is used here. */
type Dependencies = Pick<RelayContext, 'decide' | 'starts' | 'streams'>;

/** Keeps one stream at the software version that began it, within a response and over its caller's attempts. */
export class RelayStreamBinding {
  /** Engine whose response is being forwarded as a stream. */
  private engine: EngineView | undefined;
  /** Engine that brought the first event; undefined before it, and for a stream that was taken up again. */
  private firstEngine: EngineView | undefined;
  /** Whether that engine is the start that was selected; pending until it has responded. */
  private isFirstConfirmed: Promise<boolean> = Promise.resolve(true);

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
    return this.engine !== undefined && (await this.confirm(this.engine));
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
    if (firstEngine === undefined || (await this.isFirstConfirmed)) {
      return undefined;
    }
    // The engine may have been too slow to respond before.
    this.confirmFirst(firstEngine);
    return (await this.isFirstConfirmed)
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

  /** Confirms the engine that brought the first event, and records the stream. */
  private confirmFirst(engine: EngineView): void {
    this.isFirstConfirmed = this.confirm(engine);
    const known = this.recordOf(engine);
    const record = this.isFirstConfirmed.then((isConfirmed) =>
      isConfirmed ? known : {...known, software: UNCONFIRMED_SOFTWARE},
    );
    this.context.streams.recordLater(known.firstAttempt, record);
  }

  private recordOf({service, softwareVersion}: EngineView): StreamRecord {
    const {firstAttempt, requestId, resumeAfter} = this.req.metadata;
    return {
      firstAttempt: resumeAfter === null ? requestId : (firstAttempt ?? requestId),
      software: {service, softwareVersion},
    };
  }

  private async confirm(engine: EngineView): Promise<boolean> {
    const check = await this.context.starts.confirm(engine);
    if (check !== 'confirmed') {
      const {id, softwareVersion, startedAtMs} = engine;
      const fields = {check, engine: id, softwareVersion, startedAtMs};
      this.context.decide('unconfirmed', this.req.metadata.requestId, fields);
    }
    return check === 'confirmed';
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
