/**
 * Holds this VM's membership view.
 */
import type {Clock} from 'stallpaddle';
import type {MembershipEvent, MembershipState, VmMetadata} from 'stallpaddle-membership';

import {initialMembership, stepMembership} from 'stallpaddle-membership';

/** The view, changed by events only. */
export class VmMembership {
  private view: MembershipState;

  /**
   * @param clock times
   * @param self this VM's facts at the start
   */
  constructor(
    private readonly clock: Clock,
    self: VmMetadata,
  ) {
    this.view = initialMembership(self, clock.monotonicMs());
  }

  /** The view at present. */
  get state(): MembershipState {
    return this.view;
  }

  /**
   * Takes in an event.
   *
   * @param event what happened
   */
  step(event: MembershipEvent): void {
    this.view = stepMembership(this.view, event, this.clock.monotonicMs());
  }
}
