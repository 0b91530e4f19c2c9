/**
 * Fills the engines that this VM owns with batch work, and makes room when online work comes.
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

/** What the dispatcher sees and uses. */
export interface BatchDispatcherOptions {
  readonly adapterOf: (engine: EngineId) => EngineAdapter | undefined;
  readonly clock: Clock;
  readonly config: () => FleetConfig;
  readonly lanes: EngineLanes;
  readonly ledger: LedgerPorts;
  readonly logger: Logger;
  /** Whether this VM may take on new work: fresh configuration, not leaving. */
  readonly mayStart: () => boolean;
  readonly onRouting: (event: RoutingEvent) => void;
  /** Engines whose batch work this VM places. */
  readonly ownedEngines: () => readonly EngineId[];
  readonly routing: () => RoutingState;
  readonly vm: VmId;
  /** Models with items that wait for a lease; a lease call costs a place in the log. */
  readonly waitingModels: () => readonly string[];
}

interface RunningStream extends BatchStream {
  readonly alone: boolean;
  readonly cancel: () => void;
  readonly held: LeasedItem;
}

/** Batch work of one VM; see the module's comment. */
export class BatchDispatcher {
  private readonly idleUntil = new Map<BatchLedgerClient, number>();
  private readonly ledgers: readonly BatchLedgerClient[];
  private nextStream = 0;
  private ready: LeasedItem[] = [];
  private readonly running = new Map<EngineId, Map<string, RunningStream>>();
  private stopping = false;
  private timers: readonly NodeJS.Timeout[] = [];

  /**
   * @param options what the dispatcher sees and uses
   */
  constructor(private readonly options: BatchDispatcherOptions) {
    const {clock, ledger, logger, vm} = options;
    this.ledgers = ledger.all.map((port) => new BatchLedgerClient(vm, port, clock, logger));
  }

  /** Items whose ends the ledger has taken in from this VM. */
  get reportedItems(): number {
    return this.ledgers.reduce((sum, ledger) => sum + ledger.reportedItems, 0);
  }

  /** Batch streams that run now. */
  get runningStreams(): number {
    return [...this.running.values()].reduce((sum, streams) => sum + streams.size, 0);
  }

  /** Starts to look for work. */
  start(): void {
    this.timers = [
      setInterval(() => this.fill(), FILL_INTERVAL_MS),
      setInterval(() => void this.report(false), REPORT_INTERVAL_MS),
    ];
  }

  /** Stops new work, cancels what may be repeated, and gives all leases back. */
  async stop(): Promise<void> {
    this.stopping = true;
    this.giveBackReady();
    for (const streams of this.running.values()) {
      streamsToCancel([...streams.values()], 0).forEach((stream) =>
        streams.get(stream.id)?.cancel(),
      );
    }
    // Streams that must not be repeated end first; their outcome is part of the report.
    while (this.runningStreams > 0) {
      await delay(FILL_INTERVAL_MS);
    }
    this.timers.forEach((timer) => clearInterval(timer));
    await this.report(true);
  }

  /** Ends at once, as a killed process would. */
  abort(): void {
    this.stopping = true;
    this.timers.forEach((timer) => clearInterval(timer));
  }

  /** Looks at each owned engine: too many streams are cancelled, room is filled. */
  fill(): void {
    const owned = this.options.ownedEngines();
    for (const engine of this.running.keys()) {
      this.makeRoom(engine, owned.includes(engine) ? this.allowance(engine).keep : 0);
    }
    if (this.stopping || !this.options.mayStart()) {
      this.giveBackReady();
      return;
    }
    let room = 0;
    for (const engine of owned) {
      room += this.fillEngine(engine);
    }
    void this.leaseMore(owned, Math.ceil(room * (1 + PREFETCH_FACTOR)) - this.ready.length);
  }

  /** Items that nothing was sent of go back, so that their chunks end here. */
  private giveBackReady(): void {
    for (const {chunk, item} of this.ready) {
      chunk.note({item, kind: 'returned', line: ''});
    }
    this.ready = [];
  }

  private allowance(engine: EngineId): BatchAllowance {
    const {clock, routing} = this.options;
    return batchAllowance(routing(), engine, clock.monotonicMs());
  }

  private makeRoom(engine: EngineId, allowance: number): void {
    const streams = this.streamsOf(engine);
    for (const stream of streamsToCancel([...streams.values()], allowance)) {
      streams.get(stream.id)?.cancel();
    }
  }

  /** Starts waiting items on an engine; returns how many more it had room for. */
  private fillEngine(engine: EngineId): number {
    const view = this.options.routing().engines.get(engine);
    const adapter = this.options.adapterOf(engine);
    if (view === undefined || adapter === undefined) {
      return 0;
    }
    const streams = this.streamsOf(engine);
    let room = this.allowance(engine).start - streams.size;
    while (room > 0 && ![...streams.values()].some((stream) => stream.alone)) {
      const held = this.takeReady(engine, view.load.weights, streams.size === 0);
      if (held === undefined) {
        return room;
      }
      void this.run(held, engine, adapter, view.setup.slots);
      room--;
    }
    return 0;
  }

  /** Next waiting item for an engine. An item that engines were lost with runs alone. */
  private takeReady(
    engine: EngineId,
    weights: readonly string[],
    engineIsIdle: boolean,
  ): LeasedItem | undefined {
    const config = this.options.config();
    const index = this.ready.findIndex((held) => {
      const model = resolveModel(config, held.parsed.body.model);
      const fits = model?.engines.includes(engine) === true && weights.includes(model.weights);
      return fits && (held.losses === 0 || engineIsIdle);
    });
    return index < 0 ? undefined : this.ready.splice(index, 1)[0];
  }

  private async run(
    held: LeasedItem,
    engine: EngineId,
    adapter: EngineAdapter,
    slots: number,
  ): Promise<void> {
    const {clock, lanes, onRouting} = this.options;
    const weights = resolveModel(this.options.config(), held.parsed.body.model)!.weights;
    const aborter = new AbortController();
    const stream: RunningStream = {
      alone: held.losses > 0,
      cancel: () => aborter.abort(),
      held,
      id: String(this.nextStream++),
      repeatable: held.chunk.leased.repeatable,
      startedAt: clock.monotonicMs(),
    };
    const streams = this.streamsOf(engine);
    streams.set(stream.id, stream);
    onRouting({engine, kind: 'started', work: 'batch'});
    const outcome = await runItem(held, {adapter, engine, lanes, slots, weights}, aborter.signal);
    streams.delete(stream.id);
    const ended = outcome.failed ? 'failed' : aborter.signal.aborted ? 'cancelled' : 'succeeded';
    onRouting({engine, kind: 'ended', outcome: ended, tokenMs: 0, work: 'batch'});
    this.settle(held, outcome);
    this.fill();
  }

  private settle(held: LeasedItem, outcome: ItemOutcome): void {
    if (outcome.kind === 'report') {
      held.chunk.note(outcome.report);
    } else if (this.stillHeld(held.chunk) && !this.stopping) {
      this.ready.unshift(held);
    }
  }

  private stillHeld(chunk: BatchChunkLease): boolean {
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
    const asked = this.ledgers.filter((ledger) => (this.idleUntil.get(ledger) ?? 0) <= now);
    for (const ledger of asked) {
      // Set before the answer so that a shard is asked once at a time.
      this.idleUntil.set(ledger, now + IDLE_SHARD_RETRY_MS);
      const items = await ledger.lease(models, Math.ceil(wanted / asked.length));
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

  /** Ends what belongs to chunks that are no longer this VM's: cancelled jobs, expired leases. */
  private dropRevoked(ledger: BatchLedgerClient): void {
    const isGone = (held: LeasedItem): boolean => !this.stillHeld(held.chunk);
    this.ready = this.ready.filter((held) => !isGone(held));
    for (const streams of this.running.values()) {
      for (const stream of streams.values()) {
        if (isGone(stream.held)) {
          stream.cancel();
        }
      }
    }
    this.options.logger.info('Leases were revoked.', {held: ledger.heldCount});
  }

  private streamsOf(engine: EngineId): Map<string, RunningStream> {
    const known = this.running.get(engine) ?? new Map<string, RunningStream>();
    this.running.set(engine, known);
    return known;
  }
}
