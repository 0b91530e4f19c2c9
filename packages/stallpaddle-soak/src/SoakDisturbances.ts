/** Disturbances during which time bounds are not checked. */
import type {SoakFault} from './SoakTypes';

/** Time after a disturbance during which time bounds are not checked, in milliseconds. */
export const SETTLE_AFTER_FAULT_MS = 4_000;

/** Whether a fault disturbs processes or links: time bounds are not checked during it and shortly after. */
function disturbsFleet({kind}: SoakFault): boolean {
  switch (kind) {
    case 'cut':
    case 'freeze':
    case 'kill':
    case 'killAll':
    case 'reset':
    case 'slow':
    case 'wipe':
      return true;
    case 'configure':
    case 'engineBreaks':
    case 'engineCrash':
    case 'engineLeaves':
    case 'engineSilent':
    case 'stop':
      return false;
  }
}

/** Tracks when processes, links and engines are disturbed. */
export class SoakDisturbances {
  private enginesUntil = -Infinity;
  private openFaults = {engines: 0, fleet: 0};
  private fleetUntil = -Infinity;

  /**
   * Records that a fault began or ended.
   *
   * @param at the time
   * @param fault the fault
   * @param change 1 when it began, -1 when it ended
   */
  noteFault(at: number, fault: SoakFault, change: 1 | -1): void {
    if (disturbsFleet(fault)) {
      this.openFaults.fleet += change;
      this.fleetUntil = at;
    } else {
      this.openFaults.engines += change;
      this.enginesUntil = at;
    }
  }

  /**
   * Records that a request crashed an engine.
   *
   * @param at the time
   */
  noteEngineEnd(at: number): void {
    this.enginesUntil = at;
  }

  /**
   * Whether processes and links have been undisturbed long enough for time bounds to apply.
   *
   * @param at the time
   */
  isUndisturbed(at: number): boolean {
    return this.openFaults.fleet === 0 && at - this.fleetUntil > SETTLE_AFTER_FAULT_MS;
  }

  /**
   * Whether, in addition, all engines have been undisturbed.
   *
   * @param at the time
   */
  isCalm(at: number): boolean {
    const isSettled = at - this.enginesUntil > SETTLE_AFTER_FAULT_MS;
    return this.isUndisturbed(at) && this.openFaults.engines === 0 && isSettled;
  }
}
