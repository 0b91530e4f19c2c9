/** Orders to engines, sent by the VM that leads the control group. */
import type {Clock, EngineId, Logger} from 'stallpaddle';
import type {ControlPort, EngineOrder, EngineReport, FleetConfig} from 'stallpaddle-control';
import type {EngineAdapter} from 'stallpaddle-engine';

import {fencingToken, nextOrders} from 'stallpaddle-control';

import type {VmGroups} from './VmGroups';

import {ENGINE_STATUS_TIMEOUT_MS, ORDER_TAKEOVER_MS} from './VmConstants';

/** Dependencies of `VmOrders`. */
export interface VmOrdersOptions {
  readonly adapterOf: (engine: EngineId) => EngineAdapter | undefined;
  readonly clock: Clock;
  readonly control: ControlPort;
  readonly groups: VmGroups;
  readonly logger: Logger;
}

/** Reconciles the weights that engines hold with the configuration, while this VM leads the control group. */
export class VmOrders {
  private orderCount = 0;
  private leaderSince: number | undefined;
  private term = 0;

  /**
   * @param options dependencies
   */
  constructor(private readonly options: VmOrdersOptions) {}

  /** Reconciles all engines once, if this VM leads the control group. */
  async check(): Promise<void> {
    const replica = this.options.groups.controlReplica;
    if (replica?.leads !== true) {
      this.leaderSince = undefined;
      return;
    }
    this.trackLeadership(replica.status.term);
    await this.reconcile(replica.localState.config);
  }

  private trackLeadership(term: number): void {
    if (this.leaderSince === undefined || this.term !== term) {
      this.leaderSince = this.options.clock.monotonicMs();
      this.term = term;
      this.orderCount = 0;
    }
  }

  private async reconcile(config: FleetConfig): Promise<void> {
    const reports = await Promise.all([...config.engines.keys()].map((id) => this.report(id)));
    const known = reports.filter((report) => report !== undefined);
    for (const order of nextOrders(config, known)) {
      await this.sendOrder(config, order);
    }
  }

  private async report(engine: EngineId): Promise<EngineReport | undefined> {
    try {
      const status = await this.options.adapterOf(engine)?.status(ENGINE_STATUS_TIMEOUT_MS);
      return status && {engine, loaded: status.load.weights, loading: status.loading};
    } catch {
      return undefined;
    }
  }

  private mayOrder(config: FleetConfig, engine: EngineId): boolean {
    const replica = this.options.groups.controlReplica;
    if (replica?.leads !== true || replica.status.term !== this.term) {
      return false;
    }
    // An engine that checks no fencing token could still accept an order of the previous leader.
    const checksFencing = config.engines.get(engine)?.checksFencing === true;
    const leaderMs = this.options.clock.monotonicMs() - (this.leaderSince ?? Infinity);
    return checksFencing || leaderMs >= ORDER_TAKEOVER_MS;
  }

  private async sendOrder(config: FleetConfig, {engine, target}: EngineOrder): Promise<void> {
    const adapter = this.options.adapterOf(engine);
    if (adapter === undefined || !this.mayOrder(config, engine)) {
      return;
    }
    const fencing = fencingToken(this.term, this.orderCount++);
    const outcome = await adapter.order(target, fencing);
    const detail = `${engine} shall hold ${target.join(', ') || 'nothing'} (${fencing}): ${outcome.kind}`;
    this.options.logger.info('Sent an order to an engine.', {
      engine,
      fencing,
      outcome: outcome.kind,
    });
    await this.options.control
      .command({
        action: 'order',
        actor: 'control',
        detail,
        now: this.options.clock.wallMs(),
        type: 'note',
      })
      .catch(() =>
        this.options.logger.warn('Failed to record an engine order in the audit trail.', {engine}),
      );
  }
}
