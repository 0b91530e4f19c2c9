/** Engines as this VM sees them. */
import type {Clock, EngineId} from 'stallpaddle';
import type {FleetConfig, PlainServer} from 'stallpaddle-control';
import type {EngineAdapter} from 'stallpaddle-engine';
import type {EngineLoadTuple} from 'stallpaddle-membership';
import type {RoutingEvent, RoutingState} from 'stallpaddle-routing';

import {HttpEngine} from 'stallpaddle-engine';
import {EMPTY_ROUTING, stepRouting} from 'stallpaddle-routing';

import {ENGINE_POLL_MS, ENGINE_STATUS_TIMEOUT_MS, LOAD_TTL_MS} from './VmConstants';

const TENTHS_PER_MS = 10;

interface KnownEngine {
  readonly adapter: HttpEngine;
  readonly address: string;
}

interface KnownLoad {
  readonly at: number;
  readonly tuple: EngineLoadTuple;
}

/** Holds the engines' adapters, their load reports and the routing state, and polls the engines that this VM owns. */
export class VmEngines {
  private readonly engines = new Map<EngineId, KnownEngine>();
  private readonly loads = new Map<EngineId, KnownLoad>();
  private readonly plainServers = new Map<string, HttpEngine>();
  private polling = new Set<EngineId>();
  private state: RoutingState = EMPTY_ROUTING;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param clock clock that times reports and events
   * @param owned the engines that this VM polls
   */
  constructor(
    private readonly clock: Clock,
    private readonly owned: () => readonly EngineId[],
  ) {}

  /** The routing state of the engines. */
  get routing(): RoutingState {
    return this.state;
  }

  /** Starts to poll the owned engines for their load. */
  start(): void {
    this.timer = setInterval(() => {
      for (const engine of this.owned()) {
        void this.poll(engine);
      }
    }, ENGINE_POLL_MS);
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Applies a configuration.
   *
   * @param config the configuration in force
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
   * Applies an event to the routing state.
   *
   * @param event what happened
   */
  step(event: RoutingEvent): void {
    this.state = stepRouting(this.state, event, this.clock.monotonicMs());
  }

  /**
   * Returns the adapter of an engine, or undefined if the configuration lacks it.
   *
   * @param engine the engine
   */
  adapterOf(engine: EngineId): EngineAdapter | undefined {
    return this.engines.get(engine)?.adapter;
  }

  /**
   * Returns the adapter of a plain service's backend server.
   *
   * @param server the server's address
   */
  plainAdapterOf({host, port}: PlainServer): EngineAdapter {
    const address = `${host} ${port}`;
    const known = this.plainServers.get(address) ?? new HttpEngine(host, port);
    this.plainServers.set(address, known);
    return known;
  }

  /** Load reports to send to other VMs, with their current age. */
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
   * Applies load reports from another VM; older ones than those known are ignored.
   *
   * @param loads the reports
   */
  applyLoads(loads: readonly EngineLoadTuple[]): void {
    const now = this.clock.monotonicMs();
    for (const tuple of loads) {
      const [engine, , , , , ageMs] = tuple;
      const known = this.loads.get(engine);
      const at = now - ageMs;
      if (known === undefined || at > known.at) {
        this.applyLoad(tuple, at);
      }
    }
  }

  private async poll(engine: EngineId): Promise<void> {
    const adapter = this.adapterOf(engine);
    if (adapter === undefined || this.polling.has(engine)) {
      return;
    }
    this.polling.add(engine);
    const sentAt = this.clock.monotonicMs();
    try {
      const {load} = await adapter.status(ENGINE_STATUS_TIMEOUT_MS);
      const {batch, online, queued, tokenMs, weights} = load;
      const tenths = Math.round(tokenMs * TENTHS_PER_MS);
      this.applyLoad([engine, online, batch, queued, tenths, 0, weights], sentAt);
    } catch {
      this.step({engine, kind: 'unreachable'});
    } finally {
      this.polling.delete(engine);
    }
  }

  private applyLoad(tuple: EngineLoadTuple, at: number): void {
    const [engine, online, batch, queued, tokenTenthsMs, , weights] = tuple;
    this.loads.set(engine, {at, tuple});
    this.step({
      ageMs: this.clock.monotonicMs() - at,
      engine,
      kind: 'loadHeard',
      load: {batch, online, queued, tokenMs: tokenTenthsMs / TENTHS_PER_MS, weights},
    });
  }
}
