/** Which VM owns which engine. */
import type {Clock, EngineId, VmId} from 'stallpaddle';
import type {FleetConfig} from 'stallpaddle-control';

import {ownerOf} from 'stallpaddle-routing';

/** How long computed owners are cached, in milliseconds. */
const CACHE_TTL_MS = 100;

/** Inputs of the computation of owners. */
export interface VmOwnersOptions {
  readonly clock: Clock;
  readonly config: () => FleetConfig;
  /** VMs that are live and not leaving. */
  readonly activeVms: () => readonly VmId[];
  readonly vm: VmId;
}

/**
 * Computes which VM owns each engine, and caches the result briefly. VMs may differ for a moment,
 * since membership is advisory.
 */
export class VmOwners {
  private computedAt = -Infinity;
  private engines: FleetConfig['engines'] | undefined;
  private owners: ReadonlyMap<EngineId, VmId> = new Map();

  /**
   * @param options inputs of the computation
   */
  constructor(private readonly options: VmOwnersOptions) {}

  /** The engines that this VM owns. */
  get own(): readonly EngineId[] {
    const {vm} = this.options;
    return [...this.current()].flatMap(([engine, owner]) => (owner === vm ? [engine] : []));
  }

  /**
   * Returns the owner of an engine.
   *
   * @param engine the engine
   */
  of(engine: EngineId): VmId | undefined {
    return this.current().get(engine);
  }

  private current(): ReadonlyMap<EngineId, VmId> {
    const now = this.options.clock.monotonicMs();
    const {engines} = this.options.config();
    if (this.engines !== engines || now - this.computedAt > CACHE_TTL_MS) {
      const vms = this.options.activeVms();
      const owners = [...engines.keys()].flatMap((engine) => {
        const owner = ownerOf(engine, vms);
        return owner === undefined ? [] : [[engine, owner] as const];
      });
      this.computedAt = now;
      this.engines = engines;
      this.owners = new Map(owners);
    }
    return this.owners;
  }
}
