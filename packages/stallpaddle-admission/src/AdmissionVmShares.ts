/**
 * Fair shares at an entry VM: those of the dispatcher, or the VM's own while the dispatcher is lost.
 */
import type {MonotonicMs} from 'stallpaddle';

import type {DemandReport, SharesReport} from './AdmissionTypes';

import {AdmissionGate, type GateDecision} from './AdmissionGate';
import {AdmissionShares} from './AdmissionShares';

/** Shortest time between two computations of the VM's own shares, in milliseconds. */
const COMPUTE_INTERVAL_MS = 50;

/** Time for which the dispatcher's last shares hold while its reports tell none, in milliseconds. */
const HOLD_MS = 2_000;

const ROOM: SharesReport = {level: null, over: {}};

/** What the VM knows at a time. */
export interface VmShareInputs {
  /** Requests of this VM. */
  readonly demand: () => DemandReport;
  /** Whether the dispatcher's reports are recent. */
  readonly isFleetKnown: boolean;
  readonly now: MonotonicMs;
  /** Shares of the dispatcher; undefined while it tells none. */
  readonly shares: SharesReport | undefined;
  readonly weightOf: (customer: string) => number;
}

/**
 * Decides which requests go on. While the dispatcher is lost, the slots that this VM's requests occupy are shared among
 * its own customers as long as some of its requests wait.
 */
export class AdmissionVmShares {
  private computedAt: MonotonicMs = -Infinity;
  private known: DemandReport | undefined;
  private latest: SharesReport = ROOM;
  private told: {readonly at: MonotonicMs; readonly shares: SharesReport} = {
    at: -Infinity,
    shares: ROOM,
  };
  private own = new AdmissionShares();
  private readonly gate: AdmissionGate;

  /**
   * @param firstCredit as for `AdmissionGate`
   */
  constructor(firstCredit: number) {
    this.gate = new AdmissionGate(firstCredit);
  }

  /**
   * Decides on one request.
   *
   * @param customer its customer; empty for none
   * @param inputs what the VM knows
   */
  decide(customer: string, inputs: VmShareInputs): GateDecision {
    return this.gate.decide(customer, this.sharesFor(inputs));
  }

  /**
   * Shares in force: the dispatcher's, or the VM's own while the dispatcher is lost.
   *
   * @param inputs what the VM knows
   */
  sharesFor(inputs: VmShareInputs): SharesReport {
    if (inputs.isFleetKnown && inputs.shares !== undefined) {
      this.told = {at: inputs.now, shares: inputs.shares};
    }
    // A new dispatcher tells no shares until it has heard of all VMs.
    if (inputs.isFleetKnown && inputs.now - this.told.at < HOLD_MS) {
      this.forgetOwn();
      return this.told.shares;
    }
    if (inputs.now - this.computedAt >= COMPUTE_INTERVAL_MS) {
      this.computedAt = inputs.now;
      this.latest = this.ownShares(inputs);
    }
    return this.latest;
  }

  private forgetOwn(): void {
    if (this.known !== undefined) {
      this.known = undefined;
      this.latest = ROOM;
      this.own = new AdmissionShares();
    }
  }

  private ownShares({demand, now, weightOf}: VmShareInputs): SharesReport {
    const report = demand();
    this.own.replace(this.known, report, now);
    this.known = report;
    const {running, waiting} = this.own;
    // Without waiting requests the VM doesn't know whether slots are scarce.
    return waiting === 0 ? ROOM : this.own.report(Math.max(1, running), weightOf, now);
  }
}
