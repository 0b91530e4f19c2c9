/**
 * Which VM owns which engine, kept for a moment: membership is advisory anyway.
 */
import type {Clock, EngineId, VmId} from 'stallpaddle';
import type {FleetConfig} from 'stallpaddle-control';

import {ownerOf} from 'stallpaddle-routing';

/** How long the owners are kept before they are worked out anew, in milliseconds. */
const LIFETIME_MS = 100;

/** What owners are worked out from. */
export interface VmOwnersOptions {
  readonly clock: Clock;
  readonly config: () => FleetConfig;
  /** VMs that are live and stay. */
  readonly stayingVms: () => readonly VmId[];
  readonly vm: VmId;
}

/** Owners of all engines. */
export class VmOwners {
  private at = -Infinity;
  private engines: FleetConfig['engines'] | undefined;
  private owners: ReadonlyMap<EngineId, VmId> = new Map();

  /**
   * @param options what owners are worked out from
   */
  constructor(private readonly options: VmOwnersOptions) {}

  /** Engines that this VM owns. */
  get own(): readonly EngineId[] {
    const {vm} = this.options;
    return [...this.current()].flatMap(([engine, owner]) => (owner === vm ? [engine] : []));
  }

  /**
   * Owner of an engine.
   *
   * @param engine the engine
   */
  of(engine: EngineId): VmId | undefined {
    return this.current().get(engine);
  }

  private current(): ReadonlyMap<EngineId, VmId> {
    const now = this.options.clock.monotonicMs();
    const {engines} = this.options.config();
    if (this.engines !== engines || now - this.at > LIFETIME_MS) {
      const vms = this.options.stayingVms();
      const owners = [...engines.keys()].flatMap((engine) => {
        const owner = ownerOf(engine, vms);
        return owner === undefined ? [] : [[engine, owner] as const];
      });
      this.at = now;
      this.engines = engines;
      this.owners = new Map(owners);
    }
    return this.owners;
  }
}
