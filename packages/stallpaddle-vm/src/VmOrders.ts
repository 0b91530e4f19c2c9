/**
 * Brings engines to what the configuration says, from the VM that leads the control group.
 */
import type {Clock, EngineId, Logger} from 'stallpaddle';
import type {ControlPort, EngineOrder, EngineReport, FleetConfig} from 'stallpaddle-control';
import type {EngineAdapter} from 'stallpaddle-engine';

import {fencingToken, nextOrders} from 'stallpaddle-control';

import type {VmGroups} from './VmGroups';

import {ENGINE_STATUS_TIMEOUT_MS, ORDER_TAKEOVER_MS} from './VmConstants';

/** What the issuer needs of its VM. */
export interface VmOrdersOptions {
  readonly adapterOf: (engine: EngineId) => EngineAdapter | undefined;
  readonly clock: Clock;
  readonly control: ControlPort;
  readonly groups: VmGroups;
  readonly logger: Logger;
}

/** Issues orders while this VM leads the control group; see the module's comment. */
export class VmOrders {
  private issued = 0;
  private leadsSince: number | undefined;
  private term = 0;

  /**
   * @param options what the issuer needs of its VM
   */
  constructor(private readonly options: VmOrdersOptions) {}

  /** Looks once at all engines, if this VM leads the control group. */
  async look(): Promise<void> {
    const replica = this.options.groups.controlReplica;
    if (replica?.leads !== true) {
      this.leadsSince = undefined;
      return;
    }
    this.noteLeadership(replica.status.term);
    await this.reconcile(replica.localState.config);
  }

  private noteLeadership(term: number): void {
    if (this.leadsSince === undefined || this.term !== term) {
      this.leadsSince = this.options.clock.monotonicMs();
      this.term = term;
      this.issued = 0;
    }
  }

  private async reconcile(config: FleetConfig): Promise<void> {
    const reports = await Promise.all([...config.engines.keys()].map((id) => this.report(id)));
    const known = reports.filter((report) => report !== undefined);
    for (const order of nextOrders(config, known)) {
      await this.issue(config, order);
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
    // An engine that checks no number could still take an order of the issuer before this one.
    const checks = config.engines.get(engine)?.checksFencing === true;
    const leadsMs = this.options.clock.monotonicMs() - (this.leadsSince ?? Infinity);
    return checks || leadsMs >= ORDER_TAKEOVER_MS;
  }

  private async issue(config: FleetConfig, {engine, target}: EngineOrder): Promise<void> {
    const adapter = this.options.adapterOf(engine);
    if (adapter === undefined || !this.mayOrder(config, engine)) {
      return;
    }
    const fencing = fencingToken(this.term, this.issued++);
    const outcome = await adapter.order(target, fencing);
    const detail = `${engine} shall hold ${target.join(', ') || 'nothing'} (${fencing}): ${outcome.kind}`;
    this.options.logger.info('An order was sent.', {engine, fencing, outcome: outcome.kind});
    await this.options.control
      .command({
        action: 'order',
        actor: 'control',
        detail,
        now: this.options.clock.wallMs(),
        type: 'note',
      })
      .catch(() => this.options.logger.warn('An order is missing in the audit trail.', {engine}));
  }
}
