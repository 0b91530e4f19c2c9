/**
 * Watch requests at a replica of the control group that doesn't lead.
 */
import type {Clock} from 'stallpaddle';
import type {FleetRequest, FleetView, WatchAnswer} from 'stallpaddle-fleet';

import {NotLeaderError} from 'stallpaddle-replication';

import type {NodeForwardedHeartbeats} from './NodeForwardedHeartbeats';
import type {NodeWatch} from './NodeWatch';

import {FORWARD_MAX_AGE_MS} from './NodeConstants';
import {NodeStatusPublisher, type PublishedState} from './NodeStatusPublisher';

/** Time for which new heartbeats are collected before they are forwarded together, in milliseconds. */
const FORWARD_DELAY_MS = 20;

/**
 * Answers watch requests at a follower from this process's view of the fleet, and forwards the watchers' heartbeats to the
 * leader.
 */
export class NodeFollowerHandler {
  private readonly publisher: NodeStatusPublisher;
  private forwardTimer: NodeJS.Timeout | undefined;

  /**
   * @param clock this process's clock
   * @param watch this process's view of the fleet
   * @param heartbeats collects the heartbeats to be forwarded
   */
  constructor(
    private readonly clock: Clock,
    private readonly watch: Pick<NodeWatch, 'ageMs' | 'ask' | 'view'>,
    private readonly heartbeats: NodeForwardedHeartbeats,
  ) {
    this.publisher = new NodeStatusPublisher(clock, () => this.read());
  }

  /**
   * Answers a watch request.
   *
   * @param request the request
   * @throws {NotLeaderError} while this process's own view is too old
   */
  answer(request: Extract<FleetRequest, {kind: 'watch'}>): Promise<WatchAnswer> {
    if (this.heartbeats.record(request.hellos, this.clock.monotonicMs())) {
      this.scheduleForward();
    }
    return this.publisher.answer(request.known, request.waitMs);
  }

  /**
   * Publishes a changed view of the fleet.
   *
   * @param view the new view
   * @param before the previous view
   */
  onView(view: FleetView, before: FleetView): void {
    const {fleet, term, told} = view;
    if (term !== before.term || fleet !== before.fleet) {
      this.publisher.publish({fleet, news: told, term});
    } else if (view.config !== before.config) {
      this.publisher.wakeAll();
    }
  }

  /** Wakes held requests after an unanswered watch of this process: they are refused once the view is too old. */
  onUnanswered(): void {
    this.publisher.wakeAll();
  }

  /** Forwards new or changed heartbeats before the replica's next regular watch, batching those of VMs that start together. */
  private scheduleForward(): void {
    this.forwardTimer ??= setTimeout(() => {
      this.forwardTimer = undefined;
      void this.watch.ask(0);
    }, FORWARD_DELAY_MS);
  }

  private read(): PublishedState {
    const {ageMs, view} = this.watch;
    if (ageMs > FORWARD_MAX_AGE_MS) {
      throw new NotLeaderError(null);
    }
    return {ageMs, config: view.config};
  }
}
