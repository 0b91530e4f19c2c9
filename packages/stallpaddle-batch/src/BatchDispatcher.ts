/**
 * Scheduling of batch items on a VM's engines.
 */
import type {Clock, EngineId, Logger, VmId} from 'stallpaddle';
import type {FleetConfig} from 'stallpaddle-control';
import type {EngineAdapter, EngineLanes} from 'stallpaddle-engine';
import type {LedgerPorts} from 'stallpaddle-ledger';
import type {BatchAllowance, BatchStream, RoutingEvent, RoutingState} from 'stallpaddle-routing';

import {delay} from 'stallpaddle';
import {resolveModel} from 'stallpaddle-control';
import {batchAllowance, streamsToCancel} from 'stallpaddle-routing';

import type {BatchChunkLease, LeasedItem} from './BatchChunkLease';

import {
  FILL_INTERVAL_MS,
  IDLE_SHARD_RETRY_MS,
  PREFETCH_FACTOR,
  REPORT_INTERVAL_MS,
} from './BatchConstants';
import {BatchLedgerClient} from './BatchLedgerClient';
import {type ItemOutcome, runItem} from './BatchRunner';

/** Dependencies of the dispatcher. */
export interface BatchDispatcherOptions {
  readonly adapterOf: (engine: EngineId) => EngineAdapter | undefined;
  readonly clock: Clock;
  readonly config: () => FleetConfig;
  readonly lanes: EngineLanes;
  readonly ledger: LedgerPorts;
  readonly logger: Logger;
  /** Whether this VM may start new work: its configuration is up to date and it is not leaving. */
  readonly mayStart: () => boolean;
  readonly onRouting: (event: RoutingEvent) => void;
  /** Engines whose batch work this VM places. */
  readonly ownedEngines: () => readonly EngineId[];
  readonly routing: () => RoutingState;
  readonly vm: VmId;
  /** Models with items that wait for a lease. Only these are requested, as each lease call costs a log entry. */
  readonly waitingModels: () => readonly string[];
}

interface RunningStream extends BatchStream {
  readonly alone: boolean;
  readonly cancel: () => void;
  readonly leasedItem: LeasedItem;
}

/** Runs batch items on free slots of the VM's own engines and cancels them when online requests need the slots. */
export class BatchDispatcher {
  private readonly idleUntil = new Map<BatchLedgerClient, number>();
  private readonly ledgers: readonly BatchLedgerClient[];
  private nextStream = 0;
  private ready: LeasedItem[] = [];
  private readonly running = new Map<EngineId, Map<string, RunningStream>>();
  private stopping = false;
  private timers: readonly NodeJS.Timeout[] = [];

  /**
   * @param options dependencies
   */
  constructor(private readonly options: BatchDispatcherOptions) {
    const {clock, ledger, logger, vm} = options;
    this.ledgers = ledger.all.map((port) => new BatchLedgerClient(vm, port, clock, logger));
  }

  /** Number of item reports from this VM that the ledger has received. */
  get reportedItems(): number {
    return this.ledgers.reduce((sum, ledger) => sum + ledger.reportedItems, 0);
  }

  /** Number of running batch streams. */
  get runningStreams(): number {
    return [...this.running.values()].reduce((sum, streams) => sum + streams.size, 0);
  }

  /** Starts the periodic scheduling passes and reports. */
  start(): void {
    this.timers = [
      setInterval(() => this.fill(), FILL_INTERVAL_MS),
      setInterval(() => void this.report(false), REPORT_INTERVAL_MS),
    ];
  }

  /** Stops starting items, cancels repeatable streams, waits for the others and releases all leases. */
  async stop(): Promise<void> {
    this.stopping = true;
    this.returnReadyItems();
    for (const streams of this.running.values()) {
      streamsToCancel([...streams.values()], 0).forEach((stream) =>
        streams.get(stream.id)?.cancel(),
      );
    }
    // Waits for the streams that must not be repeated, so that the last report includes their outcomes.
    while (this.runningStreams > 0) {
      await delay(FILL_INTERVAL_MS);
    }
    this.timers.forEach((timer) => clearInterval(timer));
    await this.report(true);
  }

  /** Stops at once without a report, like a killed process. */
  abort(): void {
    this.stopping = true;
    this.timers.forEach((timer) => clearInterval(timer));
  }

  /** Runs a scheduling pass: cancels excess streams, starts items on free slots and leases more. */
  fill(): void {
    const owned = this.options.ownedEngines();
    for (const engine of this.running.keys()) {
      this.cancelExcess(engine, owned.includes(engine) ? this.allowance(engine).keep : 0);
    }
    if (this.stopping || !this.options.mayStart()) {
      this.returnReadyItems();
      return;
    }
    let freeSlots = 0;
    for (const engine of owned) {
      freeSlots += this.fillEngine(engine);
    }
    void this.leaseMore(owned, Math.ceil(freeSlots * (1 + PREFETCH_FACTOR)) - this.ready.length);
  }

  /** Returns all items that were not sent to an engine, so that their chunks can be released. */
  private returnReadyItems(): void {
    for (const {chunk, item} of this.ready) {
      chunk.recordOutcome({item, kind: 'returned', line: ''});
    }
    this.ready = [];
  }

  private allowance(engine: EngineId): BatchAllowance {
    const {clock, routing} = this.options;
    return batchAllowance(routing(), engine, clock.monotonicMs());
  }

  private cancelExcess(engine: EngineId, allowance: number): void {
    const streams = this.streamsOf(engine);
    for (const stream of streamsToCancel([...streams.values()], allowance)) {
      streams.get(stream.id)?.cancel();
    }
  }

  /** Starts ready items on an engine; returns how many more it could run. */
  private fillEngine(engine: EngineId): number {
    const view = this.options.routing().engines.get(engine);
    const adapter = this.options.adapterOf(engine);
    if (view === undefined || adapter === undefined) {
      return 0;
    }
    const streams = this.streamsOf(engine);
    let freeSlots = this.allowance(engine).start - streams.size;
    while (freeSlots > 0 && ![...streams.values()].some((stream) => stream.alone)) {
      const leasedItem = this.takeReady(engine, view.load.weights, streams.size === 0);
      if (leasedItem === undefined) {
        return freeSlots;
      }
      void this.run(leasedItem, engine, adapter, view.setup.slots);
      freeSlots--;
    }
    return 0;
  }

  /** Takes the next ready item that an engine can run. An item whose earlier runs lost their engines must run alone. */
  private takeReady(
    engine: EngineId,
    weights: readonly string[],
    engineIsIdle: boolean,
  ): LeasedItem | undefined {
    const config = this.options.config();
    const index = this.ready.findIndex((leasedItem) => {
      const model = resolveModel(config, leasedItem.parsed.body.model);
      const fits = model?.engines.includes(engine) === true && weights.includes(model.weights);
      return fits && (leasedItem.losses === 0 || engineIsIdle);
    });
    return index < 0 ? undefined : this.ready.splice(index, 1)[0];
  }

  private async run(
    leasedItem: LeasedItem,
    engine: EngineId,
    adapter: EngineAdapter,
    slots: number,
  ): Promise<void> {
    const {clock, lanes, onRouting} = this.options;
    const weights = resolveModel(this.options.config(), leasedItem.parsed.body.model)!.weights;
    const aborter = new AbortController();
    const stream: RunningStream = {
      alone: leasedItem.losses > 0,
      cancel: () => aborter.abort(),
      id: String(this.nextStream++),
      leasedItem,
      repeatable: leasedItem.chunk.leased.repeatable,
      startedAt: clock.monotonicMs(),
    };
    const streams = this.streamsOf(engine);
    streams.set(stream.id, stream);
    onRouting({engine, kind: 'started', work: 'batch'});
    const outcome = await runItem(
      leasedItem,
      {adapter, engine, lanes, slots, weights},
      aborter.signal,
    );
    streams.delete(stream.id);
    const ended = outcome.failed ? 'failed' : aborter.signal.aborted ? 'cancelled' : 'succeeded';
    onRouting({engine, kind: 'ended', outcome: ended, tokenMs: 0, work: 'batch'});
    this.handleOutcome(leasedItem, outcome);
    this.fill();
  }

  private handleOutcome(leasedItem: LeasedItem, outcome: ItemOutcome): void {
    if (outcome.kind === 'report') {
      leasedItem.chunk.recordOutcome(outcome.report);
    } else if (this.isLeased(leasedItem.chunk) && !this.stopping) {
      this.ready.unshift(leasedItem);
    }
  }

  private isLeased(chunk: BatchChunkLease): boolean {
    return this.ledgers.some((ledger) => ledger.holds(chunk));
  }

  private async leaseMore(owned: readonly EngineId[], wanted: number): Promise<void> {
    if (wanted <= 0) {
      return;
    }
    const config = this.options.config();
    const models = this.options
      .waitingModels()
      .filter((name) =>
        resolveModel(config, name)?.engines.some((engine) => owned.includes(engine)),
      );
    if (models.length === 0) {
      return;
    }
    const now = this.options.clock.monotonicMs();
    const dueLedgers = this.ledgers.filter((ledger) => (this.idleUntil.get(ledger) ?? 0) <= now);
    for (const ledger of dueLedgers) {
      // Set before the answer arrives, so that a shard gets one lease call at a time.
      this.idleUntil.set(ledger, now + IDLE_SHARD_RETRY_MS);
      const items = await ledger.lease(models, Math.ceil(wanted / dueLedgers.length));
      if (items.length > 0) {
        this.idleUntil.set(ledger, 0);
        this.ready.push(...items);
        this.fill();
      }
    }
  }

  private async report(release: boolean): Promise<void> {
    await Promise.all(
      this.ledgers.map(async (ledger) => {
        const revoked = await ledger.report(release);
        if (revoked.length > 0) {
          this.dropRevoked(ledger);
        }
      }),
    );
  }

  /** Drops ready items and cancels streams whose leases were revoked: the job was cancelled or the lease expired. */
  private dropRevoked(ledger: BatchLedgerClient): void {
    const isRevoked = (leasedItem: LeasedItem): boolean => !this.isLeased(leasedItem.chunk);
    this.ready = this.ready.filter((leasedItem) => !isRevoked(leasedItem));
    for (const streams of this.running.values()) {
      for (const stream of streams.values()) {
        if (isRevoked(stream.leasedItem)) {
          stream.cancel();
        }
      }
    }
    this.options.logger.info('Leases were revoked.', {held: ledger.leaseCount});
  }

  private streamsOf(engine: EngineId): Map<string, RunningStream> {
    const known = this.running.get(engine) ?? new Map<string, RunningStream>();
    this.running.set(engine, known);
    return known;
  }
}
