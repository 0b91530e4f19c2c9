/** Reports of this VM's online streams to the VMs that own the engines. */
import type {Clock, EngineId, VmId} from 'stallpaddle';
import type {RoutingEvent, RoutingState} from 'stallpaddle-routing';

import type {VmPeers} from './VmPeers';

import {ONLINE_REPORT_INTERVAL_MS, ONLINE_REPORT_TIMEOUT_MS} from './VmConstants';

/** Dependencies of the reporter. */
export interface VmOnlineReporterOptions {
  readonly clock: Clock;
  readonly onRouting: (event: RoutingEvent) => void;
  readonly ownerOf: (engine: EngineId) => VmId | undefined;
  readonly peers: VmPeers;
  readonly routing: () => RoutingState;
  readonly vm: VmId;
}

/**
 * Reports this VM's online streams on each engine to the VM that owns it, which then preempts batch
 * work at once. Sends one report at a time per engine; later changes go with the next one.
 */
export class VmOnlineReporter {
  private readonly busy = new Set<EngineId>();
  private readonly changed = new Set<EngineId>();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options dependencies
   */
  constructor(private readonly options: VmOnlineReporterOptions) {}

  /** Starts to repeat reports, since the owner drops each one after a while. */
  start(): void {
    this.timer = setInterval(() => {
      for (const [engine, {ownOnline}] of this.options.routing().engines) {
        if (ownOnline > 0) {
          this.reportChange(engine);
        }
      }
    }, ONLINE_REPORT_INTERVAL_MS);
  }

  /** Stops the repetition. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Reports the online streams on an engine to its owner, once the report in progress has ended.
   *
   * @param engine engine on which this VM's online streams changed
   */
  reportChange(engine: EngineId): void {
    // Without batch work on the engine there is nothing to preempt.
    if ((this.options.routing().engines.get(engine)?.load.batch ?? 0) > 0) {
      this.changed.add(engine);
      void this.report(engine);
    }
  }

  private async report(engine: EngineId): Promise<void> {
    const {clock, onRouting, ownerOf, peers, routing, vm} = this.options;
    const owner = ownerOf(engine);
    if (this.busy.has(engine) || owner === undefined || owner === vm) {
      return;
    }
    this.busy.add(engine);
    while (this.changed.delete(engine)) {
      const online = routing().engines.get(engine)?.ownOnline ?? 0;
      const sentAt = clock.monotonicMs();
      try {
        const client = peers.clientOf(owner);
        const total = await client?.tell(
          {engine, online, vm},
          {timeoutMs: ONLINE_REPORT_TIMEOUT_MS},
        );
        const view = routing().engines.get(engine);
        if (total !== undefined && view !== undefined) {
          const load = {...view.load, online: total.online, queued: 0};
          const ageMs = clock.monotonicMs() - sentAt;
          onRouting({ageMs, engine, kind: 'loadHeard', load});
        }
      } catch {
        // The next report carries the full count again.
      }
    }
    this.busy.delete(engine);
  }
}
