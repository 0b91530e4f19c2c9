/**
 * Engines as this VM reaches them: adapters, load reports, the routing view.
 */
import type {Clock, EngineId} from 'stallpaddle';
import type {FleetConfig, PlainServer} from 'stallpaddle-control';
import type {EngineAdapter} from 'stallpaddle-engine';
import type {EngineLoadTuple} from 'stallpaddle-membership';
import type {RoutingEvent, RoutingState} from 'stallpaddle-routing';

import {HttpEngine} from 'stallpaddle-engine';
import {EMPTY_ROUTING, stepRouting} from 'stallpaddle-routing';

import {ENGINE_POLL_MS, ENGINE_STATUS_TIMEOUT_MS, LOAD_TTL_MS} from './VmConstants';

const TENTHS = 10;

interface KnownEngine {
  readonly adapter: HttpEngine;
  readonly address: string;
}

interface KnownLoad {
  readonly at: number;
  readonly tuple: EngineLoadTuple;
}

/** All engines of one VM's view. */
export class VmEngines {
  private readonly engines = new Map<EngineId, KnownEngine>();
  private readonly loads = new Map<EngineId, KnownLoad>();
  private readonly plain = new Map<string, HttpEngine>();
  private polling = new Set<EngineId>();
  private state: RoutingState = EMPTY_ROUTING;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param clock times
   * @param owned engines whose load this VM asks for
   */
  constructor(
    private readonly clock: Clock,
    private readonly owned: () => readonly EngineId[],
  ) {}

  /** This VM's view of the engines. */
  get routing(): RoutingState {
    return this.state;
  }

  /** Starts to ask owned engines for their load. */
  start(): void {
    this.timer = setInterval(() => {
      for (const engine of this.owned()) {
        void this.poll(engine);
      }
    }, ENGINE_POLL_MS);
  }

  /** Ends the asking. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Takes over a configuration.
   *
   * @param config configuration in force
   */
  configure(config: FleetConfig): void {
    for (const [engine, {host, port}] of config.engines) {
      const address = `${host} ${port}`;
      const known = this.engines.get(engine);
      if (known?.address !== address) {
        this.engines.set(engine, {adapter: new HttpEngine(host, port), address});
      }
    }
    for (const engine of this.engines.keys()) {
      if (!config.engines.has(engine)) {
        this.engines.delete(engine);
      }
    }
    const setups = [...config.engines].map(([engine, {role, slots, zone}]) => ({
      engine,
      role,
      slots,
      zone,
    }));
    this.step({kind: 'configured', setups});
  }

  /**
   * Takes in an event of the routing view.
   *
   * @param event what happened
   */
  step(event: RoutingEvent): void {
    this.state = stepRouting(this.state, event, this.clock.monotonicMs());
  }

  /**
   * Adapter of an engine, or undefined when the configuration doesn't name it.
   *
   * @param engine the engine
   */
  adapterOf(engine: EngineId): EngineAdapter | undefined {
    return this.engines.get(engine)?.adapter;
  }

  /**
   * Adapter of a plain service's server.
   *
   * @param server its address
   */
  plainAdapterOf({host, port}: PlainServer): EngineAdapter {
    const address = `${host} ${port}`;
    const known = this.plain.get(address) ?? new HttpEngine(host, port);
    this.plain.set(address, known);
    return known;
  }

  /** Loads to tell other VMs, with their present age. */
  currentLoads(): readonly EngineLoadTuple[] {
    const now = this.clock.monotonicMs();
    return [...this.loads.values()]
      .filter(({at}) => now - at < LOAD_TTL_MS)
      .map(({at, tuple: [engine, online, batch, queued, tokenTenthsMs, , weights]}) => [
        engine,
        online,
        batch,
        queued,
        tokenTenthsMs,
        Math.round(now - at),
        weights,
      ]);
  }

  /**
   * Takes in loads that another VM told.
   *
   * @param loads the loads
   */
  hear(loads: readonly EngineLoadTuple[]): void {
    const now = this.clock.monotonicMs();
    for (const tuple of loads) {
      const [engine, , , , , ageMs] = tuple;
      const known = this.loads.get(engine);
      const at = now - ageMs;
      if (known === undefined || at > known.at) {
        this.take(tuple, at);
      }
    }
  }

  private async poll(engine: EngineId): Promise<void> {
    const adapter = this.adapterOf(engine);
    if (adapter === undefined || this.polling.has(engine)) {
      return;
    }
    this.polling.add(engine);
    const askedAt = this.clock.monotonicMs();
    try {
      const {load} = await adapter.status(ENGINE_STATUS_TIMEOUT_MS);
      const {batch, online, queued, tokenMs, weights} = load;
      const tenths = Math.round(tokenMs * TENTHS);
      this.take([engine, online, batch, queued, tenths, 0, weights], askedAt);
    } catch {
      this.step({engine, kind: 'unreachable'});
    } finally {
      this.polling.delete(engine);
    }
  }

  private take(tuple: EngineLoadTuple, at: number): void {
    const [engine, online, batch, queued, tokenTenthsMs, , weights] = tuple;
    this.loads.set(engine, {at, tuple});
    this.step({
      ageMs: this.clock.monotonicMs() - at,
      engine,
      kind: 'loadHeard',
      load: {batch, online, queued, tokenMs: tokenTenthsMs / TENTHS, weights},
    });
  }
}
