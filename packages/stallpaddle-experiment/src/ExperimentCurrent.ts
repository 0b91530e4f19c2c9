/**
 * The production routing policy on the experiment's clock.
 */
import type {AdmissionQueue} from 'stallpaddle-admission';
import type {RetryBudget, RoutingEvent, RoutingState} from 'stallpaddle-routing';

import {dequeue, EMPTY_QUEUE, enqueue, requestInTurn, withoutShares} from 'stallpaddle-admission';
import {
  batchAllowance,
  countRequest,
  EMPTY_ROUTING,
  FULL_RETRY_BUDGET,
  onlineStreams,
  ownerOf,
  placeOnline,
  stepRouting,
  streamsToCancel,
  takeRetry,
} from 'stallpaddle-routing';

import type {EngineStream, ExperimentEngine} from './ExperimentEngine';
import type {ExperimentFleet, OnlineRequest} from './ExperimentFleet';

import {FAULT_AT_MS, FAULT_MS} from './ExperimentFaults';

const POLL_INTERVAL_MS = 150;
const HEARTBEAT_INTERVAL_MS = 500;
const BATCH_PASS_INTERVAL_MS = 25;
const VM_LOST_AFTER_MS = 2_000;
const QUEUE_CAPACITY = 256;
const RETRY_AFTER_MS = 1_000;
const QUEUE_CHECK_INTERVAL_MS = 100;
const MAX_ATTEMPTS = 200;

interface BatchRun {
  readonly id: string;
  readonly repeatable: true;
  readonly startedAt: number;
  readonly stream: EngineStream;
}

/** Routes online requests and places batch items as one VM, with the production routing functions. */
class CurrentVm {
  alive = true;
  readonly batch = new Map<string, Map<string, BatchRun>>();
  state: RoutingState = EMPTY_ROUTING;
  private budget: RetryBudget = FULL_RETRY_BUDGET;
  private nextId = 0;
  private queue: AdmissionQueue = EMPTY_QUEUE;
  private readonly waiting = new Map<number, OnlineRequest>();

  constructor(
    private readonly policy: CurrentPolicy,
    readonly id: string,
  ) {
    const {clock, engines, workload} = policy.fleet;
    const setups = engines.map(({id: engine}) => ({
      engine,
      role: 'all' as const,
      slots: workload.engine.slots,
      zone: 'z',
    }));
    this.step({kind: 'configured', setups});
    clock.every(QUEUE_CHECK_INTERVAL_MS, () => this.routeQueued());
  }

  step(event: RoutingEvent): void {
    this.state = stepRouting(this.state, event, this.policy.fleet.clock.now);
  }

  route(req: OnlineRequest, excluded: readonly string[] = []): void {
    const {clock, random} = this.policy.fleet;
    if (excluded.length === 0) {
      this.budget = countRequest(this.budget);
    }
    const request = {
      affinity: req.affinity,
      customer: req.customer,
      excluded,
      serving: this.policy.engineIds,
      weights: 'w',
      zone: 'z',
    };
    const placement = placeOnline(this.state, request, clock.now, random);
    switch (placement.kind) {
      case 'engine':
        this.send(req, placement.engine, excluded);
        return;
      case 'full':
        this.enqueueRequest(req);
        return;
      case 'noEngine':
        this.policy.comeBack(req, placement.retryAfterMs);
        return;
    }
  }

  placeBatch(): void {
    const owned = this.alive ? this.policy.ownedBy(this.id) : [];
    for (const engine of new Set([...owned, ...this.batch.keys()])) {
      const runs = this.batch.get(engine) ?? new Map<string, BatchRun>();
      this.batch.set(engine, runs);
      const {now} = this.policy.fleet.clock;
      const {keep, start} = owned.includes(engine)
        ? batchAllowance(this.state, engine, now)
        : {keep: 0, start: 0};
      for (const {id} of streamsToCancel([...runs.values()], keep)) {
        this.policy.fleet.wasted++;
        this.endRun(engine, runs.get(id)!, 'cancelled');
      }
      while (runs.size < start && this.startRun(engine, runs)) {
        // Starts items until the allowance is used up or no more can start.
      }
    }
  }

  private enqueueRequest(req: OnlineRequest): void {
    const {customer} = req;
    const {now} = this.policy.fleet.clock;
    const id = this.nextId++;
    const entry = requestInTurn(id, customer, 1, now);
    const result = enqueue(this.queue, entry, QUEUE_CAPACITY, withoutShares(now));
    if (result.kind === 'refused') {
      this.policy.comeBack(req, RETRY_AFTER_MS);
      return;
    }
    this.queue = result.queue;
    this.waiting.set(id, req);
    if (result.kind === 'full') {
      const evicted = this.waiting.get(result.victim.id)!;
      this.waiting.delete(result.victim.id);
      this.policy.comeBack(evicted, RETRY_AFTER_MS);
    }
  }

  private routeQueued(): void {
    const next = dequeue(this.queue, withoutShares(this.policy.fleet.clock.now));
    if (next !== undefined) {
      this.queue = next.queue;
      const req = this.waiting.get(next.req.id)!;
      this.waiting.delete(next.req.id);
      this.route(req);
    }
  }

  private send(req: OnlineRequest, engine: string, excluded: readonly string[]): void {
    const {clock, workload} = this.policy.fleet;
    this.step({engine, kind: 'started', work: 'online'});
    this.policy.tell(this, engine);
    clock.after(workload.zoneLatencyMs, () => {
      let tokenMs = 0;
      const stream = this.policy.engine(engine).submit({
        affinity: req.affinity,
        onEnd: (outcome) => {
          const ended = outcome === 'done' ? 'succeeded' : 'failed';
          this.step({engine, kind: 'ended', outcome: ended, tokenMs, work: 'online'});
          this.policy.tell(this, engine);
          if (outcome === 'done') {
            req.answers++;
          } else {
            this.retry(req, engine, excluded);
          }
          this.routeQueued();
        },
        onFirstToken: (ms) => {
          tokenMs = ms;
          this.policy.fleet.noteFirstToken(req, ms);
        },
        promptTokens: workload.promptTokens,
        tokens: workload.tokens,
        work: 'online',
      });
      if (stream === undefined) {
        this.step({engine, kind: 'ended', outcome: 'failed', tokenMs: 0, work: 'online'});
        this.retry(req, engine, excluded);
      }
    });
  }

  private retry(req: OnlineRequest, engine: string, excluded: readonly string[]): void {
    const next = takeRetry(this.budget);
    if (next === undefined || excluded.length > MAX_ATTEMPTS) {
      this.policy.comeBack(req, RETRY_AFTER_MS);
      return;
    }
    this.budget = next;
    this.route(req, [...excluded, engine]);
  }

  private startRun(engine: string, runs: Map<string, BatchRun>): boolean {
    const {fleet} = this.policy;
    const {workload} = fleet;
    if (!this.policy.hasBatch) {
      return false;
    }
    const id = String(this.nextId++);
    const stream = this.policy.engine(engine).submit({
      affinity: 'batch',
      onEnd: (outcome) => {
        const run = runs.get(id);
        if (run !== undefined) {
          this.endRun(engine, run, outcome === 'done' ? 'succeeded' : 'failed');
          if (outcome === 'done') {
            fleet.noteItem();
          }
          this.placeBatch();
        }
      },
      onFirstToken: () => {},
      promptTokens: workload.batchPromptTokens,
      tokens: workload.batchTokens,
      work: 'batch',
    });
    this.step({engine, kind: 'started', work: 'batch'});
    if (stream === undefined) {
      this.step({engine, kind: 'ended', outcome: 'failed', tokenMs: 0, work: 'batch'});
      return false;
    }
    runs.set(id, {id, repeatable: true, startedAt: fleet.clock.now, stream});
    return true;
  }

  private endRun(
    engine: string,
    run: BatchRun,
    outcome: 'cancelled' | 'failed' | 'succeeded',
  ): void {
    this.batch.get(engine)!.delete(run.id);
    this.step({engine, kind: 'ended', outcome, tokenMs: 0, work: 'batch'});
    if (outcome === 'cancelled') {
      this.policy.engine(engine).cancel(run.stream);
    }
  }
}

/** Simulates a fleet of VMs that route with the production policy. */
export class CurrentPolicy {
  readonly engineIds: readonly string[];
  private readonly engines: ReadonlyMap<string, ExperimentEngine>;
  private nextVm = 0;
  private readonly vms: readonly CurrentVm[];

  /**
   * @param fleet state of the run
   * @param hasBatch whether batch items run beside the online requests
   */
  constructor(
    readonly fleet: ExperimentFleet,
    readonly hasBatch: boolean,
  ) {
    this.engines = new Map(fleet.engines.map((engine) => [engine.id, engine]));
    this.engineIds = [...this.engines.keys()];
    const {clock, fault, workload} = fleet;
    this.vms = Array.from({length: workload.vms}, (_, index) => new CurrentVm(this, `vm-${index}`));
    for (const vm of this.vms) {
      clock.every(POLL_INTERVAL_MS, () => this.poll(vm));
      clock.every(BATCH_PASS_INTERVAL_MS, () => vm.placeBatch());
    }
    this.fleet.engines.forEach(({id}) => this.vms.forEach((vm) => this.report(vm, id, 0)));
    if (fault === 'ownerLost') {
      this.scheduleOwnerLoss();
    }
  }

  engine(id: string): ExperimentEngine {
    return this.engines.get(id)!;
  }

  /** Engines owned by a VM, which places their batch items. A lost VM keeps its engines until its loss is detected. */
  ownedBy(vm: string): readonly string[] {
    const ownerCandidates = this.vms
      .filter((one) => one.alive || this.isLossUndetected())
      .map(({id}) => id);
    return this.engineIds.filter((engine) => ownerOf(engine, ownerCandidates) === vm);
  }

  /** Sends a request to the live VMs in turn. */
  arrive(req: OnlineRequest): void {
    const alive = this.vms.filter((vm) => vm.alive);
    alive[this.nextVm++ % alive.length]!.route(req);
  }

  /** Sends a rejected request again once its Retry-After delay is over. */
  comeBack(req: OnlineRequest, retryAfterMs: number): void {
    const {clock, workload} = this.fleet;
    clock.after(retryAfterMs + workload.callerLatencyMs * 2, () => this.arrive(req));
  }

  /** Reports a VM's online streams on an engine to the engine's owner, which responds with the engine's load. */
  tell(from: CurrentVm, engine: string): void {
    const owner = this.vms.find((vm) => this.ownedBy(vm.id).includes(engine));
    if (owner === undefined || owner === from) {
      from.placeBatch();
      return;
    }
    const {zoneLatencyMs} = this.fleet.workload;
    this.fleet.clock.after(zoneLatencyMs, () => {
      const online = from.state.engines.get(engine)!.ownOnline;
      owner.step({engine, kind: 'told', online, vm: from.id});
      owner.placeBatch();
      const view = owner.state.engines.get(engine)!;
      const load = {...view.load, online: onlineStreams(view), queued: 0};
      this.fleet.clock.after(zoneLatencyMs, () => {
        from.step({ageMs: zoneLatencyMs, engine, kind: 'loadHeard', load});
      });
    });
  }

  private lostAt: number | undefined;

  private isLossUndetected(): boolean {
    return this.lostAt !== undefined && this.fleet.clock.now - this.lostAt < VM_LOST_AFTER_MS;
  }

  private scheduleOwnerLoss(): void {
    const {clock} = this.fleet;
    const lost = this.vms[0]!;
    clock.after(FAULT_AT_MS, () => {
      lost.alive = false;
      this.lostAt = clock.now;
      lost.placeBatch();
    });
    clock.after(FAULT_AT_MS + FAULT_MS, () => {
      lost.alive = true;
    });
  }

  private poll(vm: CurrentVm): void {
    for (const id of this.ownedBy(vm.id)) {
      if (!vm.alive) {
        continue;
      }
      this.report(vm, id, 100);
      // The other VMs receive the load with their next heartbeat.
      for (const other of this.vms.filter((one) => one !== vm)) {
        const {laggedLoad} = this.engine(id);
        const ageMs = this.fleet.random() * HEARTBEAT_INTERVAL_MS;
        this.fleet.clock.after(ageMs, () => {
          if (this.engine(id).alive) {
            other.step({ageMs: ageMs + 100, engine: id, kind: 'loadHeard', load: laggedLoad});
          }
        });
      }
    }
  }

  private report(vm: CurrentVm, id: string, ageMs: number): void {
    const engine = this.engine(id);
    vm.step(
      engine.alive
        ? {ageMs, engine: id, kind: 'loadHeard', load: engine.laggedLoad}
        : {engine: id, kind: 'unreachable'},
    );
  }
}
