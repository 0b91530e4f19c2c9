/**
 * Model of online requests and batch items that share engine slots: counts and times only, no engine is simulated.
 * Entry VMs place requests by counts that are some steps old; the dispatcher plans at each step by current counts.
 */
import type {EngineView} from 'stallpaddle-fleet';

import {seededRandom} from 'stallpaddle';
import {INITIAL_HEALTH, selectEngine} from 'stallpaddle-relay';

import {JobsBursts} from '../JobsBursts';
import {RESERVED_SLOTS} from '../JobsConstants';
import {MAX_STARTS_PER_PASS} from '../JobsPace';
import {type PackedEngine, planPackedItems} from '../JobsPacking';
import {planItems, type PlannedItem} from '../JobsPlan';

export const STEP_MS = 10;
/** Age of the counts by which entry VMs place requests, in steps. */
const STALE_STEPS = 4;
/** Time in which a run reads its prompt, without progress, in milliseconds. */
const PROMPT_MS = 100;
/** Time until a preempted run has left its slot, in milliseconds. */
const LEAVE_MS = 20;
/** Wait for a slot, in milliseconds, after which a request of 100 ms to the first event nears its objective of 300 ms. */
const LATE_MS = 100;
const SLOTS = 8;

/** Load and rules of a run of the model. */
export interface ModelOptions {
  /** Whether items are packed and requests placed by free slots. */
  readonly isPacked: boolean;
  /** Number of engines at a time. */
  readonly enginesAt: (ms: number) => number;
  /** Run times of items, in milliseconds, in turn. */
  readonly itemMs: readonly number[];
  /** Slots that items need on average. */
  readonly itemSlots: number;
  /** Whether entry VMs know the counts of items at a time. */
  readonly knowsItemsAt?: (ms: number) => boolean;
  /** Slots that online requests need on average. */
  readonly onlineSlotsAt: (ms: number) => number;
  readonly seconds: number;
}

/** What the model counted. */
export interface ModelResult {
  readonly items: number;
  /** Longest number of steps for which an engine had more runs and requests than slots, while items were among them. */
  readonly mostStepsOverFull: number;
  readonly preemptions: number;
  readonly requests: number;
  /** Requests that waited so long for a slot that they may miss their objective. */
  readonly waited: number;
  /** Items that ended, as a fraction of those that arrived. */
  readonly finishedItems: number;
}

/** An online request, in the order of arrival at its engine. */
interface Request {
  isWaitCounted: boolean;
  leftMs: number;
  waitedMs: number;
}

interface Item {
  readonly key: string;
  leaveMs: number | undefined;
  leftMs: number;
  promptMs: number;
  ranMs: number;
}

interface Engine {
  readonly id: string;
  readonly items: Item[];
  overFullSteps: number;
  readonly requests: Request[];
}

const ONLINE_MS = 650;

/** Runs the model. */
export class PackingModel {
  private readonly bursts = new JobsBursts();
  private engines: Engine[] = [];
  private readonly counted = {
    items: 0,
    mostStepsOverFull: 0,
    preemptions: 0,
    requests: 0,
    waited: 0,
  };
  private ended = 0;
  private readonly random = seededRandom(17);
  /** Counts of the last steps, newest last. */
  private readonly reported: ReadonlyMap<string, {items: number; online: number}>[] = [];
  private waiting: Item[] = [];

  constructor(private readonly options: ModelOptions) {}

  run(): ModelResult {
    for (let ms = 0; ms < this.options.seconds * 1_000; ms += STEP_MS) {
      this.resize(this.options.enginesAt(ms));
      this.arrive(ms);
      this.plan(ms);
      this.engines.forEach((engine) => this.advance(engine));
      this.report();
    }
    return {...this.counted, finishedItems: this.ended / this.counted.items};
  }

  /** Adds or removes engines; items of removed ones wait again. */
  private resize(count: number): void {
    while (this.engines.length < count) {
      this.engines.push({id: `e${this.engines.length}`, items: [], overFullSteps: 0, requests: []});
    }
    for (const engine of this.engines.splice(count)) {
      this.waiting.push(...engine.items.map((item) => ({...item, leaveMs: undefined})));
    }
  }

  private countOf(mean: number): number {
    return Math.floor(mean) + (this.random() < mean % 1 ? 1 : 0);
  }

  private arrive(ms: number): void {
    const {itemMs, itemSlots, onlineSlotsAt} = this.options;
    const meanItemMs = itemMs.reduce((sum, value) => sum + value, 0) / itemMs.length;
    for (let left = this.countOf((itemSlots * STEP_MS) / meanItemMs); left > 0; left--) {
      const at = this.counted.items++;
      const leftMs = itemMs[at % itemMs.length]!;
      this.waiting.push({key: `i${at}`, leaveMs: undefined, leftMs, promptMs: PROMPT_MS, ranMs: 0});
    }
    const requests = this.countOf((onlineSlotsAt(ms) * STEP_MS) / ONLINE_MS);
    for (let left = requests; left > 0; left--) {
      this.counted.requests++;
      const leftMs = ONLINE_MS * (0.5 + this.random());
      this.place(ms, requests * STALE_STEPS).requests.push({
        isWaitCounted: false,
        leftMs,
        waitedMs: 0,
      });
    }
  }

  private place(ms: number, unreported: number): Engine {
    const {isPacked, knowsItemsAt = () => true} = this.options;
    const known = this.reported.at(-STALE_STEPS);
    const engines: readonly EngineView[] = this.engines.map(({id}) => ({
      address: '',
      draining: false,
      id,
      sequence: 0,
      service: 's',
      silent: false,
      slots: SLOTS,
      softwareVersion: 'v1',
      startedAtMs: 0,
      zone: 'z',
    }));
    const loads = {itemsAt: (id: string) => known?.get(id)?.items ?? 0, speedOf: () => 1};
    const selected = selectEngine({
      engines,
      healthOf: () => INITIAL_HEALTH,
      isUnresponsive: () => false,
      loads: isPacked && knowsItemsAt(ms) ? loads : undefined,
      now: 0,
      onlineAt: (id) => known?.get(id)?.online ?? 0,
      random: this.random,
      service: 's',
      softwareVersion: undefined,
      suspectDigest: null,
      tried: new Set(),
      unreported,
      zone: 'other',
    })!;
    return this.engines.find(({id}) => id === selected.id)!;
  }

  private plan(ms: number): void {
    const engines: readonly PackedEngine[] = this.engines.map(({id, items, requests}) => ({
      id,
      online: requests.length,
      runs: items.map(({key, leaveMs, promptMs, ranMs}) => ({
        events: promptMs > 0 ? 0 : Math.ceil(ranMs / 20),
        isPreempted: leaveMs !== undefined,
        key,
        late: false,
        unrecorded: Math.ceil((ranMs % 1_500) / 20),
      })),
      service: 's',
      slots: SLOTS,
      softwareVersion: 'v1',
      speed: 1,
      usable: true,
    }));
    const waiting: readonly PlannedItem[] = this.waiting.map(({key}) => ({
      key,
      late: false,
      service: 's',
    }));
    this.bursts.observe(engines, ms);
    const {preemptions, starts} = this.options.isPacked
      ? planPackedItems({
          engines,
          maxStarts: MAX_STARTS_PER_PASS,
          reserved: this.bursts.reserved(),
          waiting,
        })
      : planItems(engines, waiting, RESERVED_SLOTS);
    const preempted = new Set(preemptions);
    for (const item of this.engines.flatMap(({items}) => items)) {
      if (preempted.has(item.key) && item.leaveMs === undefined) {
        item.leaveMs = LEAVE_MS;
        this.counted.preemptions++;
      }
    }
    const byKey = new Map(this.waiting.map((item) => [item.key, item]));
    for (const {engine, key} of starts) {
      this.engines.find(({id}) => id === engine)!.items.push(byKey.get(key)!);
      byKey.delete(key);
    }
    this.waiting = [...byKey.values()];
  }

  private advance(engine: Engine): void {
    const {items, requests} = engine;
    const isOverFull = items.length > 0 && items.length + requests.length > SLOTS;
    engine.overFullSteps = isOverFull ? engine.overFullSteps + 1 : 0;
    this.counted.mostStepsOverFull = Math.max(this.counted.mostStepsOverFull, engine.overFullSteps);
    const free = SLOTS - items.length;
    requests.forEach((request, at) => this.advanceRequest(request, at < free));
    engine.requests.splice(0, Infinity, ...requests.filter(({leftMs}) => leftMs > 0));
    const staying = items.filter((item) => this.advanceItem(item));
    engine.items.splice(0, Infinity, ...staying);
  }

  private advanceRequest(request: Request, hasSlot: boolean): void {
    if (hasSlot) {
      request.leftMs -= STEP_MS;
      return;
    }
    request.waitedMs += STEP_MS;
    if (request.waitedMs > LATE_MS && !request.isWaitCounted) {
      request.isWaitCounted = true;
      this.counted.waited++;
    }
  }

  /** Returns whether the item stays at its engine. */
  private advanceItem(item: Item): boolean {
    if (item.leaveMs !== undefined) {
      item.leaveMs -= STEP_MS;
      if (item.leaveMs <= 0) {
        this.waiting.unshift({...item, leaveMs: undefined, promptMs: PROMPT_MS, ranMs: 0});
      }
      return item.leaveMs > 0;
    }
    if (item.promptMs > 0) {
      item.promptMs -= STEP_MS;
      return true;
    }
    item.ranMs += STEP_MS;
    item.leftMs -= STEP_MS;
    this.ended += item.leftMs <= 0 ? 1 : 0;
    return item.leftMs > 0;
  }

  private report(): void {
    const counts = this.engines.map(
      ({id, items, requests}) => [id, {items: items.length, online: requests.length}] as const,
    );
    this.reported.push(new Map(counts));
    this.reported.splice(0, Math.max(0, this.reported.length - STALE_STEPS));
  }
}
