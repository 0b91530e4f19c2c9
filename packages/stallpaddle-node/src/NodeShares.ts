/** Fair shares of customers at an entry VM. */
import type {Clock, CustomerId, LogFields} from 'stallpaddle';
import type {Feature} from 'stallpaddle-fleet';
import type {OnlineReportDetails} from 'stallpaddle-jobs';

import {hash32, refuse} from 'stallpaddle';
import {
  AdmissionVmShares,
  allowedFraction,
  shareWeight,
  type VmShareInputs,
} from 'stallpaddle-admission';
import {demandName, type RelayCaller, RelayDemand, type RelayFleetLoad} from 'stallpaddle-relay';

import type {NodeCustomers} from './NodeCustomers';

/** Bounds the counts of rejections; the customer that was counted first is dropped first. */
const MAX_COUNTED = 1_024;

/** Values of a hash. */
const HASH_RANGE = 2 ** 32;

/** Dependencies of `NodeShares`. */
export interface NodeSharesOptions {
  readonly clock: Clock;
  readonly customers: Pick<NodeCustomers, 'find'>;
  /** Logs a rejection. */
  readonly decide: (requestId: string, fields: LogFields) => void;
  readonly fleetLoad: RelayFleetLoad;
  /** This VM. */
  readonly host: string;
  readonly isOn: (feature: Feature) => boolean;
  /** Requests that wait for a slot on this VM, by customer. */
  readonly waiting?: () => Readonly<Record<string, number>>;
}

function doNothing(): void {}

/** Counts this VM's requests by customer for the dispatcher, and rejects requests of customers above their share. */
export class NodeShares {
  private readonly demand: RelayDemand;
  private readonly rejections = new Map<string, number>();
  private readonly shares: AdmissionVmShares;

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeSharesOptions) {
    this.demand = new RelayDemand(options.clock, options.waiting);
    this.shares = new AdmissionVmShares(hash32(options.host) / HASH_RANGE);
  }

  /** Requests rejected since the start, by customer. */
  get rejected(): ReadonlyMap<string, number> {
    return this.rejections;
  }

  /**
   * Rejects a request if its customer is above its share. Nothing is asked or counted for it before.
   *
   * @param caller its sender
   * @param requestId its id
   * @throws {RefusalError} `overloaded` with the time after which the share is expected to have room
   */
  check(caller: RelayCaller, requestId: string): void {
    const {decide, fleetLoad, isOn} = this.options;
    if (!isOn('fairShares')) {
      return;
    }
    const customer = demandName(caller);
    const decision = this.shares.decide(customer, this.inputs());
    if (decision.kind === 'rejected') {
      const {fraction, retryAfterMs} = decision;
      this.demand.noteRejected(customer);
      this.countRejection(customer);
      decide(requestId, {
        customer,
        fraction,
        level: fleetLoad.shares?.level ?? undefined,
        reportAgeMs: Math.round(Math.min(fleetLoad.ageMs, Number.MAX_SAFE_INTEGER)),
        retryAfterMs,
      });
      const message = 'Slots are scarce, and the customer is above its share.';
      throw refuse('overloaded', message, {retryAfterMs});
    }
  }

  /**
   * Counts a request that is to be served.
   *
   * @param caller its sender
   * @returns removes it from the count, and learns its duration if it has run
   */
  register(caller: RelayCaller): (hasRun: boolean) => void {
    return this.isReporting ? this.demand.register(demandName(caller)) : doNothing;
  }

  /** What reports to the dispatcher tell. */
  reportDetails(): Pick<OnlineReportDetails, 'demand'> {
    return this.isReporting ? {demand: this.demand.report()} : {};
  }

  /**
   * Tells which customers are above their share at this moment; their waiting requests come after those of others.
   *
   * @returns whether a customer, empty for none, is above its share
   */
  aboveShare(): (customer: CustomerId) => boolean {
    if (!this.options.isOn('fairShares')) {
      return () => false;
    }
    const shares = this.shares.sharesFor(this.inputs());
    return (customer) => allowedFraction(customer, shares) !== undefined;
  }

  private inputs(): VmShareInputs {
    const {clock, fleetLoad} = this.options;
    return {
      demand: () => this.demand.report(),
      isFleetKnown: fleetLoad.isCurrent,
      now: clock.monotonicMs(),
      shares: fleetLoad.shares,
      weightOf: (name) => this.weightOf(name),
    };
  }

  /** The admission queue needs the number of waiting requests too. */
  private get isReporting(): boolean {
    const {isOn} = this.options;
    return isOn('fairShares') || isOn('admission');
  }

  private countRejection(customer: string): void {
    this.rejections.set(customer, (this.rejections.get(customer) ?? 0) + 1);
    const [first] = this.rejections.keys();
    if (first !== undefined && this.rejections.size > MAX_COUNTED) {
      this.rejections.delete(first);
    }
  }

  private weightOf(name: string): number {
    const customer = this.options.customers.find(name);
    return customer === undefined ? 1 : shareWeight(customer);
  }
}
