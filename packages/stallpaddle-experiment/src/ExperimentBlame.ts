/**
 * How often a request that ends no engine is held off the engines, because it stood beside two that ended: a model in made-up
 * time, with the product's own rule. Engines end by causes from outside, and by one request after another that ends all that
 * begin to run it.
 */
import {type Random, seededRandom} from 'stallpaddle';
import {afterEngineEnd, type FleetSuspects, QUARANTINE_LEVEL} from 'stallpaddle-fleet';
import {isStarting} from 'stallpaddle-relay';

/** What is modelled. */
export interface BlameInput {
  readonly engines: number;
  /** Mean time between two ends of one engine by causes from outside, in milliseconds. */
  readonly meanLifeMs: number;
  readonly seed: number;
  /** Time that is modelled, in milliseconds. */
  readonly spanMs: number;
  /** Time between two requests that end engines, in milliseconds. */
  readonly outbreakMs: number;
}

/** What came of it. */
export interface BlameResult {
  /** Engines that ended. */
  readonly ends: number;
  /** Requests that end engines and were held. */
  readonly guilty: number;
  /** Other requests that were held. */
  readonly innocent: number;
  readonly requests: number;
}

/** Sizes of the fleets that were measured: slots, how full they are, and times of a request, in milliseconds. */
const SLOTS = 8;
const FULL_PART = 0.8;
const RUN_MS = 800;
const FIRST_EVENT_MS = 60;
/** Time between two events of an answer, in milliseconds: 28 of them in a run. */
const EVENT_MS = 27;
/** Time from a begin to the end that it causes, in milliseconds. */
const FATAL_MS = 65;
/** Time until a caller whose answer broke off comes again, in milliseconds. */
const AGAIN_MS = 100;
/** Time until an engine is back, in milliseconds. */
const BACK_MS = 4_000;
/** Step of the made-up time, in milliseconds. */
const STEP_MS = 5;

interface Run {
  readonly beganAt: number;
  readonly engine: number;
  readonly isFatal: boolean;
  readonly name: string;
}

interface Due {
  readonly at: number;
  readonly isFatal: boolean;
  readonly name: string;
}

/** One fleet in made-up time. */
class BlameModel {
  private readonly backAt: number[];
  private readonly due: Due[] = [];
  ends = 0;
  readonly held = {guilty: 0, innocent: 0};
  private readonly random: Random;
  requests = 0;
  private runs: Run[] = [];
  private suspects: FleetSuspects = new Map();

  constructor(private readonly input: BlameInput) {
    this.random = seededRandom(input.seed);
    this.backAt = Array.from({length: input.engines}, () => 0);
  }

  run(): BlameResult {
    const {engines, outbreakMs, spanMs} = this.input;
    const perStep = (engines * SLOTS * FULL_PART * STEP_MS) / RUN_MS;
    for (let now = 0; now < spanMs; now += STEP_MS) {
      const count = Math.floor(perStep) + (this.random() < perStep % 1 ? 1 : 0);
      for (let at = 0; at < count; at++) {
        this.begin({at: now, isFatal: false, name: `r${this.requests++}`}, now);
      }
      if (now % outbreakMs === 0) {
        this.begin({at: now, isFatal: true, name: `fatal${now}`}, now);
      }
      this.takeDue(now);
      this.endEngines(now);
    }
    return {ends: this.ends, requests: this.requests, ...this.held};
  }

  private takeDue(now: number): void {
    const isNow = ({at}: Due): boolean => at <= now;
    const begun = this.due.filter(isNow);
    this.due.splice(0, this.due.length, ...this.due.filter((due) => !isNow(due)));
    begun.forEach((due) => this.begin(due, now));
  }

  private begin({isFatal, name}: Due, now: number): void {
    const engine = Math.floor(this.random() * this.input.engines);
    if (this.backAt[engine]! <= now) {
      this.runs.push({beganAt: now, engine, isFatal, name});
    }
  }

  private endEngines(now: number): void {
    const {engines, meanLifeMs} = this.input;
    const ended = new Set<number>();
    const expected = (engines * STEP_MS) / meanLifeMs;
    if (this.random() < expected) {
      ended.add(Math.floor(this.random() * engines));
    }
    for (const {beganAt, engine, isFatal} of this.runs) {
      if (isFatal && now - beganAt >= FATAL_MS) {
        ended.add(engine);
      }
    }
    const isPreempted = ({engine}: Run): boolean => ended.has(engine);
    this.runs.filter(isPreempted).forEach((run) => this.cut(run, now));
    this.runs = this.runs.filter((run) => !isPreempted(run) && now - run.beganAt < RUN_MS);
    for (const engine of ended) {
      this.ends++;
      this.backAt[engine] = now + BACK_MS;
    }
  }

  private cut({beganAt, engine, isFatal, name}: Run, now: number): void {
    const firstAt = beganAt + FIRST_EVENT_MS;
    const events = Math.max(0, Math.floor((now - firstAt) / EVENT_MS) + 1);
    if (isStarting({events, firstAt: firstAt > now ? undefined : firstAt}, now)) {
      // Whoever sends it again knows what it met before: the worst case for who only stood beside.
      const known = this.suspects.get(name)?.level ?? 0;
      const end = {digest: name, engine: `e${engine}`, kind: 'noteEngineEnd', known} as const;
      this.suspects = afterEngineEnd(this.suspects, {...end, startedAtMs: now}, 0);
    }
    if ((this.suspects.get(name)?.level ?? 0) >= QUARANTINE_LEVEL) {
      this.held[isFatal ? 'guilty' : 'innocent']++;
    } else {
      this.due.push({at: now + AGAIN_MS, isFatal, name});
    }
  }
}

/**
 * Models one fleet.
 *
 * @param input what is modelled
 */
export function modelBlame(input: BlameInput): BlameResult {
  return new BlameModel(input).run();
}
