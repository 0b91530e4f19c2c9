/**
 * Tells engines' owners of this VM's online streams, so that batch work gives way at once.
 */
import type {Clock, EngineId, VmId} from 'stallpaddle';
import type {RoutingEvent, RoutingState} from 'stallpaddle-routing';

import type {VmPeers} from './VmPeers';

import {ONLINE_REPORT_INTERVAL_MS, ONLINE_REPORT_TIMEOUT_MS} from './VmConstants';

/** What the teller needs of its VM. */
export interface VmOnlineReporterOptions {
  readonly clock: Clock;
  readonly onRouting: (event: RoutingEvent) => void;
  readonly ownerOf: (engine: EngineId) => VmId | undefined;
  readonly peers: VmPeers;
  readonly routing: () => RoutingState;
  readonly vm: VmId;
}

/** One call at a time for each engine; what changes meanwhile goes with the next one. */
export class VmOnlineReporter {
  private readonly busy = new Set<EngineId>();
  private readonly changed = new Set<EngineId>();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options what the teller needs of its VM
   */
  constructor(private readonly options: VmOnlineReporterOptions) {}

  /** Starts to repeat what was told: the word of a VM counts only for a while. */
  start(): void {
    this.timer = setInterval(() => {
      for (const [engine, {ownOnline}] of this.options.routing().engines) {
        if (ownOnline > 0) {
          this.note(engine);
        }
      }
    }, ONLINE_REPORT_INTERVAL_MS);
  }

  /** Ends the telling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Tells an engine's owner soon.
   *
   * @param engine engine on which this VM's online streams changed
   */
  note(engine: EngineId): void {
    // Without batch work on the engine there is nothing that could give way.
    if ((this.options.routing().engines.get(engine)?.load.batch ?? 0) > 0) {
      this.changed.add(engine);
      void this.tell(engine);
    }
  }

  private async tell(engine: EngineId): Promise<void> {
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
        const all = await client?.tell({engine, online, vm}, {timeoutMs: ONLINE_REPORT_TIMEOUT_MS});
        const view = routing().engines.get(engine);
        if (all !== undefined && view !== undefined) {
          const load = {...view.load, online: all.online, queued: 0};
          const ageMs = clock.monotonicMs() - sentAt;
          onRouting({ageMs, engine, kind: 'loadHeard', load});
        }
      } catch {
        // The next word tells the whole count again.
      }
    }
    this.busy.delete(engine);
  }
}
