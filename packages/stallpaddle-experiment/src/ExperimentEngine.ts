/**
 * Simulated engine with continuous batching, priorities, a bounded prefix cache and delayed load reports.
 */
import type {EngineLoad, WorkClass} from 'stallpaddle-routing';

import type {ExperimentClock} from './ExperimentClock';

/** Slots and speed of an engine. */
export interface EngineModel {
  /** Relative increase of the time per token when all slots are occupied. */
  readonly fullSlowdown: number;
  readonly prefillMsPer1k: number;
  readonly slots: number;
  /** Time per token with an empty batch, in milliseconds. */
  readonly tokenMs: number;
}

/** A request to an engine, with callbacks for its progress. */
export interface EngineJob {
  readonly affinity: string;
  readonly onEnd: (outcome: 'done' | 'lost') => void;
  readonly onFirstToken: (tokenMs: number) => void;
  readonly promptTokens: number;
  readonly tokens: number;
  readonly work: WorkClass;
}

const CACHE_ENTRIES = 48;
const CACHED_FRACTION = 0.2;

/** A queued or running request of an engine. */
export class EngineStream {
  ended = false;
  startedAt = -1;

  /**
   * @param job the request
   */
  constructor(readonly job: EngineJob) {}
}

/** Simulates one engine on the experiment's clock. */
export class ExperimentEngine {
  alive = true;
  cacheHits = 0;
  cacheLooks = 0;
  slowdown = 1;
  private readonly cache = new Map<string, true>();
  private readonly running = new Set<EngineStream>();
  private reportedLoad: EngineLoad;
  private waiting: EngineStream[] = [];

  /**
   * @param clock the experiment's clock
   * @param id engine id
   * @param model slots and speed
   * @param honoursPriority whether queued online requests start before batch items
   */
  constructor(
    private readonly clock: ExperimentClock,
    readonly id: string,
    readonly model: EngineModel,
    private readonly honoursPriority: boolean,
  ) {
    this.reportedLoad = this.measureLoad();
    clock.every(100, () => {
      this.reportedLoad = this.measureLoad();
    });
  }

  /** Load as it was up to 100 ms ago. */
  get laggedLoad(): EngineLoad {
    return this.reportedLoad;
  }

  /**
   * Queues a request; returns undefined when the engine is down.
   *
   * @param job the request
   */
  submit(job: EngineJob): EngineStream | undefined {
    if (!this.alive) {
      return undefined;
    }
    const stream = new EngineStream(job);
    this.waiting.push(stream);
    this.startQueued();
    return stream;
  }

  /**
   * Cancels a stream without calling its `onEnd`.
   *
   * @param stream stream to cancel
   */
  cancel(stream: EngineStream): void {
    stream.ended = true;
    this.running.delete(stream);
    this.waiting = this.waiting.filter((other) => other !== stream);
    this.startQueued();
  }

  /** Simulates a crash: all queued and running requests are lost. */
  kill(): void {
    this.alive = false;
    const all = [...this.running, ...this.waiting];
    this.running.clear();
    this.waiting = [];
    all.forEach((stream) => {
      stream.ended = true;
      stream.job.onEnd('lost');
    });
  }

  /** Restarts after a crash with an empty cache. */
  restart(): void {
    this.alive = true;
    this.cache.clear();
  }

  private measureLoad(): EngineLoad {
    const count = (work: WorkClass): number =>
      [...this.running].filter(({job}) => job.work === work).length;
    return {
      batch: count('batch'),
      online: count('online'),
      queued: this.waiting.filter(({job}) => job.work === 'online').length,
      tokenMs: this.currentTokenMs(),
      weights: ['w'],
    };
  }

  private currentTokenMs(): number {
    const {fullSlowdown, slots, tokenMs} = this.model;
    return tokenMs * this.slowdown * (1 + (fullSlowdown * this.running.size) / slots);
  }

  private startQueued(): void {
    while (this.running.size < this.model.slots && this.waiting.length > 0) {
      const online = this.waiting.findIndex(({job}) => job.work === 'online');
      const [next] = this.waiting.splice(this.honoursPriority ? Math.max(0, online) : 0, 1);
      this.running.add(next!);
      this.start(next!);
    }
  }

  private start(stream: EngineStream): void {
    const {job} = stream;
    stream.startedAt = this.clock.now;
    const tokenMs = this.currentTokenMs();
    const prefillMs = this.prefillMs(job);
    this.clock.after(prefillMs + tokenMs, () => {
      if (!stream.ended) {
        job.onFirstToken(tokenMs);
      }
    });
    this.clock.after(prefillMs + tokenMs * job.tokens, () => {
      if (!stream.ended) {
        stream.ended = true;
        this.running.delete(stream);
        job.onEnd('done');
        this.startQueued();
      }
    });
  }

  private prefillMs({affinity, promptTokens, work}: EngineJob): number {
    const cached = this.cache.delete(affinity);
    this.cache.set(affinity, true);
    if (this.cache.size > CACHE_ENTRIES) {
      this.cache.delete(this.cache.keys().next().value!);
    }
    if (work === 'online') {
      this.cacheLooks++;
      this.cacheHits += cached ? 1 : 0;
    }
    const fraction = cached ? CACHED_FRACTION : 1;
    return (promptTokens / 1000) * this.model.prefillMsPer1k * fraction * this.slowdown;
  }
}
