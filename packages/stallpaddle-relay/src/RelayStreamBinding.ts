/**
 * Binding of a stream to the software version that began it.
 */
import type {EngineView} from 'stallpaddle-fleet';

import type {RelayEngineSelector} from './RelayEngineSelector';
import type {RelayContext, RelayRequest} from './RelayTypes';

/** Why a stream can't go on. */
type LossReason = 'noEngine' | 'unknownVersion';

const MESSAGES: Readonly<Record<LossReason, string>> = {
  noEngine: 'No engine has the software version that began the stream.',
  unknownVersion: 'The software version that began the stream is unknown.',
};

/** Keeps one stream at the software version that began it, within a response and over its caller's attempts. */
export class RelayStreamBinding {
  /** Engine whose response is being forwarded as a stream. */
  private engine: EngineView | undefined;

  /**
   * @param context dependencies of the relay
   * @param req the request
   * @param selector selects the engines of the request
   */
  constructor(
    private readonly context: Pick<RelayContext, 'decide' | 'streams'>,
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

  /** Binds a stream to the engine that brings its first event, before the caller gets the event. */
  noteFirstEvent(): void {
    const {metadata, route} = this.req;
    if (this.engine === undefined || !route.resumable) {
      return;
    }
    const {service, softwareVersion} = this.engine;
    const software = {service, softwareVersion};
    const {firstAttempt, requestId, resumeAfter} = metadata;
    this.selector.bindTo(software);
    this.context.streams.record({
      firstAttempt: resumeAfter === null ? requestId : (firstAttempt ?? requestId),
      software,
    });
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
