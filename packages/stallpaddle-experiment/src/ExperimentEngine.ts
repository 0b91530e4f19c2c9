/**
 * A fake at the engine interface: continuous batching, priorities, bounded prefix cache, lagged
 * reports, and the faults of the experiment.
 */
import type {EngineLoad, WorkClass} from 'stallpaddle-routing';

import type {ExperimentClock} from './ExperimentClock';

/** How fast an engine is. */
export interface EngineModel {
  /** How much slower tokens come with all slots taken, as a part. */
  readonly fullSlowdown: number;
  readonly prefillMsPer1k: number;
  readonly slots: number;
  /** Time for a token with an empty batch, in milliseconds. */
  readonly tokenMs: number;
}

/** A request as an engine sees it. */
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

/** A stream in the engine. */
export class EngineStream {
  ended = false;
  startedAt = -1;

  /**
   * @param job what was asked for
   */
  constructor(readonly job: EngineJob) {}
}

/** One engine. */
export class ExperimentEngine {
  alive = true;
  cacheHits = 0;
  cacheLooks = 0;
  slowdown = 1;
  private readonly cache = new Map<string, true>();
  private readonly running = new Set<EngineStream>();
  private snapshot: EngineLoad;
  private waiting: EngineStream[] = [];

  /**
   * @param clock the experiment's clock
   * @param id the engine's name
   * @param model how fast it is
   * @param honoursPriority online work leaves its queue first
   */
  constructor(
    private readonly clock: ExperimentClock,
    readonly id: string,
    readonly model: EngineModel,
    private readonly honoursPriority: boolean,
  ) {
    this.snapshot = this.load();
    clock.every(100, () => {
      this.snapshot = this.load();
    });
  }

  /** Load as it was up to 100 ms ago. */
  get laggedLoad(): EngineLoad {
    return this.snapshot;
  }

  /**
   * Takes a request; undefined when the engine is gone.
   *
   * @param job what is asked for
   */
  submit(job: EngineJob): EngineStream | undefined {
    if (!this.alive) {
      return undefined;
    }
    const stream = new EngineStream(job);
    this.waiting.push(stream);
    this.fill();
    return stream;
  }

  /**
   * Ends a stream that nobody wants any more.
   *
   * @param stream the stream
   */
  cancel(stream: EngineStream): void {
    stream.ended = true;
    this.running.delete(stream);
    this.waiting = this.waiting.filter((other) => other !== stream);
    this.fill();
  }

  /** Loses everything, as when the process ends. */
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

  /** Comes back with an empty cache. */
  restart(): void {
    this.alive = true;
    this.cache.clear();
  }

  private load(): EngineLoad {
    const count = (work: WorkClass): number =>
      [...this.running].filter(({job}) => job.work === work).length;
    return {
      batch: count('batch'),
      online: count('online'),
      queued: this.waiting.filter(({job}) => job.work === 'online').length,
      tokenMs: this.tokenMs(),
      weights: ['w'],
    };
  }

  private tokenMs(): number {
    const {fullSlowdown, slots, tokenMs} = this.model;
    return tokenMs * this.slowdown * (1 + (fullSlowdown * this.running.size) / slots);
  }

  private fill(): void {
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
    const tokenMs = this.tokenMs();
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
        this.fill();
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
