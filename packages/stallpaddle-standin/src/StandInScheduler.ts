/**
 * Scheduling and timing of a simulated engine.
 */
import type {EngineStandInSettings} from 'stallpaddle-settings';

import {delay, hash32} from 'stallpaddle';

/** Maximum number of prefixes in the cache. */
const MAX_CACHE_ENTRIES = 256;
/** Length of the prefix of a prompt, in characters. */
const PREFIX_CHARACTERS = 256;
const CHARACTERS_PER_TOKEN = 4;
/** Fraction of the prefill time that remains with a cached prefix. */
const CACHED_PREFILL_FRACTION = 0.2;
/** Relative increase of the time per token when all slots are in use. */
const FULL_BATCH_SLOWDOWN = 0.5;

/** Work class, derived from the priority of the request. */
export type StandInWork = 'batch' | 'online';

/** A request in the engine. */
export interface StandInStream {
  /** Resolves once the request has a slot. */
  readonly admitted: Promise<void>;
  /** Frees the slot, or removes the request from the queue. */
  readonly end: () => void;
  /** Waits for the prefill. */
  readonly prefilled: () => Promise<void>;
  /** Waits for the next token. */
  readonly token: () => Promise<void>;
}

interface QueueEntry {
  readonly admit: () => void;
  readonly work: StandInWork;
}

interface Load {
  readonly batch: number;
  readonly online: number;
  readonly queued: number;
  readonly tokenMs: number;
}

/** Simulates continuous batching with a fixed number of slots, priorities, a prefix cache and delayed load reports. */
export class StandInScheduler {
  /** Factor by which prefill and decoding are slowed down. */
  slowdown = 1;

  private readonly cache = new Map<number, true>();
  private reported: Load = {batch: 0, online: 0, queued: 0, tokenMs: 0};
  private readonly running = {batch: 0, online: 0};
  private readonly timer: NodeJS.Timeout;
  private waiting: readonly QueueEntry[] = [];

  /**
   * @param settings capacity and timing of the engine
   */
  constructor(private readonly settings: EngineStandInSettings) {
    const intervalMs = Math.max(1, settings.reportLagMs);
    this.timer = setInterval(() => {
      this.reported = this.load();
    }, intervalMs);
  }

  /** Stops the load reports. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Returns the load at the time of the last report. */
  laggedLoad(): Load {
    return this.settings.reportLagMs === 0 ? this.load() : this.reported;
  }

  /**
   * Queues a request. Online requests are admitted before batch requests, each class in order of arrival.
   *
   * @param prompt the complete prompt
   * @param work work class
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
    this.admitWaiting();
    return {
      admitted,
      end: () => {
        if (state === 'running') {
          this.running[work]--;
        }
        state = 'ended';
        this.waiting = this.waiting.filter((other) => other !== entry);
        this.admitWaiting();
      },
      prefilled: () => delay(this.prefillMs(prompt)),
      token: () => delay(this.tokenMs()),
    };
  }

  private admitWaiting(): void {
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
    const utilization = (this.running.batch + this.running.online) / this.settings.slots;
    return this.settings.tokenMs * this.slowdown * (1 + FULL_BATCH_SLOWDOWN * utilization);
  }

  private prefillMs(prompt: string): number {
    const tokens = prompt.length / CHARACTERS_PER_TOKEN;
    const prefix = hash32(prompt.slice(0, PREFIX_CHARACTERS));
    const cached = this.cache.delete(prefix);
    this.cache.set(prefix, true);
    if (this.cache.size > MAX_CACHE_ENTRIES) {
      this.cache.delete(this.cache.keys().next().value!);
    }
    const fraction = cached ? CACHED_PREFILL_FRACTION : 1;
    return (tokens / 1000) * this.settings.prefillMsPer1kTokens * fraction * this.slowdown;
  }
}
