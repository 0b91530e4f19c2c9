/**
 * Answers questions for news at a replica that doesn't lead, with what the leader told this process; passes on to the
 * leader what the askers say of themselves.
 */
import type {Clock} from 'stallpaddle';
import type {FleetRequest, FleetView, WatchAnswer} from 'stallpaddle-fleet';

import {NotLeaderError} from 'stallpaddle-replication';

import type {NodeForwardedHeartbeats} from './NodeForwardedHeartbeats';
import type {NodeWatch} from './NodeWatch';

import {RELAY_AGE_MS} from './NodeConstants';
import {NodeStatusPublisher, type PublishedState} from './NodeStatusPublisher';

/** Time for which what processes say for the first time is gathered, in milliseconds: a fifth of the leader's own pause. */
const FORWARD_DELAY_MS = 20;

/** See the module's comment. */
export class NodeFollowerHandler {
  private readonly publisher: NodeStatusPublisher;
  private forwardTimer: NodeJS.Timeout | undefined;

  /**
   * @param clock this process's clock
   * @param watch what this process knows
   * @param heartbeats what processes have said to this one
   */
  constructor(
    private readonly clock: Clock,
    private readonly watch: Pick<NodeWatch, 'ageMs' | 'ask' | 'view'>,
    private readonly heartbeats: NodeForwardedHeartbeats,
  ) {
    this.publisher = new NodeStatusPublisher(clock, () => this.read());
  }

  /**
   * Answers a question.
   *
   * @param request the question
   * @throws {NotLeaderError} while this process itself knows too little
   */
  answer(request: Extract<FleetRequest, {kind: 'watch'}>): Promise<WatchAnswer> {
    if (this.heartbeats.record(request.hellos, this.clock.monotonicMs())) {
      this.scheduleForward();
    }
    return this.publisher.answer(request.known, request.waitMs);
  }

  /**
   * Follows what this process knows.
   *
   * @param view what it knows now
   * @param before what it knew before
   */
  onView(view: FleetView, before: FleetView): void {
    const {fleet, term, told} = view;
    if (term !== before.term || fleet !== before.fleet) {
      this.publisher.publish({fleet, news: told, term});
    } else if (view.config !== before.config) {
      this.publisher.wakeAll();
    }
  }

  /** Nobody told this process anything: those that wait here are sent elsewhere once it knows too little. */
  onUnanswered(): void {
    this.publisher.wakeAll();
  }

  /** A VM that comes or leaves is told to the leader before this replica's next question; those that start together go together. */
  private scheduleForward(): void {
    this.forwardTimer ??= setTimeout(() => {
      this.forwardTimer = undefined;
      void this.watch.ask(0);
    }, FORWARD_DELAY_MS);
  }

  private read(): PublishedState {
    const {ageMs, view} = this.watch;
    if (ageMs > RELAY_AGE_MS) {
      throw new NotLeaderError(null);
    }
    return {ageMs, config: view.config};
  }
}
