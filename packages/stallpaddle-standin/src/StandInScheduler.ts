/**
 * Continuous batching of a stand-in engine: slots, priorities, prefix cache and lagged load.
 */
import type {EngineStandInSettings} from 'stallpaddle-settings';

import {delay, hash32} from 'stallpaddle';

/** Prefixes that the cache holds. */
const CACHE_ENTRIES = 256;
/** Characters of a prompt that make its prefix. */
const PREFIX_CHARACTERS = 256;
const CHARACTERS_PER_TOKEN = 4;
/** Part of the prefill that a cached prefix leaves. */
const CACHED_FRACTION = 0.2;
/** How much slower tokens come when all slots are taken. */
const FULL_BATCH_SLOWDOWN = 0.5;

/** Kind of work, by the priority that came with it. */
export type StandInWork = 'batch' | 'online';

/** A stream in the engine. */
export interface StandInStream {
  /** Resolves once the stream has a slot. */
  readonly admitted: Promise<void>;
  /** Frees the slot, or leaves the queue. */
  readonly end: () => void;
  /** Waits for the prompt to be read. */
  readonly prefilled: () => Promise<void>;
  /** Waits for one token. */
  readonly token: () => Promise<void>;
}

interface Waiting {
  readonly admit: () => void;
  readonly work: StandInWork;
}

interface Load {
  readonly batch: number;
  readonly online: number;
  readonly queued: number;
  readonly tokenMs: number;
}

/** Slots of one stand-in engine. */
export class StandInScheduler {
  /** Makes everything so many times slower. */
  slowdown = 1;

  private readonly cache = new Map<number, true>();
  private reported: Load = {batch: 0, online: 0, queued: 0, tokenMs: 0};
  private readonly running = {batch: 0, online: 0};
  private readonly timer: NodeJS.Timeout;
  private waiting: readonly Waiting[] = [];

  /**
   * @param settings what the engine is like
   */
  constructor(private readonly settings: EngineStandInSettings) {
    const lag = Math.max(1, settings.reportLagMs);
    this.timer = setInterval(() => {
      this.reported = this.load();
    }, lag);
  }

  /** Ends the reports. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Load as it was when the last report was made. */
  laggedLoad(): Load {
    return this.settings.reportLagMs === 0 ? this.load() : this.reported;
  }

  /**
   * Queues a stream; online ones go before batch ones, else in order.
   *
   * @param prompt the whole prompt
   * @param work kind of work
   */
  enqueue(prompt: string, work: StandInWork): StandInStream {
    let state: 'ended' | 'running' | 'waiting' = 'waiting';
    let admit = (): void => {};
    const admitted = new Promise<void>((resolve) => {
      admit = () => {
        state = 'running';
        this.running[work]++;
        resolve();
      };
    });
    const entry = {admit, work};
    this.waiting = [...this.waiting, entry];
    this.fill();
    return {
      admitted,
      end: () => {
        if (state === 'running') {
          this.running[work]--;
        }
        state = 'ended';
        this.waiting = this.waiting.filter((other) => other !== entry);
        this.fill();
      },
      prefilled: () => delay(this.prefillMs(prompt)),
      token: () => delay(this.tokenMs()),
    };
  }

  private fill(): void {
    while (this.running.batch + this.running.online < this.settings.slots) {
      const next = this.waiting.find(({work}) => work === 'online') ?? this.waiting[0];
      if (next === undefined) {
        return;
      }
      this.waiting = this.waiting.filter((other) => other !== next);
      next.admit();
    }
  }

  private load(): Load {
    return {
      batch: this.running.batch,
      online: this.running.online,
      queued: this.waiting.filter(({work}) => work === 'online').length,
      tokenMs: this.tokenMs(),
    };
  }

  private tokenMs(): number {
    const fill = (this.running.batch + this.running.online) / this.settings.slots;
    return this.settings.tokenMs * this.slowdown * (1 + FULL_BATCH_SLOWDOWN * fill);
  }

  private prefillMs(prompt: string): number {
    const tokens = prompt.length / CHARACTERS_PER_TOKEN;
    const prefix = hash32(prompt.slice(0, PREFIX_CHARACTERS));
    const cached = this.cache.delete(prefix);
    this.cache.set(prefix, true);
    if (this.cache.size > CACHE_ENTRIES) {
      this.cache.delete(this.cache.keys().next().value!);
    }
    const fraction = cached ? CACHED_FRACTION : 1;
    return (tokens / 1000) * this.settings.prefillMsPer1kTokens * fraction * this.slowdown;
  }
}
