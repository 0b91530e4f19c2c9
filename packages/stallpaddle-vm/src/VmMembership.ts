/** This VM's membership view. */
import type {Clock} from 'stallpaddle';
import type {MembershipEvent, MembershipState, VmMetadata} from 'stallpaddle-membership';

import {initialMembership, stepMembership} from 'stallpaddle-membership';

/** Holds the membership view, which only events change. */
export class VmMembership {
  private view: MembershipState;

  /**
   * @param clock clock that times the events
   * @param self this VM's metadata at the start
   */
  constructor(
    private readonly clock: Clock,
    self: VmMetadata,
  ) {
    this.view = initialMembership(self, clock.monotonicMs());
  }

  get state(): MembershipState {
    return this.view;
  }

  /**
   * Applies an event.
   *
   * @param event what happened
   */
  step(event: MembershipEvent): void {
    this.view = stepMembership(this.view, event, this.clock.monotonicMs());
  }
}
